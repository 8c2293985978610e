#include "servers/gateway/connection_pool.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// An endpoint that doesn't announce an idle timeout may close a connection within a
// second. A request that is sent at that moment may have run, and only some routes allow
// a retry then.
constexpr milliseconds assumed_idle_timeout{500};
// For the same reason a connection is reused only in the first half of its idle timeout.
constexpr int idle_time_divisor = 2;
constexpr milliseconds max_idle_time{5000};
constexpr std::size_t max_idle_streams_per_endpoint = 24;

} // namespace

stream_id connection_pool::acquire_connection(const endpoint_record& endpoint,
                                              stream_handlers handlers)
{
    std::vector<idle_stream>& idle = idle_streams_[endpoint.id];
    while (!idle.empty())
    {
        const idle_stream last = idle.back();
        idle.pop_back();
        if (!loop_.is_open(last.stream))
            continue;
        if (last.usable_until <= loop_.now())
        {
            loop_.close(last.stream);
            continue;
        }
        loop_.set_handlers(last.stream, std::move(handlers));
        return last.stream;
    }
    return open_connection(endpoint, std::move(handlers));
}

stream_id connection_pool::open_connection(const endpoint_record& endpoint,
                                           stream_handlers handlers)
{
    return loop_.connect(endpoint.address, std::move(handlers));
}

void connection_pool::release_connection(const endpoint_id& endpoint, stream_id stream,
                                         std::optional<milliseconds> idle_timeout)
{
    const milliseconds idle_time = std::min(
        idle_timeout.value_or(assumed_idle_timeout) / idle_time_divisor, max_idle_time);
    std::vector<idle_stream>& idle = idle_streams_[endpoint];
    if (idle.size() >= max_idle_streams_per_endpoint || idle_time.count() <= 0)
        return loop_.close(stream);
    stream_handlers handlers;
    // Bytes that arrive on an idle connection belong to no request, and the connection
    // can't be reused after them.
    handlers.readable = [this](stream_id id) { loop_.close(id); };
    loop_.set_handlers(stream, std::move(handlers));
    idle.push_back({stream, loop_.now() + idle_time});
}

void connection_pool::remove_all()
{
    for (const auto& [endpoint, idle] : std::exchange(idle_streams_, {}))
        for (const idle_stream& entry : idle)
            loop_.close(entry.stream);
}

void connection_pool::remove_endpoint(const endpoint_id& endpoint)
{
    for (const idle_stream& entry : idle_streams_[endpoint])
        loop_.close(entry.stream);
    idle_streams_.erase(endpoint);
}

} // namespace pollenhaven
