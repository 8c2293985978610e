#ifndef POLLENHAVEN_SERVERS_GATEWAY_HTTP_SERVER_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_HTTP_SERVER_HPP

#include "core/verdict.hpp"
#include "servers/gateway/counted_bytes.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/http_reader.hpp"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace pollenhaven
{

// What tells a caller where the body of a response ends.
enum class body_framing
{
    // The Content-Length field.
    length,
    // The last chunk.
    chunked,
    // An orderly end of the connection.
    connection_end
};

// The field of an error response of a daemon that says whether the request may have run.
inline constexpr const char* verdict_field = "X-Verdict";

// The Retry-After of a response to a caller that has closed its sending side, and may
// still read.
constexpr milliseconds departed_retry_delay{1000};

// What an address serves. The settings may give several of these the same address.
struct address_roles
{
    // Requests on the routes of the configuration.
    bool callers = false;
    bool readiness = false;
    bool directory = false;
    // Requests that other daemons pass on.
    bool peers = false;
};

// An HTTP/1.1 server on the event loop, for callers and for operators. Reads complete
// requests, one at a time on each connection, and writes their responses. The functions
// that write a response do nothing if the caller has disconnected.
class http_server
{
public:
    // Called with each complete request; the response is sent on the same stream.
    using request_handler =
        std::function<void(stream_id, const http_head&, std::string body)>;
    // Called when a caller closes its connection, or its sending side only, before its
    // response is complete. A response to the latter still reaches the caller.
    using disconnect_handler = std::function<void(stream_id)>;

    http_server(gateway_context& context, request_handler on_request,
                disconnect_handler on_disconnect);

    // Throws std::runtime_error if the address can't be bound.
    void listen(const network_address& address, const address_roles& roles);
    // Returns what the address serves at which the caller has connected; nothing if it
    // has disconnected.
    address_roles roles_of(stream_id caller) const;
    // Returns true if the request came from another daemon.
    bool is_from_peer(stream_id caller) const { return roles_of(caller).peers; }
    // Sends a complete response, with a length or ended by the connection. `fields` are
    // header lines, each of which ends in CRLF.
    void send_response(stream_id caller, int status, const std::string& fields,
                       const std::string& body,
                       body_framing framing = body_framing::length);
    // Sends an error response that the daemon itself generates. The JSON body contains
    // the error code, the message, and whether the request may have run.
    void send_error(stream_id caller, const failure& reason,
                    const std::string& fields = "");
    // Sends the head of a streamed response, chunked or ended by the connection.
    // send_chunk() and end_response() must follow.
    void begin_response(stream_id caller, int status, const std::string& fields,
                        body_framing framing);
    void send_chunk(stream_id caller, std::string_view bytes);
    // Marks the end of the response in its framing.
    void end_response(stream_id caller);
    // Closes the connection without the final chunk, or with a reset, so that the caller
    // can't mistake the truncated response for a complete one.
    void abort_response(stream_id caller);

    // Ends connections that have been idle for longer than the configured time, or all
    // idle ones if `all` is set, and refuses requests that arrive too slowly. A
    // connection with a request that lies unread isn't idle. A lowered limit holds for
    // connections that become idle after it, since their callers go by the limit that
    // they know. Must be called periodically.
    void close_idle(bool all);
    std::size_t connections() const { return connections_.size(); }

private:
    struct caller_connection
    {
        http_reader reader;
        // The bytes of the current request, of a part of it or of what follows it, that
        // the daemon holds.
        counted_bytes held_bytes;
        // The size of the head and of the part of the body that were parsed of the
        // current request.
        std::size_t head_bytes = 0;
        std::size_t body_bytes = 0;
        address_roles roles;
        // True from the time at which a request is complete to the end of its response.
        bool request_in_progress = false;
        // False if the connection ends after the response to the current request.
        bool keep_alive = true;
        // The time at which the connection became idle or, once a request has started to
        // arrive, the time at which its first bytes arrived.
        instant idle_since;
        bool request_started = false;
        // The longest idle time that was configured since the connection became idle.
        milliseconds idle_timeout{};
        // The framing of the streamed response in progress.
        body_framing framing = body_framing::chunked;
    };

    void on_accepted(stream_id id, const address_roles& roles);
    void on_readable(stream_id id);
    void on_input_ended(stream_id id);
    void on_ended(stream_id id);
    void read_next(stream_id id);
    // Reads the next request from the input after the delay.
    void read_later(stream_id id, milliseconds delay);
    read_state parse(stream_id id);
    void count_held_bytes(stream_id id);
    // Returns true if all connections together hold too much for one of this size.
    bool is_over_limit(std::size_t own_bytes) const;
    // Refuses incomplete requests, the largest first, until the daemon holds no more than
    // it may.
    void refuse_largest_incomplete();
    void refuse_for_memory(stream_id id);
    // Refuses a request whose caller has closed its sending side.
    void refuse_departed(stream_id id);
    void refuse_malformed(stream_id id, const http_reader& reader);
    void finish_response(stream_id id);
    // Bounds what the daemon holds of complete responses that their callers read slowly.
    void limit_unread_responses();
    std::string status_line(int status) const;
    // Decides whether the connection ends after the response whose head is sent now, and
    // returns the fields of that head that say so. A caller goes by them, so what is
    // decided holds. While the daemon stops, each connection ends so, but for those whose
    // next request has arrived.
    std::string connection_fields(stream_id id, caller_connection& connection) const;
    // Prepares the connection for the next request.
    void become_idle(caller_connection& connection) const;
    bool is_idle_too_long(const caller_connection& connection) const;
    bool is_too_slow(const caller_connection& connection) const;
    void end_if_idle(stream_id id, bool all);
    void refuse_if_slow(stream_id id);
    caller_limits configured_limits() const;
    message_limits limits() const;

    gateway_context& context_;
    request_handler on_request_;
    disconnect_handler on_disconnect_;
    // The bytes that all connections hold.
    std::size_t held_bytes_ = 0;
    std::unordered_map<std::uint64_t, caller_connection> connections_;
    bool limit_scheduled_ = false;
};

} // namespace pollenhaven

#endif
