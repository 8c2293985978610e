#ifndef POLLENHAVEN_POLICY_OUTPUT_PATIENCE_HPP
#define POLLENHAVEN_POLICY_OUTPUT_PATIENCE_HPP

#include "core/boot_clock.hpp"

#include <optional>

namespace pollenhaven
{

// How long a peer may leave output unread. The kernel's limit on unconfirmed output ends
// a connection also if the peer confirms all that reaches it while its receive window has
// no room for the next segment. So the limit is extended while the peer confirms, and an
// unreachable peer is still noticed within the same time.

// The kernel closes a connection whose output stays unconfirmed for this long. The time
// is long enough for a lost packet to be retransmitted twice, and short enough to detect
// an unreachable peer while a request is in flight.
constexpr milliseconds unconfirmed_limit{4000};

// Intervals at which streams are checked for output that the peer hasn't confirmed, and
// those that have some are checked again.
constexpr milliseconds output_check_interval{500};
constexpr milliseconds unread_check_interval{200};

// What the kernel knows about the delivery of a connection's output.
struct delivery_state
{
    // Time since the peer last confirmed anything.
    milliseconds since_confirmation{0};
    // Segments were sent that the peer hasn't confirmed.
    bool has_unconfirmed_segments = false;
    // Probes of a closed receive window that weren't answered.
    int unanswered_probes = 0;
};

// Returns the limit on unconfirmed output to set now, for a connection whose output has
// been unread for the time `unread_for`; none if the peer is unreachable and the
// connection must end. The kernel probes a closed window at the latest as the limit
// passes, so a limit that is renewed in small steps also keeps the probes frequent.
std::optional<milliseconds> next_unconfirmed_limit(const delivery_state& state,
                                                   milliseconds unread_for);

} // namespace pollenhaven

#endif
