#include "servers/gateway/gateway_statistics.hpp"

namespace pollenhaven
{

namespace
{

// In the order of the alternatives of fleet_message.
constexpr std::array<std::string_view, std::variant_size_v<fleet_message>> kind_names{
    "heartbeat",       "endpoint_load",  "inventory",      "load_queue",
    "load_request",    "suspects",       "prompt_parts",   "sync_request",
    "sync_chunk",      "endpoint_limit", "permit_request", "permit",
    "endpoint_room",   "stated_load",    "store_changes",  "quota_question",
    "quota_answer",    "stream_copies",  "stream_receipt", "stream_question",
    "stream_statement"};

void report_counts(gateway_context& context, const std::string& direction,
                   const counts_by_kind& counts)
{
    for (std::size_t kind = 0; kind < counts.size(); ++kind)
    {
        if (counts[kind].messages == 0)
            continue;
        context.log.write("peer messages", {{"direction", direction},
                                            {"kind", kind_names[kind]},
                                            {"messages", counts[kind].messages},
                                            {"bytes", counts[kind].bytes}});
        const std::string labels = "{direction=\"" + direction + "\",kind=\"" +
                                   std::string(kind_names[kind]) + "\"}";
        context.metrics.add("pollenhaven_peer_messages_total" + labels,
                            static_cast<double>(counts[kind].messages));
        context.metrics.add("pollenhaven_peer_bytes_total" + labels,
                            static_cast<double>(counts[kind].bytes));
    }
}

} // namespace

void count_message(counts_by_kind& counts, const fleet_message& message,
                   std::size_t bytes)
{
    message_counts& kind = counts.at(message.index());
    ++kind.messages;
    kind.bytes += static_cast<std::int64_t>(bytes);
}

void report_statistics(gateway_context& context, gateway_statistics& statistics)
{
    const loop_statistics loop = context.loop.take_statistics();
    context.log.write(
        "event loop",
        {{"busy_ms", std::int64_t{to_milliseconds(loop.busy).count()}},
         {"max_timer_delay_ms",
          std::int64_t{to_milliseconds(loop.max_timer_delay).count()}},
         {"message_ms", std::int64_t{to_milliseconds(statistics.message_time).count()}},
         {"dispatch_ms", std::int64_t{to_milliseconds(statistics.dispatch_time).count()}},
         {"dispatches", statistics.dispatches}});
    metric_set& metrics = context.metrics;
    metrics.add("pollenhaven_loop_busy_seconds_total", to_seconds(loop.busy));
    metrics.add("pollenhaven_peer_message_seconds_total",
                to_seconds(statistics.message_time));
    metrics.add("pollenhaven_dispatch_seconds_total",
                to_seconds(statistics.dispatch_time));
    metrics.observe_seconds("pollenhaven_max_timer_delay_seconds",
                            to_seconds(loop.max_timer_delay));
    if (loop.unread_streams_ended > 0)
        metrics.add("pollenhaven_unread_streams_ended_total",
                    static_cast<double>(loop.unread_streams_ended));
    report_counts(context, "received", statistics.received);
    report_counts(context, "sent", statistics.sent);
    statistics = {};
}

} // namespace pollenhaven
