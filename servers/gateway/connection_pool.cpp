#include "servers/gateway/connection_pool.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// An endpoint that doesn't say how long it keeps a connection may close it within a
// second; a request that meets the close may not be repeated.
constexpr milliseconds assumed_idle_timeout{500};
// A connection is used in the first half of its idle time only, for the same reason.
constexpr int safe_part = 2;
constexpr milliseconds longest_idle{5000};
constexpr std::size_t most_idle_streams = 24;

} // namespace

stream_id connection_pool::acquire_connection(const endpoint_record& endpoint,
                                              stream_handlers handlers)
{
    std::vector<idle_stream>& idle = idle_[endpoint.id];
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
    return loop_.connect(endpoint.address, std::move(handlers));
}

void connection_pool::release_connection(const endpoint_id& endpoint, stream_id stream,
                                         std::optional<milliseconds> idle_timeout)
{
    const milliseconds idle_time =
        std::min(idle_timeout.value_or(assumed_idle_timeout) / safe_part, longest_idle);
    std::vector<idle_stream>& idle = idle_[endpoint];
    if (idle.size() >= most_idle_streams || idle_time.count() <= 0)
        return loop_.close(stream);
    stream_handlers handlers;
    // Bytes that no request asked for belong to none.
    handlers.readable = [this](stream_id id) { loop_.close(id); };
    loop_.set_handlers(stream, std::move(handlers));
    idle.push_back({stream, loop_.now() + idle_time});
}

void connection_pool::remove_endpoint(const endpoint_id& endpoint)
{
    for (const idle_stream& entry : idle_[endpoint])
        loop_.close(entry.stream);
    idle_.erase(endpoint);
}

} // namespace pollenhaven
