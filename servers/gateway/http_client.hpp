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

// How a call ended.
struct http_result
{
    // False if no whole answer came; the call may have been carried out.
    bool answered = false;
    // True if the call can't have been carried out, because nothing of it was sent.
    bool not_sent = false;
    int status = 0;
    std::string body;
};

// Makes HTTP calls to one address, one at a time over one connection, which is opened
// when needed and replaced after each failure. Calls wait in order.
class http_client
{
public:
    using completion_handler = std::function<void(const http_result&)>;

    http_client(event_loop& loop, network_address address);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // `timeout` counts from the moment at which the call is sent.
    void call(std::string bytes, milliseconds timeout, completion_handler done);
    // Drops the connection and all calls; none of them is answered.
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
    std::deque<pending_call> waiting_;
    std::optional<pending_call> current_;
    stream_id stream_;
    std::optional<http_reader> reader_;
    timer_id timeout_;
};

} // namespace pollenhaven

#endif
