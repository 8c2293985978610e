#ifndef POLLENHAVEN_CORE_VERDICT_HPP
#define POLLENHAVEN_CORE_VERDICT_HPP

#include "core/boot_clock.hpp"

#include <optional>
#include <stdexcept>
#include <string>

namespace pollenhaven
{

// What is known about the execution of a request. A caller may safely retry after
// not_run. After may_have_run it may retry only if the request is idempotent.
enum class verdict
{
    not_run,
    may_have_run,
    completed
};

// Returns the name used on the wire: "not_run", "may_have_run" or "completed".
std::string to_string(verdict value);

// Returns true if callers take the HTTP status for the statement that the request didn't
// run and never will.
bool promises_not_run(int http_status);

// Why a request failed, with what a caller needs to decide whether to retry.
struct failure
{
    verdict execution = verdict::not_run;
    int http_status = 503;
    // An error code for programs, and a message for people.
    std::string code;
    std::string message;
    // The value of the Retry-After field, which is left out if this is none.
    std::optional<milliseconds> retry_after;
};

// Thrown when a request cannot be processed any further.
class request_error : public std::runtime_error
{
public:
    explicit request_error(failure reason);
    const failure& reason() const { return reason_; }

private:
    failure reason_;
};

} // namespace pollenhaven

#endif
