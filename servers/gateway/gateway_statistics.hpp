#ifndef POLLENHAVEN_SERVERS_GATEWAY_GATEWAY_STATISTICS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_GATEWAY_STATISTICS_HPP

#include "servers/gateway/event_loop.hpp"
#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"

#include <array>
#include <cstdint>
#include <variant>

namespace pollenhaven
{

// Peer messages of one kind, as datagrams.
struct message_counts
{
    std::int64_t messages = 0;
    std::int64_t bytes = 0;
};

// Counts by kind of message; the index is that of the fleet_message's alternative.
using counts_by_kind = std::array<message_counts, std::variant_size_v<fleet_message>>;

// What the daemon's event loop spent its time on since the last report.
struct gateway_statistics
{
    counts_by_kind received;
    counts_by_kind sent;
    // Time spent on peer messages, including the dispatches that they cause.
    boot_clock::duration message_time{};
    // Time spent on looking for endpoints for waiting requests, and how often.
    boot_clock::duration dispatch_time{};
    std::int64_t dispatches = 0;
};

// Adds a message of `bytes` bytes to the counts of its kind.
void count_message(counts_by_kind& counts, const fleet_message& message,
                   std::size_t bytes);

// Writes the statistics to the log and the metrics, and resets them.
void report_statistics(gateway_context& context, gateway_statistics& statistics);

} // namespace pollenhaven

#endif
