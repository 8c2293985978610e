#ifndef POLLENHAVEN_POLICY_FLEET_EVENT_STREAM_HPP
#define POLLENHAVEN_POLICY_FLEET_EVENT_STREAM_HPP

#include <string>
#include <string_view>

namespace pollenhaven
{

// Takes all whole server-sent events from the front of the bytes; what is left is the
// beginning of the next event.
std::string take_complete_events(std::string& bytes);

// The id of the last event that has one; empty if none has.
std::string last_event_id(std::string_view events);

} // namespace pollenhaven

#endif
