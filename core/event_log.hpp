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

// A field of a log line: a text, a whole number or a fraction.
struct log_field
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double> value;
};

// Writes one JSON line for each decision to standard output, on a thread of its own. A
// full queue drops lines and later says how many; the caller never waits. At the end the
// last lines are given up if nobody reads them.
class event_log
{
public:
    // `source` names the daemon in each line.
    explicit event_log(std::string source);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    void write(std::string_view event, std::initializer_list<log_field> fields);

private:
    struct writer;
    std::string source_;
    std::shared_ptr<writer> writer_;
};

} // namespace pollenhaven

#endif
