#include "servers/gateway/request_flow.hpp"

namespace pollenhaven
{

void request_flow::log_event(const http_exchange& item, std::string_view event,
                             std::string_view reason)
{
    const instant now = context_.loop.now();
    const auto view = context_.fleet.endpoints.find(item.endpoint);
    const int load =
        view == context_.fleet.endpoints.end() ? 0 : total_in_flight(view->second, now);
    context_.log.write(
        event, {{"request", item.request.id.value},
                {"route", item.matched_route == nullptr
                              ? ""
                              : std::string_view(item.matched_route->name)},
                {"adapter", item.request.adapter.value},
                {"endpoint", item.endpoint.value},
                {"endpoint_load", std::int64_t{load}},
                {"age_ms", std::int64_t{to_milliseconds(now - item.arrived).count()}},
                {"longest_pause_ms", std::int64_t{item.longest_pause.count()}},
                {"sends", std::int64_t{item.sends}},
                {"configuration", item.table == nullptr ? std::int64_t{0}
                                                        : static_cast<std::int64_t>(
                                                              item.table->version.value)},
                {"reason", reason}});
}

void request_flow::log_refusal(const http_exchange& item, const std::string& code)
{
    const std::string engine = item.load_engine ? item.load_engine->value : "";
    const auto view = context_.fleet.endpoints.find({engine});
    const int queued =
        view == context_.fleet.endpoints.end() ? 0 : view->second.queued_loads;
    const auto age = to_milliseconds(context_.loop.now() - item.arrived);
    context_.log.write(
        "refused",
        {{"request", item.request.id.value},
         {"route", item.matched_route == nullptr ? "" : item.matched_route->name},
         {"adapter", item.request.adapter.value},
         {"load_engine", engine},
         {"queued_loads", std::int64_t{queued}},
         {"sends", std::int64_t{item.sends}},
         {"age_ms", std::int64_t{age.count()}},
         {"reason", code}});
    count_outcome(item, "refused", code);
}

void request_flow::count_outcome(const http_exchange& item, const std::string& outcome,
                                 const std::string& reason)
{
    context_.metrics.add("pollenhaven_requests_total{outcome=\"" + outcome +
                         "\",reason=\"" + reason + "\"}");
    context_.metrics.observe_seconds("pollenhaven_request_seconds",
                                     to_seconds(context_.loop.now() - item.arrived));
}

} // namespace pollenhaven
