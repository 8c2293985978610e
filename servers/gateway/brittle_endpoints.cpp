#include "servers/gateway/brittle_endpoints.hpp"

#include "policy/fleet/brittle_endpoint.hpp"

namespace pollenhaven
{

brittle_endpoints::brittle_endpoints(gateway_context& context,
                                     broadcast_function broadcast)
    : context_(context), broadcast_(std::move(broadcast))
{
}

void brittle_endpoints::on_response(endpoint_view& endpoint,
                                    const endpoint_response& response, instant sent)
{
    const bool was_brittle = endpoint.brittle.bearable.has_value();
    record_brittleness(endpoint, response.bearable_rejections, sent, context_.loop.now());
    const bool is_brittle = endpoint.brittle.bearable.has_value();
    if (is_brittle != was_brittle)
        context_.log.write(
            is_brittle ? "endpoint brittle" : "endpoint no longer brittle",
            {{"endpoint", endpoint.record.id.value},
             {"bearable_rejections_per_second",
              static_cast<std::int64_t>(
                  response.bearable_rejections.value_or(request_rate{}).per_second)}});
}

void brittle_endpoints::on_rejected(endpoint_view& endpoint)
{
    if (!endpoint.brittle.bearable)
        return;
    const instant now = context_.loop.now();
    context_.metrics.add("pollenhaven_rejections_by_brittle_endpoints_total");
    // The rejected request is still counted.
    record_rejection(endpoint, total_in_flight(endpoint, now) - 1, now);
    endpoint_room_message message;
    message.sender = context_.settings.id;
    message.endpoint = endpoint.record.id;
    message.endpoint_started_ms = endpoint.record.started_ms;
    message.accepted = *endpoint.brittle.room;
    message.bearable_rejections = *endpoint.brittle.bearable;
    broadcast_(message);
}

void brittle_endpoints::on_message(const endpoint_room_message& message)
{
    const auto found = context_.fleet.endpoints.find(message.endpoint);
    if (found == context_.fleet.endpoints.end() ||
        found->second.record.started_ms != message.endpoint_started_ms)
        return;
    const instant now = context_.loop.now();
    record_brittleness(found->second, message.bearable_rejections, now, now);
    record_rejection(found->second, message.accepted, now);
}

} // namespace pollenhaven
