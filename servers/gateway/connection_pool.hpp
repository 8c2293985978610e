#ifndef POLLENHAVEN_SERVERS_GATEWAY_CONNECTION_POOL_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_CONNECTION_POOL_HPP

#include "core/records/endpoint_record.hpp"
#include "servers/gateway/event_loop.hpp"

#include <map>
#include <optional>
#include <vector>

namespace pollenhaven
{

// Pool of idle connections to endpoints, reused for later requests.
class connection_pool
{
public:
    explicit connection_pool(event_loop& loop) : loop_(loop) {}

    // Returns an idle connection to the endpoint, or a new one if there is none, with
    // the handlers set.
    stream_id acquire_connection(const endpoint_record& endpoint,
                                 stream_handlers handlers);
    // Returns a new connection to the endpoint with the handlers set.
    stream_id open_connection(const endpoint_record& endpoint, stream_handlers handlers);
    // Returns a connection to the pool. Its last response must be complete, and no bytes
    // may have arrived after it. `idle_timeout` is how long the endpoint keeps an idle
    // connection open, if it announced that.
    void release_connection(const endpoint_id& endpoint, stream_id stream,
                            std::optional<milliseconds> idle_timeout);
    // Closes all idle connections to an endpoint: it drains or was removed, or one of its
    // connections went silent, and others may have with it.
    void remove_endpoint(const endpoint_id& endpoint);
    // Closes all idle connections.
    void remove_all();

private:
    struct idle_stream
    {
        stream_id stream;
        instant usable_until;
    };

    event_loop& loop_;
    std::map<endpoint_id, std::vector<idle_stream>> idle_streams_;
};

} // namespace pollenhaven

#endif
