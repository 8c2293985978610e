#include "policy/fleet/brittle_endpoint.hpp"

#include "policy/rendezvous.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// One slot in this many is kept in reserve, and at least one: daemons learn of each
// other's requests after some milliseconds.
constexpr int slots_per_reserved_slot = 8;
// The room increases by one place for each of these rejections that the endpoint bears.
constexpr double places_per_bearable_rejection = 0.5;
// For endpoints that bear less than one rejection per second.
constexpr double min_bearable_per_second = 0.5;
// Rejections within this time have the same cause.
constexpr milliseconds burst_time{200};
// After this time without a rejection the room is no longer divided.
constexpr milliseconds division_time{10'000};

int usable_slots(const endpoint_view& endpoint)
{
    const int slots = endpoint.record.slots;
    return std::max(1, slots - std::max(1, slots / slots_per_reserved_slot));
}

// Returns the number of requests that all daemons together may have at the endpoint.
int present_room(const endpoint_view& endpoint, instant now)
{
    const brittle_view& view = endpoint.brittle;
    if (!view.room)
        return usable_slots(endpoint);
    const double bearable =
        std::max(view.bearable ? view.bearable->per_second : 0, min_bearable_per_second);
    const double added =
        to_seconds(now - view.rejected_at) * bearable * places_per_bearable_rejection;
    return std::min(usable_slots(endpoint), *view.room + static_cast<int>(added));
}

// Returns this daemon's part of the room. Places that are left over go to the first
// members by rendezvous hashing.
int own_share(const fleet_view& fleet, const endpoint_view& endpoint, int room)
{
    const std::string& id = endpoint.record.id.value;
    const std::uint64_t own = rendezvous_weight(id, fleet.self.value);
    int members = 1;
    int rank = 0;
    for (const auto& [name, member] : fleet.members)
    {
        if (!member.leased || member.leaving || member.cut_off || name == fleet.self)
            continue;
        ++members;
        rank += rendezvous_weight(id, name.value) > own ? 1 : 0;
    }
    return room / members + (rank < room % members ? 1 : 0);
}

} // namespace

void record_brittleness(endpoint_view& endpoint, std::optional<request_rate> bearable,
                        instant sent, instant now)
{
    brittle_view& view = endpoint.brittle;
    if (bearable)
    {
        view.bearable = bearable;
        view.learned_at = now;
    }
    // A response without the statement may have left before one with it.
    else if (view.bearable && sent > view.learned_at)
        view = {};
}

void record_rejection(endpoint_view& endpoint, int accepted, instant now)
{
    brittle_view& view = endpoint.brittle;
    const bool is_same_burst = view.room && now - view.rejected_at < burst_time;
    const int below = present_room(endpoint, now) - (is_same_burst ? 0 : 1);
    view.room = std::max(1, std::min(accepted, below));
    view.rejected_at = now;
}

bool has_room(const fleet_view& fleet, const endpoint_view& endpoint, instant now)
{
    const brittle_view& view = endpoint.brittle;
    const int room = present_room(endpoint, now);
    if (!view.room || now - view.rejected_at > division_time)
        return total_in_flight(endpoint, now) < room;
    return endpoint.in_flight < own_share(fleet, endpoint, room);
}

} // namespace pollenhaven
