#ifndef POLLENHAVEN_SERVERS_PEER_TRANSPORT_HPP
#define POLLENHAVEN_SERVERS_PEER_TRANSPORT_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pollenhaven
{

// Names a call that this daemon made to a peer.
using peer_call_id = strong_number<struct peer_call_id_tag>;

// Names a call that a peer made to this daemon.
struct peer_stream_id
{
    std::uint64_t connection = 0;
    std::int32_t stream = 0;

    auto operator<=>(const peer_stream_id&) const = default;
};

// What became of a call: any number of messages, then either an orderly end or a failure.
struct peer_event
{
    enum class kind
    {
        message,
        ended,
        // The connection was lost or never made. If sent is false, the peer can't have
        // received the call.
        failed
    };
    kind what = kind::message;
    std::string message;
    bool sent = true;
};

using peer_event_handler = std::function<void(const peer_event&)>;

// Messages between daemons over HTTP/2 streams: one connection to each peer, one stream
// for each call, a heartbeat on every connection. One thread does all input and output.
// Handlers run on that thread and must not block.
class peer_transport
{
public:
    struct callbacks
    {
        // A peer's call arrived whole.
        std::function<void(peer_stream_id, const std::string& path, std::string message)>
            on_call;
        // A peer gave its call up, or its connection was lost; then it may come back.
        std::function<void(peer_stream_id, bool connection_lost)> on_cancelled;
    };

    // Listens at once. Throws std::runtime_error if the address can't be bound.
    peer_transport(const network_address& listen, callbacks handlers);
    ~peer_transport();
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    // Ends all connections and the thread: no handler is called from here on. Calls and
    // replies made later are dropped.
    void stop();

    // Sends a call. The handler gets events until ended or failed. Thread-safe.
    peer_call_id call(const network_address& peer, const std::string& path,
                      std::string message, const peer_event_handler& handler);
    // Gives a call up; its handler gets no further events. Thread-safe.
    void cancel(peer_call_id call);
    // Sends one message of an answer, and ends the answer if last is set. Thread-safe.
    void reply(peer_stream_id stream, std::string message, bool last);

    // Bytes sent and received so far over all connections.
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    class reactor;
    std::unique_ptr<reactor> reactor_;
};

} // namespace pollenhaven

#endif
