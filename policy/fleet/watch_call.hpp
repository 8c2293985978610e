#ifndef POLLENHAVEN_POLICY_FLEET_WATCH_CALL_HPP
#define POLLENHAVEN_POLICY_FLEET_WATCH_CALL_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"

#include <optional>

namespace pollenhaven
{

// Decides when a call to the store that waits for changes is sent again. Connections go
// silent without a sign while new ones work, and such a call may wait for seconds by
// design, so its own timeout is far longer than a change may take.

// What the store's responses to all calls of a daemon tell about those that still wait.
struct store_contact
{
    // When the store last responded; zero if it never has.
    instant last_response{};
    // When the store last responded after an outage; zero if there was none.
    instant outage_ended{};
    // Calls that were sent before this time may never be answered.
    instant silence_ended{};
};

// Records a response of the store. One that follows a silence makes the calls that were
// sent before it suspicious.
void record_response(store_contact& contact, instant now);

// A watch of the store, as far as its pending call is concerned.
struct watch_call
{
    // When the pending call was sent; none if no call is pending.
    std::optional<instant> sent_at;
    // Whether the watch has listed its keys in the store's present era.
    bool is_loaded = false;
    // Whether the store has been restored since the watch listed its keys.
    bool is_in_older_era = false;
    // All changes up to this position are known.
    store_position known_position;
    // The newest change that a peer has reported, and when this daemon first heard of it.
    store_position peer_change;
    instant peer_change_heard_at{};
    // Calls sent again because peers know more, since the last response.
    int repeated_calls = 0;
    // When a peer that watches last sent the changes that followed those known.
    instant followed_at{};
    // When the store last responded to a call of this watch.
    instant responded_at{};
};

// The first daemons of each availability zone by their ids watch the store and send the
// changes to the others, so the calls of a fleet grow with its zones. The others watch
// themselves as soon as they miss a change or hear nothing.
constexpr int watching_daemons_per_zone = 2;
constexpr milliseconds changes_interval{400};

enum class repeat_reason
{
    // The pending call goes on waiting.
    none,
    store_was_silent,
    store_was_restored,
    peers_are_ahead
};

// This many daemons, the first ones by their ids, lead: their watches wait this long at
// most, so that one that hangs is replaced early enough for all others to learn of a
// change from their heartbeats. The cost doesn't grow with the number of daemons.
constexpr int leading_watches = 2;
constexpr milliseconds leading_watch_wait{800};

// Returns true if a peer sends all changes to this daemon, which needs no call then.
bool may_follow(const watch_call& watch, instant now);

// Returns true if no change is missing before those that a peer sent: all after the
// position `after`, up to the position `known`. Changes of an era that the store hasn't
// stated to this daemon, whose own one is `era`, can't be followed.
bool can_follow(const watch_call& watch, store_position after, store_position known,
                store_era era);

// Records that all changes up to the position `known` were received from a peer.
void follow(watch_call& watch, store_position known, instant now);

// Records the newest change that a peer knows.
void record_peer_change(watch_call& watch, store_position position, instant now);

// Returns why the pending call should be sent again on a new connection.
repeat_reason reason_to_repeat(const watch_call& watch, const store_contact& contact,
                               instant now);

} // namespace pollenhaven

#endif
