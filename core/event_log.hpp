#ifndef POLLENHAVEN_CORE_EVENT_LOG_HPP
#define POLLENHAVEN_CORE_EVENT_LOG_HPP

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace pollenhaven
{

// One field of a log line: a string, an integer or a floating-point number.
struct log_field
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double> value;
};

// Structured log: writes one JSON line per event to standard output from a background
// thread. write() never blocks on output. When the buffer is full, lines are dropped and
// their number is logged later. The destructor waits up to 300 ms for the last lines to
// be written and discards them if standard output is not being read.
class event_log
{
public:
    // `source` is the name of the daemon, written in each line.
    explicit event_log(std::string source);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    // Adds a line with the time, the daemon, the event's name and these fields.
    void write(std::string_view event, std::initializer_list<log_field> fields);

private:
    struct writer;
    std::string source_;
    std::shared_ptr<writer> writer_;
};

} // namespace pollenhaven

#endif
