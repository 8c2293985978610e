#ifndef POLLENHAVEN_SERVERS_HTTP2_CONNECTION_HPP
#define POLLENHAVEN_SERVERS_HTTP2_CONNECTION_HPP

#include "core/boot_clock.hpp"
#include "servers/socket.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

struct nghttp2_session;

namespace pollenhaven
{

// Timing of the heartbeat that finds connections gone silent.
struct heartbeat_timing
{
    milliseconds interval{1000};
    milliseconds timeout{3000};
};

// One HTTP/2 connection between two daemons, either side of it. Messages on a stream
// carry a length prefix of four bytes. Used from one thread only.
class http2_connection
{
public:
    struct callbacks
    {
        // A whole call arrived (server side).
        std::function<void(std::int32_t stream, const std::string& path,
                           std::string message)>
            on_call;
        // One message of an answer arrived (client side).
        std::function<void(std::int32_t stream, std::string message)> on_message;
        // The stream ended; orderly is false if it was reset.
        std::function<void(std::int32_t stream, bool orderly)> on_closed;
    };

    http2_connection(file_descriptor socket, bool is_server, callbacks handlers);
    ~http2_connection();
    http2_connection(const http2_connection&) = delete;
    http2_connection& operator=(const http2_connection&) = delete;

    int descriptor() const { return socket_.number(); }
    bool wants_write() const;
    // Reads what is there. Returns false if the connection is lost.
    bool read_ready();
    // Writes what is pending. Returns false if the connection is lost.
    bool write_ready();
    // Sends heartbeats. Returns false if the other side has been silent for too long.
    bool check_heartbeat(const heartbeat_timing& timing, instant now);

    // Opens a stream with one message (client side). Returns its id, or -1.
    std::int32_t open_call(const std::string& path, const std::string& message);
    void send_message(std::int32_t stream, const std::string& message, bool last);
    void reset(std::int32_t stream);

    std::uint64_t bytes_sent() const { return bytes_sent_; }
    std::uint64_t bytes_received() const { return bytes_received_; }

private:
    struct stream_state
    {
        std::string path;
        std::string received;
        std::string to_send;
        std::size_t sent = 0;
        bool last = false;
        bool answering = false;
    };
    struct session_callbacks;
    friend struct session_callbacks;

    void deliver(std::int32_t stream, bool ended);

    file_descriptor socket_;
    bool is_server_;
    callbacks handlers_;
    nghttp2_session* session_ = nullptr;
    std::map<std::int32_t, stream_state> streams_;
    std::string pending_output_;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    instant last_received_{};
    instant last_ping_{};
};

} // namespace pollenhaven

#endif
