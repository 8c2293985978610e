#ifndef POLLENHAVEN_SERVERS_GATEWAY_HTTP_SERVER_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_HTTP_SERVER_HPP

#include "core/verdict.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/http_reader.hpp"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace pollenhaven
{

// The connections of callers: reads whole requests, one at a time on each connection, and
// writes their answers.
class http_server
{
public:
    // A whole request arrived; it is answered on its stream.
    using request_handler =
        std::function<void(stream_id, const http_head&, std::string body)>;
    // The caller of an unanswered request is gone.
    using disconnect_handler = std::function<void(stream_id)>;

    http_server(gateway_context& context, request_handler on_request,
                disconnect_handler on_disconnect);

    void listen(const network_address& address);
    // A complete answer. `fields` are header lines that end in CRLF.
    void send_response(stream_id caller, int status, const std::string& fields,
                       const std::string& body);
    // An answer of the daemon's own, with a JSON body that states code, message and
    // whether the request may have run.
    void send_error(stream_id caller, const failure& reason,
                    const std::string& fields = "");
    // An answer whose body follows piece by piece.
    void begin_response(stream_id caller, int status, const std::string& fields);
    void send_chunk(stream_id caller, std::string_view bytes);
    void end_response(stream_id caller);
    // Breaks the answer off, so that it can't be taken for a whole one.
    void abort_response(stream_id caller);

    // Closes connections on which no request is under way, and those that stay idle or
    // send a request too slowly. Called regularly.
    void close_idle(bool all);
    std::size_t connections() const { return connections_.size(); }

private:
    struct caller_connection
    {
        http_reader reader;
        bool request_in_progress = false;
        bool keep_alive = true;
        instant idle_since;
        bool request_started = false;
    };

    void on_accepted(stream_id id);
    void on_readable(stream_id id);
    void on_ended(stream_id id);
    void read_next(stream_id id);
    void refuse_malformed(stream_id id, const http_reader& reader);
    void finish_response(stream_id id);
    std::string status_line(int status) const;
    std::string connection_fields(const caller_connection& connection) const;
    message_limits limits() const;

    gateway_context& context_;
    request_handler on_request_;
    disconnect_handler on_disconnect_;
    std::unordered_map<std::uint64_t, caller_connection> connections_;
};

} // namespace pollenhaven

#endif
