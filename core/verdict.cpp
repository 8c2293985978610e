#include "core/verdict.hpp"

#include <utility>

namespace pollenhaven
{

std::string to_string(verdict value)
{
    switch (value)
    {
    case verdict::not_run:
        return "not_run";
    case verdict::completed:
        return "completed";
    case verdict::may_have_run:
        break;
    }
    return "may_have_run";
}

bool promises_not_run(int http_status)
{
    constexpr int status_request_timeout = 408;
    constexpr int status_misdirected = 421;
    constexpr int status_too_many_requests = 429;
    constexpr int status_unavailable = 503;
    return http_status == status_request_timeout || http_status == status_misdirected ||
           http_status == status_too_many_requests || http_status == status_unavailable;
}

request_error::request_error(failure reason)
    : std::runtime_error(reason.code + ": " + reason.message), reason_(std::move(reason))
{
}

} // namespace pollenhaven
