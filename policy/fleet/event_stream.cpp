#include "policy/fleet/event_stream.hpp"

namespace pollenhaven
{

namespace
{

// Returns the offset of the end of the last complete event. Events end with an empty
// line; the line ending may be LF or CRLF.
std::size_t end_of_last_event(std::string_view bytes)
{
    const std::size_t lf_start = bytes.rfind("\n\n");
    const std::size_t crlf_start = bytes.rfind("\n\r\n");
    const std::size_t lf_end = lf_start == std::string_view::npos ? 0 : lf_start + 2;
    const std::size_t crlf_end =
        crlf_start == std::string_view::npos ? 0 : crlf_start + 3;
    return lf_end > crlf_end ? lf_end : crlf_end;
}

} // namespace

std::string take_complete_events(std::string& bytes)
{
    const std::size_t end = end_of_last_event(bytes);
    std::string events = bytes.substr(0, end);
    bytes.erase(0, end);
    return events;
}

void track_events(event_boundary& boundary, std::string_view bytes)
{
    for (const char byte : bytes)
    {
        const bool ends_line = byte == '\r' || byte == '\n';
        const bool is_second_half = byte == '\n' && boundary.after_carriage_return;
        boundary.after_carriage_return = byte == '\r';
        if (is_second_half)
            continue;
        // An empty line ends the event.
        const bool ends_event = ends_line && boundary.at_line_start;
        boundary.has_event = boundary.has_event || ends_event;
        boundary.unfinished_bytes = ends_event ? 0 : boundary.unfinished_bytes + 1;
        boundary.at_line_start = ends_line;
    }
}

std::string find_last_event_id(std::string_view events)
{
    std::string id;
    while (!events.empty())
    {
        const std::size_t end = events.find('\n');
        std::string_view line = events.substr(0, end);
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        while (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        id = std::string(line);
    }
    return id;
}

bool is_event_stream(std::string_view content_type)
{
    return content_type.empty() || content_type.starts_with("text/event-stream");
}

} // namespace pollenhaven
