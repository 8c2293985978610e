#include "policy/fleet/watch_call.hpp"

#include "policy/fleet/order_permission.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// Longer than the interval between two lease renewals, of which one may get no response.
constexpr milliseconds max_response_gap{1000};
// A change reaches all daemons within this time, unless the store is slow.
constexpr milliseconds change_propagation_time{500};
// A call isn't repeated earlier than this because of what peers know, and after twice the
// time each time.
constexpr milliseconds min_call_age{1000};
constexpr int max_doublings = 3;

// Two messages of both peers that watch may be lost.
constexpr milliseconds max_following_gap = 3 * changes_interval;

bool is_behind_peers(const watch_call& watch, instant now)
{
    return watch.is_loaded && watch.peer_change > watch.known_position &&
           now - watch.peer_change_heard_at >= change_propagation_time &&
           now - *watch.sent_at >=
               min_call_age * (1 << std::min(watch.repeated_calls, max_doublings));
}

} // namespace

void record_response(store_contact& contact, instant now)
{
    const bool is_first = contact.last_response == instant{};
    const auto gap = now - contact.last_response;
    if (!is_first && gap > store_outage_threshold)
        contact.outage_ended = now;
    if (!is_first && gap > max_response_gap)
        contact.silence_ended = now;
    contact.last_response = now;
}

bool may_follow(const watch_call& watch, instant now)
{
    return watch.is_loaded && !watch.is_in_older_era &&
           now - watch.followed_at < max_following_gap;
}

bool can_follow(const watch_call& watch, store_position after, store_position known,
                store_era era)
{
    return watch.is_loaded && !watch.is_in_older_era && known.era == era &&
           after <= watch.known_position;
}

void follow(watch_call& watch, store_position known, instant now)
{
    watch.known_position = std::max(watch.known_position, known);
    watch.followed_at = now;
}

void record_peer_change(watch_call& watch, store_position position, instant now)
{
    if (position <= watch.peer_change)
        return;
    watch.peer_change = position;
    watch.peer_change_heard_at = now;
}

repeat_reason reason_to_repeat(const watch_call& watch, const store_contact& contact,
                               instant now)
{
    if (!watch.sent_at)
        return repeat_reason::none;
    if (watch.is_loaded && watch.is_in_older_era)
        return repeat_reason::store_was_restored;
    if (is_behind_peers(watch, now))
        return repeat_reason::peers_are_ahead;
    return *watch.sent_at < contact.silence_ended ? repeat_reason::store_was_silent
                                                  : repeat_reason::none;
}

} // namespace pollenhaven
