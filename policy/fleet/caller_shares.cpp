#include "policy/fleet/caller_shares.hpp"

#include "policy/rendezvous.hpp"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace pollenhaven
{

namespace
{

// The platform's limit.
constexpr std::size_t max_addresses = 64;
// A response has at least this many addresses, if there are so many daemons: its callers
// would else all meet at a few.
constexpr std::size_t min_addresses = 8;
// No daemon counts as smaller than this part of the largest one, so that each gets some
// callers.
constexpr double min_relative_size = 0.125;

double uniform(std::uint64_t draw, const daemon_id& id)
{
    return static_cast<double>(rendezvous_weight(std::to_string(draw), id.value)) /
           static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

std::vector<network_address> draw_addresses(const std::vector<listed_daemon>& daemons,
                                            std::uint64_t draw)
{
    double most_cores = 0;
    for (const listed_daemon& daemon : daemons)
        most_cores = std::max(most_cores, daemon.cores);
    // Daemons whose value is at most 1 are listed; a lower one comes first.
    std::vector<std::pair<double, const listed_daemon*>> drawn;
    drawn.reserve(daemons.size());
    for (const listed_daemon& daemon : daemons)
    {
        const double size =
            most_cores > 0 ? std::max(daemon.cores / most_cores, min_relative_size) : 1;
        drawn.emplace_back(uniform(draw, daemon.id) / size, &daemon);
    }
    std::sort(drawn.begin(), drawn.end());
    const auto selected = static_cast<std::size_t>(std::count_if(
        drawn.begin(), drawn.end(), [](const auto& entry) { return entry.first <= 1; }));
    const std::size_t count =
        std::min({std::max(selected, min_addresses), max_addresses, drawn.size()});
    std::vector<network_address> addresses;
    for (std::size_t index = 0; index < count; ++index)
        addresses.push_back(drawn[index].second->address);
    return addresses;
}

} // namespace pollenhaven
