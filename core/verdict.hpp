#ifndef POLLENHAVEN_CORE_VERDICT_HPP
#define POLLENHAVEN_CORE_VERDICT_HPP

#include "core/boot_clock.hpp"

#include <optional>
#include <stdexcept>
#include <string>

namespace pollenhaven
{

// Says what is known about the execution of a request. A caller may safely send a request
// again after not_run; after may_have_run it must not, unless the call is idempotent.
enum class verdict
{
    not_run,
    may_have_run,
    completed
};

// The verdict's name on the wire: "not_run", "may_have_run" or "completed".
std::string to_string(verdict value);

// Why a request failed, in a form that callers can act on.
struct failure
{
    verdict execution = verdict::not_run;
    int http_status = 503;
    std::string code;
    std::string message;
    std::optional<milliseconds> retry_after;
};

// Carries a failure out of code that can't go on.
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
