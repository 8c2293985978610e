#include "policy/fleet/model_check.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// The version in force of an adapter for which operators have set none.
constexpr adapter_version first_version{1};

bool serves_model(const routing_table& table, const service_id& service,
                  const base_model_id& model)
{
    const auto found = table.services.find(service);
    if (found == table.services.end() || !found->second.engine)
        return false;
    const std::vector<base_model>& models = found->second.engine->models;
    return std::any_of(models.begin(), models.end(),
                       [&](const base_model& served) { return served.id == model; });
}

} // namespace

std::string reason_for_unknown_model(const fleet_view& fleet, const routing_table& table,
                                     const service_id& service,
                                     const caller_request& request)
{
    if (request.model.empty())
        return "";
    if (!serves_model(table, service, request.model))
        return "the base model '" + request.model.value + "' is not served here";
    if (!request.version)
        return "";
    const adapter_version current =
        required_version(fleet, request.adapter).value_or(first_version);
    if (*request.version == current)
        return "";
    return "version " + std::to_string(request.version->value) + " of '" +
           request.adapter.value + "' is not in force; version " +
           std::to_string(current.value) + " is";
}

} // namespace pollenhaven
