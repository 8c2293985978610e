#include "servers/gateway/gateway_reports.hpp"

#include "core/json_text.hpp"

namespace pollenhaven
{

namespace
{

using json = nlohmann::json;

std::uint64_t configuration_version_of(const gateway_context& context)
{
    return context.routing == nullptr ? 0 : context.routing->version.value;
}

json status_report(const gateway_context& context, const gateway_activity& activity)
{
    return {{"id", context.settings.id.value},
            {"incarnation", context.incarnation.value},
            {"zone", context.settings.zone},
            {"ready", is_ready(context)},
            {"leaving", context.leaving},
            {"configuration_version", configuration_version_of(context)},
            {"store_silence_ms", store_silence(context).count()},
            {"store_era", context.fleet.era.value},
            {"members", live_member_count(context.fleet)},
            {"requests_under_way", activity.requests},
            {"caller_connections", activity.caller_connections}};
}

std::string state_name(const endpoint_view& endpoint)
{
    if (endpoint.gone_at)
        return "gone";
    return endpoint.draining ? "leaving" : "ready";
}

json endpoints_report(const gateway_context& context)
{
    const instant now = context.loop.now();
    json report = json::array();
    for (const auto& [id, endpoint] : context.fleet.endpoints)
        report.push_back(
            {{"endpoint", id.value},
             {"service", endpoint.record.service.value},
             {"address", endpoint.record.address.value},
             {"zone", endpoint.record.zone},
             {"software", endpoint.record.software.value},
             {"state", state_name(endpoint)},
             {"holder", endpoint.holder.value},
             {"holder_token", endpoint.holder_token},
             {"slots", endpoint.record.slots},
             {"running", total_in_flight(endpoint, now)},
             {"queued_loads", endpoint.queued_loads},
             {"requests_per_second", endpoint.limit.stated
                                         ? json(endpoint.limit.stated->rate.per_second)
                                         : json()},
             {"adapters", endpoint.adapters.size()}});
    return report;
}

json adapters_report(const gateway_context& context)
{
    const instant now = context.loop.now();
    json report = json::array();
    for (const auto& [id, endpoint] : context.fleet.endpoints)
        for (const auto& [adapter, held] : endpoint.adapters)
            report.push_back(
                {{"adapter", adapter.value},
                 {"version", held.version.value},
                 {"endpoint", id.value},
                 {"state", held.ready_at > now ? "loading" : "resident"},
                 {"running", adapter_requests_in_flight(endpoint, adapter, now)}});
    return report;
}

json members_report(const gateway_context& context)
{
    const instant now = context.loop.now();
    json report = json::array();
    for (const auto& [id, member] : context.fleet.members)
        report.push_back(
            {{"member", id.value},
             {"zone", member.zone},
             {"callers", member.caller_address.value},
             {"ready", member.ready},
             {"leaving", member.leaving},
             {"leased", member.leased},
             {"heard_ms_ago", to_milliseconds(now - member.last_message_at).count()},
             {"store_silence_ms", member.store_silence.count()}});
    return report;
}

json customers_report(const gateway_activity& activity)
{
    json report = json::array();
    for (const customer_usage& usage : activity.customers)
        report.push_back(
            {{"customer", usage.customer.value},
             {"keeper", usage.keeper.value},
             {"unit", !usage.quota
                          ? json()
                          : json(usage.quota->unit == quota_unit::tokens ? "tokens"
                                                                         : "requests")},
             {"rate", usage.quota ? json(usage.quota->rate) : json()},
             {"burst", usage.quota ? json(usage.quota->burst) : json()},
             {"level", usage.level ? json(*usage.level) : json()},
             {"held", usage.held},
             {"charged", usage.charged},
             {"over_quota", usage.refused},
             {"last_refused_ms_ago",
              usage.since_refused ? json(usage.since_refused->count()) : json()}});
    return report;
}

} // namespace

void update_gauges(gateway_context& context, const gateway_activity& activity)
{
    metric_set& metrics = context.metrics;
    metrics.set("pollenhaven_requests_under_way", static_cast<double>(activity.requests));
    metrics.set("pollenhaven_caller_connections",
                static_cast<double>(activity.caller_connections));
    metrics.set("pollenhaven_held_response_bytes",
                static_cast<double>(activity.held_response_bytes));
    metrics.set("pollenhaven_ready", is_ready(context) ? 1 : 0);
    metrics.set("pollenhaven_members", live_member_count(context.fleet));
    metrics.set("pollenhaven_store_silence_seconds", to_seconds(store_silence(context)));
    metrics.set("pollenhaven_store_era", static_cast<double>(context.fleet.era.value));
    metrics.set("pollenhaven_configuration_version",
                static_cast<double>(configuration_version_of(context)));
    int held = 0;
    int queued = 0;
    int limited = 0;
    for (const auto& [id, endpoint] : context.fleet.endpoints)
    {
        held += endpoint.holder == context.settings.id ? 1 : 0;
        queued += endpoint.queued_loads;
        limited += endpoint.limit.stated ? 1 : 0;
    }
    metrics.set("pollenhaven_engines_held", held);
    metrics.set("pollenhaven_limited_endpoints", limited);
    metrics.set("pollenhaven_queued_loads", queued);
}

std::optional<std::string> operator_report(const gateway_context& context,
                                           const std::string& name,
                                           const gateway_activity& activity)
{
    if (name == "status")
        return write_json(status_report(context, activity));
    if (name == "endpoints")
        return write_json(endpoints_report(context));
    if (name == "adapters")
        return write_json(adapters_report(context));
    if (name == "members")
        return write_json(members_report(context));
    if (name == "customers")
        return write_json(customers_report(activity));
    return std::nullopt;
}

} // namespace pollenhaven
