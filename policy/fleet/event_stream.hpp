#ifndef POLLENHAVEN_POLICY_FLEET_EVENT_STREAM_HPP
#define POLLENHAVEN_POLICY_FLEET_EVENT_STREAM_HPP

#include <string>
#include <string_view>

namespace pollenhaven
{

// Removes all complete server-sent events from the front of `bytes` and returns them. The
// start of an incomplete event stays.
std::string take_complete_events(std::string& bytes);

// Returns the id of the last of these complete events that has one; empty if none has.
std::string find_last_event_id(std::string_view events);

} // namespace pollenhaven

#endif
