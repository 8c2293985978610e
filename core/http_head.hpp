#ifndef POLLENHAVEN_CORE_HTTP_HEAD_HPP
#define POLLENHAVEN_CORE_HTTP_HEAD_HPP

#include <string>
#include <string_view>
#include <vector>

namespace pollenhaven
{

struct http_field
{
    std::string name;
    std::string value;
};

// The start line and header fields of an HTTP/1.1 message. Requests have a method and a
// target, responses a status.
struct http_head
{
    std::string method;
    std::string target;
    int status = 0;
    std::vector<http_field> fields;
    // The connection stays open after this message.
    bool keep_alive = true;
};

// Compares header field names, ignoring case.
bool same_field_name(std::string_view left, std::string_view right);

// Returns the value of the first field with this name; empty if there is none.
std::string_view field_value(const http_head& head, std::string_view name);

// Returns true if the field concerns only the connection on which the message arrived: it
// is hop-by-hop (RFC 9110, 7.6.1), describes the framing, or the Connection field lists
// it. Such fields are never forwarded.
bool is_connection_field(const http_head& head, std::string_view name);

// Returns the path of a request target, without its query.
std::string_view path_of(std::string_view target);

// Returns the value of a query parameter, with percent-encoding and "+" decoded; empty if
// there is none.
std::string query_value(std::string_view target, std::string_view name);

} // namespace pollenhaven

#endif
