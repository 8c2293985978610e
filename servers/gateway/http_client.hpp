#ifndef POLLENHAVEN_SERVERS_GATEWAY_HTTP_CLIENT_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_HTTP_CLIENT_HPP

#include "servers/gateway/event_loop.hpp"
#include "servers/gateway/http_reader.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace pollenhaven
{

// The result of a call of http_client.
struct http_result
{
    // False if no complete response arrived; the call may have been executed.
    bool has_response = false;
    // True if no byte of the call was sent, so that it can't have been executed.
    bool not_sent = false;
    // True if the response was given up because it is longer than the client reads.
    bool is_too_long = false;
    int status = 0;
    http_head head;
    std::string body;
};

// An HTTP client for one address. Sends queued calls in order, one at a time over one
// connection, which is opened on demand and replaced after each failure.
class http_client
{
public:
    using completion_handler = std::function<void(const http_result&)>;

    http_client(event_loop& loop, network_address address);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Queues a call. `bytes` is the encoded request. `timeout` counts from the time at
    // which the call is sent, not queued. `done` is called once with the result.
    void call(std::string bytes, milliseconds timeout, completion_handler done);
    // Closes the connection and discards all calls without calling their handlers.
    void cancel_all();

private:
    struct pending_call
    {
        std::string bytes;
        milliseconds timeout;
        completion_handler done;
    };

    void send_next();
    void on_readable();
    void on_ended(stream_end end);
    void finish(const http_result& result, bool reuse);
    void drop_stream();

    event_loop& loop_;
    network_address address_;
    std::deque<pending_call> queued_calls_;
    std::optional<pending_call> current_call_;
    stream_id stream_;
    std::optional<http_reader> reader_;
    timer_id timeout_timer_;
};

} // namespace pollenhaven

#endif
