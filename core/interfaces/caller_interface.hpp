#ifndef POLLENHAVEN_CORE_INTERFACES_CALLER_INTERFACE_HPP
#define POLLENHAVEN_CORE_INTERFACES_CALLER_INTERFACE_HPP

#include "core/http_head.hpp"
#include "core/interfaces/platform_dialect.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pollenhaven
{

// An additional HTTP interface for callers, next to that of the platform. Converts
// between bytes and records; makes no decisions.
struct caller_interface
{
    // Returns the type of a request; none if it does not belong to this interface.
    std::function<std::optional<request_type>(const http_head&)> classify;
    // Parses a request. Throws request_error, with the error response for the caller, if
    // the request is invalid.
    std::function<caller_request(const http_head&, const std::string& body)> read_request;
    directory_writer write_directory;
    // Returns the header lines of the response that contain the request's id and adapter.
    std::function<std::string(const caller_request&)> write_response_fields;
};

} // namespace pollenhaven

#endif
