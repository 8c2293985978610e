#ifndef POLLENHAVEN_SERVERS_GATEWAY_CONNECTION_POOL_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_CONNECTION_POOL_HPP

#include "core/records/endpoint_record.hpp"
#include "servers/gateway/event_loop.hpp"

#include <map>
#include <optional>
#include <vector>

namespace pollenhaven
{

// Idle connections to endpoints, kept for the next request.
class connection_pool
{
public:
    explicit connection_pool(event_loop& loop) : loop_(loop) {}

    // An idle connection to the endpoint, or a new one, with the handlers set.
    stream_id acquire_connection(const endpoint_record& endpoint,
                                 stream_handlers handlers);
    // Keeps a connection whose answer was whole and clean. `idle_timeout` is how long the
    // endpoint keeps it open, if it said so.
    void release_connection(const endpoint_id& endpoint, stream_id stream,
                            std::optional<milliseconds> idle_timeout);
    // Drops all idle connections to an endpoint that left.
    void remove_endpoint(const endpoint_id& endpoint);

private:
    struct idle_stream
    {
        stream_id stream;
        instant usable_until;
    };

    event_loop& loop_;
    std::map<endpoint_id, std::vector<idle_stream>> idle_;
};

} // namespace pollenhaven

#endif
