#ifndef POLLENHAVEN_SERVERS_GATEWAY_EVENT_LOOP_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_EVENT_LOOP_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "servers/socket.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pollenhaven
{

// Names a TCP connection of an event loop; never used twice.
using stream_id = strong_number<struct stream_id_tag>;
// Names a scheduled call of an event loop; never used twice. 0 names none.
using timer_id = strong_number<struct timer_id_tag>;

enum class stream_end
{
    // The peer closed its side after everything it sent was read.
    finished,
    // Reset, refused, timed out or never connected.
    failed
};

// What happens to a stream. A handler may close any stream, also its own.
struct stream_handlers
{
    // New bytes stand at the end of the stream's input.
    std::function<void(stream_id)> readable;
    // The stream has ended; its input can be read during the call and is gone after it.
    std::function<void(stream_id, stream_end)> ended;
};

// Carries many connections on one thread. Output is collected and written once for each
// round of events. Not thread-safe.
class event_loop
{
public:
    event_loop();

    // Accepts connections on an address. Throws std::runtime_error if it can't be bound.
    void listen(const network_address& address, std::function<void(stream_id)> accepted);
    void stop_listening();
    // Starts a connection; a failure, also a malformed address or a lack of descriptors,
    // is told through `ended`, never during this call.
    stream_id connect(const network_address& address, stream_handlers handlers);
    void set_handlers(stream_id id, stream_handlers handlers);
    bool is_open(stream_id id) const { return streams_.contains(id.value); }
    // The bytes received and not yet consumed.
    std::string& input(stream_id id);
    void send(stream_id id, std::string_view bytes);
    // True once any byte of the newest output was handed to the system; until then
    // nothing of it can have arrived.
    bool has_written(stream_id id) const;
    // Drops the stream at once; `ended` isn't called.
    void close(stream_id id);
    // Drops the stream and tells the peer with a reset, so that nothing of it arrives
    // late.
    void reset(stream_id id);
    // Closes the stream once its output is written and the peer had time to read it.
    void close_after_output(stream_id id);

    // Receives datagrams on an address. Throws std::runtime_error if it can't be bound.
    void listen_for_datagrams(const network_address& address,
                              std::function<void(std::string_view)> received);
    // Sends a datagram, which may be lost.
    void send_datagram(const network_address& to, std::string_view bytes);

    timer_id schedule(instant when, std::function<void()> call);
    timer_id schedule_after(milliseconds delay, std::function<void()> call);
    void cancel(timer_id timer);

    // The moment at which the current round of events began.
    instant now() const { return now_; }
    // Serves events until `finished` returns true; it is asked once a round.
    void run(const std::function<bool()>& finished);

private:
    struct stream
    {
        file_descriptor socket;
        stream_handlers handlers;
        std::string input;
        std::string output;
        std::size_t written = 0;
        bool waiting_for_writable = false;
        bool closes_after_output = false;
        bool flush_scheduled = false;
        bool has_written = false;
    };

    stream_id report_failure_later(stream_handlers handlers);
    stream_id add_stream(file_descriptor socket, stream_handlers handlers);
    void set_poll_events(int descriptor, std::uint64_t tag, std::uint32_t events,
                         int operation);
    void accept_all(std::uint64_t tag);
    void read_stream(stream_id id);
    void write_stream(stream_id id);
    void drain_and_close(stream_id id);
    void end_stream(stream_id id, stream_end end);
    void flush();
    void read_datagrams();
    void run_timers();
    int epoll_timeout_ms() const;
    void handle_event(std::uint64_t tag, std::uint32_t events);

    struct listener
    {
        file_descriptor socket;
        std::function<void(stream_id)> accepted;
    };

    file_descriptor epoll_;
    instant now_;
    std::uint64_t next_id_ = 1;
    std::unordered_map<std::uint64_t, stream> streams_;
    std::map<std::uint64_t, listener> listeners_;
    // Connections that failed before they had a stream, until that is told.
    std::set<std::uint64_t> failed_connects_;
    std::vector<stream_id> flush_queue_;
    file_descriptor datagram_socket_;
    std::uint64_t datagram_tag_ = 0;
    std::function<void(std::string_view)> datagram_received_;
    std::map<std::pair<instant, std::uint64_t>, std::function<void()>> timers_;
    std::unordered_map<std::uint64_t, instant> timer_deadlines_;
};

} // namespace pollenhaven

#endif
