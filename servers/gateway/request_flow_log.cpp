#include "servers/gateway/request_flow.hpp"

namespace pollenhaven
{

void request_flow::log_event(const http_exchange& exchange, std::string_view event,
                             std::string_view reason)
{
    const instant now = context_.loop.now();
    const auto view = context_.fleet.endpoints.find(exchange.endpoint);
    const bool is_known = view != context_.fleet.endpoints.end();
    const int load = is_known ? total_in_flight(view->second, now) : 0;
    context_.log.write(
        event,
        {{"request", exchange.request.id.value},
         {"route", exchange.matched_route == nullptr
                       ? ""
                       : std::string_view(exchange.matched_route->name)},
         {"customer", exchange.customer == nullptr ? "" : exchange.customer->id.value},
         {"adapter", exchange.request.adapter.value},
         {"endpoint", exchange.endpoint.value},
         {"software", is_known ? view->second.record.software.value : ""},
         {"endpoint_load", std::int64_t{load}},
         {"age_ms", std::int64_t{to_milliseconds(now - exchange.arrived).count()}},
         {"longest_pause_ms", std::int64_t{exchange.longest_pause.count()}},
         {"sends", std::int64_t{exchange.sends}},
         {"configuration",
          exchange.table == nullptr
              ? std::int64_t{0}
              : static_cast<std::int64_t>(exchange.table->version.value)},
         {"reason", reason}});
}

void request_flow::log_resumption_by_caller(const http_exchange& exchange)
{
    context_.log.write("stream resumed by its caller",
                       {{"request", exchange.request.id.value},
                        {"stream_begun_by", exchange.request.stream_begun_by.value},
                        {"last_event_id", exchange.request.last_event_id}});
}

void request_flow::log_refusal(const http_exchange& exchange, const std::string& code)
{
    const std::string engine = exchange.load_engine ? exchange.load_engine->value : "";
    const auto view = context_.fleet.endpoints.find({engine});
    const int queued =
        view == context_.fleet.endpoints.end() ? 0 : view->second.queued_loads;
    const auto age = to_milliseconds(context_.loop.now() - exchange.arrived);
    context_.log.write(
        "refused",
        {{"request", exchange.request.id.value},
         {"route", exchange.matched_route == nullptr ? "" : exchange.matched_route->name},
         {"customer", exchange.customer == nullptr ? "" : exchange.customer->id.value},
         {"adapter", exchange.request.adapter.value},
         {"load_engine", engine},
         {"queued_loads", std::int64_t{queued}},
         {"sends", std::int64_t{exchange.sends}},
         {"age_ms", std::int64_t{age.count()}},
         {"reason", code}});
    count_outcome(exchange, "refused", code);
}

void request_flow::log_stream_end(const http_exchange& exchange)
{
    const bool has_length = exchange.reader->has_length();
    if (has_length && exchange.boundary.unfinished_bytes == 0)
        return;
    context_.log.write("stream end",
                       {{"request", exchange.request.id.value},
                        {"endpoint", exchange.endpoint.value},
                        {"framing", has_length ? "length" : "connection"},
                        {"unfinished_bytes",
                         static_cast<std::int64_t>(exchange.boundary.unfinished_bytes)}});
}

void request_flow::count_outcome(const http_exchange& exchange,
                                 const std::string& outcome, const std::string& reason)
{
    context_.metrics.add("pollenhaven_requests_total{outcome=\"" + outcome +
                         "\",reason=\"" + reason + "\"}");
    context_.metrics.observe_seconds("pollenhaven_request_seconds",
                                     to_seconds(context_.loop.now() - exchange.arrived));
}

} // namespace pollenhaven
