#ifndef POLLENHAVEN_POLICY_FLEET_EVENT_STREAM_HPP
#define POLLENHAVEN_POLICY_FLEET_EVENT_STREAM_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace pollenhaven
{

// Removes all complete server-sent events from the front of `bytes` and returns them. The
// start of an incomplete event stays.
std::string take_complete_events(std::string& bytes);

// Tracks, as the bytes of a stream of server-sent events arrive, whether they end with a
// complete event. Its size doesn't depend on that of the events.
struct event_boundary
{
    // Bytes since the end of the last complete event; 0 if the stream may end here.
    std::size_t unfinished_bytes = 0;
    // At least one event is complete.
    bool has_event = false;
    bool at_line_start = true;
    // The last byte was a carriage return, which a line feed may follow.
    bool after_carriage_return = false;
};

// Adds the next bytes of the stream.
void track_events(event_boundary& boundary, std::string_view bytes);

// Returns true if a response with this content type, or with none, is a stream of
// server-sent events.
bool is_event_stream(std::string_view content_type);

// Returns the id of the last of these complete events that has one; empty if none has.
std::string find_last_event_id(std::string_view events);

} // namespace pollenhaven

#endif
