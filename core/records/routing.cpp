#include "core/records/routing.hpp"

namespace pollenhaven
{

const route* match_route(const routing_table& table, std::string_view host,
                         std::string_view path)
{
    const route* best = nullptr;
    for (const route& candidate : table.routes)
    {
        if (candidate.host != host || !path.starts_with(candidate.path_prefix))
            continue;
        if (best == nullptr || candidate.path_prefix.size() > best->path_prefix.size())
            best = &candidate;
    }
    return best;
}

const service_id& pick_service(const route& selected_route, std::uint64_t request_hash)
{
    constexpr double resolution = 1 << 20;
    double total = 0;
    for (const weighted_service& candidate_service : selected_route.services)
        total += candidate_service.weight;
    double remaining_weight =
        static_cast<double>(request_hash % (1 << 20)) / resolution * total;
    for (const weighted_service& candidate_service : selected_route.services)
    {
        if (remaining_weight < candidate_service.weight)
            return candidate_service.service;
        remaining_weight -= candidate_service.weight;
    }
    return selected_route.services.back().service;
}

} // namespace pollenhaven
