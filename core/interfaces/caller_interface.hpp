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

// An interface for callers beside the platform's own: bytes to records and back, without
// decisions.
struct caller_interface
{
    // What a request asks for; none if it isn't one of this interface.
    std::function<std::optional<request_type>(const http_head&)> classify;
    // Throws request_error with the answer to a request that can't be understood.
    std::function<caller_request(const http_head&, const std::string& body)> read_request;
    directory_writer write_directory;
    // Header lines that tell the caller which request its answer belongs to.
    std::function<std::string(const caller_request&)> write_response_fields;
};

} // namespace pollenhaven

#endif
