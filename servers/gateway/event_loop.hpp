#ifndef POLLENHAVEN_SERVERS_GATEWAY_EVENT_LOOP_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_EVENT_LOOP_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "policy/output_patience.hpp"
#include "servers/socket.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

struct epoll_event;

namespace pollenhaven
{

// Identifies a TCP connection of an event loop. Values are never reused.
using stream_id = strong_number<struct stream_id_tag>;
// Identifies a timer of an event loop. Values are never reused; 0 means no timer.
using timer_id = strong_number<struct timer_id_tag>;

enum class stream_end
{
    // The peer closed its side, and everything that it sent has been read.
    finished,
    // Reset, refused, timed out or never connected.
    failed
};

// Event handlers of a stream. A handler may close any stream, including its own.
struct stream_handlers
{
    // Called after new bytes were appended to the stream's input.
    std::function<void(stream_id)> readable;
    // Called when the peer has closed its sending side and everything that it sent has
    // been read, or isn't read any more because of pause_reading_while_open(). The stream
    // can still be written. If the handler isn't set, the stream ends then.
    std::function<void(stream_id)> input_ended;
    // Called when the stream has ended. Its input can still be read during the call and
    // is freed after it.
    std::function<void(stream_id, stream_end)> ended;
};

// How much time the loop spent outside of its waits, and the longest time by which a
// timer ran late.
struct loop_statistics
{
    boot_clock::duration busy{};
    boot_clock::duration max_timer_delay{};
    // Streams that ended because their peer left output unread: until the deadline, for
    // too long without confirming anything, or with too much held for it.
    std::int64_t unread_streams_ended = 0;
};

// Serves TCP connections, datagrams and timers on one thread, with epoll. Output is
// buffered and written once per iteration of the loop. Not thread-safe.
class event_loop
{
public:
    event_loop();

    // Accepts connections on an address and passes each new stream to `accepted`, which
    // sets its handlers. Throws std::runtime_error if the address can't be bound.
    void listen(const network_address& address, std::function<void(stream_id)> accepted);
    // Accepts the connections that wait to be accepted, and no others after them. Open
    // streams stay open.
    void stop_listening();
    // Opens a connection. A failure, including a malformed address or a lack of file
    // descriptors, is reported through `ended`, never during this call.
    stream_id connect(const network_address& address, stream_handlers handlers);
    // Replaces the handlers of a stream, which must be open.
    void set_handlers(stream_id id, stream_handlers handlers);
    bool is_open(stream_id id) const { return streams_.contains(id.value); }
    // The bytes that were received and not yet consumed; the user removes those that it
    // consumes. The stream must be open.
    std::string& input(stream_id id);
    // Appends to the stream's output. Does nothing if the stream is closed.
    void send(stream_id id, std::string_view bytes);
    // Stops reading from the stream until resume_reading() is called, so that the peer's
    // bytes stay in the kernel and the peer has to wait.
    void pause_reading(stream_id id);
    // As pause_reading(), but the input ends as soon as the peer has closed its sending
    // side, and the stream as soon as the peer has reset the connection, although bytes
    // that the peer sent before are unread.
    void pause_reading_while_open(stream_id id);
    void resume_reading(stream_id id);
    // Reads what has arrived on the stream by now, with its handlers, rather than in the
    // next iteration. Does nothing if the stream is closed.
    void read_arrived(stream_id id);
    // Returns true if the stream is open and has bytes that were read and not consumed,
    // or that lie unread.
    bool has_input(stream_id id) const;
    // Returns the number of bytes that were not passed to the kernel yet; 0 if the stream
    // is closed.
    std::size_t pending_output(stream_id id) const;
    // Returns true if the stream is open and its peer hasn't confirmed all of its output.
    bool has_undelivered_output(stream_id id) const;
    // Returns true once any byte of the current output has been passed to the kernel.
    // Until then the peer can't have received any of it. The current output begins with
    // the first send() after all earlier output was written.
    bool has_written(stream_id id) const;
    // Returns true if the stream is open and its connection has been established.
    bool is_connected(stream_id id) const;
    // Returns true once the peer is known to have closed its sending side, possibly
    // before all bytes that it sent have been read.
    bool has_peer_closed(stream_id id) const;
    // Closes the stream at once, without writing pending output; `ended` isn't called.
    void close(stream_id id);
    // Closes the stream with a TCP reset, which also discards output in the kernel's
    // buffer, so that none of it reaches the peer later.
    void reset(stream_id id);
    // Makes each end of the stream that isn't requested otherwise a TCP reset, the end of
    // this process among them, so that the peer can't take it for the end of a message.
    void set_reset_on_close(stream_id id, bool resets);
    // Closes the stream once its output is written and the peer has had time to read it;
    // after set_reset_on_close() with a reset as soon as the output is written. Input is
    // discarded from now on.
    void close_after_output(stream_id id);

    // Lets the peer leave output unread until the deadline, as long as it confirms what
    // reaches it; the stream is reset then. Without this, and for a peer that confirms
    // nothing, the stream ends after `unconfirmed_limit` (policy/output_patience.hpp).
    void set_output_deadline(stream_id id, instant deadline);
    // The bytes that accepted streams with a deadline for their output hold of it.
    std::size_t unread_output() const;
    // Resets accepted streams with a deadline for their output until they hold no more
    // than `max_bytes` of it together, first those whose peers have left it unread for
    // the longest time. Bytes that were passed to the kernel don't count.
    void limit_unread_output(std::size_t max_bytes);

    // Ends the sending side of an idle stream now, and closes it once the peer has closed
    // its side or has had time to. Nothing more is read: a message that crosses the end
    // stays unread, and the reset that answers it tells its sender so. `ended` isn't
    // called.
    void end_unread(stream_id id);

    // Returns the number of streams that close_after_output() or end_unread() has begun
    // to close. The end of the process would cut off what their peers haven't read.
    std::size_t closing_streams() const;

    // Receives datagrams on an address. Throws std::runtime_error if the address can't be
    // bound.
    void listen_for_datagrams(const network_address& address,
                              std::function<void(std::string_view)> received);
    // Sends a datagram from the address of listen_for_datagrams(). The datagram may be
    // lost. Throws std::runtime_error if `to` is malformed.
    void send_datagram(const network_address& to, std::string_view bytes);

    // Calls `call` once, at or after the given time. What had arrived at `now()` has been
    // read before any timer that is due runs, so a timer may conclude from the lack of a
    // message that its peer hasn't sent it.
    timer_id schedule(instant when, std::function<void()> call);
    timer_id schedule_after(milliseconds delay, std::function<void()> call);
    // Does nothing if the timer has already run or is 0.
    void cancel(timer_id timer);

    // The time at which the current iteration of the loop began.
    instant now() const { return now_; }
    // Returns the statistics since the last call.
    loop_statistics take_statistics() { return std::exchange(statistics_, {}); }
    // Runs the loop until `finished` returns true; it is called once per iteration.
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
        bool reading_paused = false;
        // While reading is paused, the input ends once the peer has closed its side.
        bool ends_while_paused = false;
        bool peer_closed = false;
        // The end of the input was reported; only output is left.
        bool input_ended = false;
        bool closes_after_output = false;
        bool discards_input = false;
        // close_after_output() or end_unread() was called.
        bool is_closing = false;
        bool resets_on_close = false;
        // See end_unread().
        bool ends_unread = false;
        bool flush_scheduled = false;
        bool has_written = false;
        // The peer has opened the connection.
        bool is_accepted = false;
        // See set_output_deadline().
        std::optional<instant> output_deadline;
        milliseconds limit_on_unconfirmed{unconfirmed_limit};
        bool written_since_check = false;
        // When a check first found output that the peer hasn't confirmed; none if all was
        // delivered by the last check.
        std::optional<instant> unread_since;
    };

    stream_id report_failure_later(stream_handlers handlers);
    stream_id add_stream(file_descriptor socket, stream_handlers handlers);
    void set_poll_events(int descriptor, std::uint64_t tag, std::uint32_t events,
                         int operation);
    void update_poll_events(stream_id id);
    void set_reading_paused(stream_id id, bool paused, bool ends_while_paused = false);
    void accept_all(std::uint64_t tag);
    void read_stream(stream_id id);
    void write_stream(stream_id id);
    void drain_and_close(stream_id id);
    // Closes a stream whose sending side has ended, once its peer has the rest of the
    // output or may no longer take its time for it.
    void close_once_delivered(stream_id id);
    // Checks the streams that were written since the last check.
    void check_output();
    // Returns false if the stream needs no further checks before it gets a new deadline.
    bool check_written_stream(stream_id id);
    static void set_unconfirmed_limit(stream& target, milliseconds limit);
    // Extends the limit on unconfirmed output, or ends the stream.
    void check_unread_output(stream_id id);
    void give_up_unread_output(stream_id id);
    void end_input(stream_id id);
    void end_stream(stream_id id, stream_end end);
    void flush();
    void read_datagrams();
    void run_timers();
    int epoll_timeout_ms(instant now) const;
    void handle_event(std::uint64_t tag, std::uint32_t events);
    // Waits for events and returns the first of them, at most as many as `events` holds.
    std::span<const epoll_event> wait_for_events(std::span<epoll_event> events,
                                                 int timeout_ms) const;
    void handle_events(std::span<const epoll_event> events);
    void handle_arrived_events();

    struct listener
    {
        file_descriptor socket;
        std::function<void(stream_id)> accepted;
    };

    file_descriptor epoll_;
    instant now_;
    loop_statistics statistics_;
    std::uint64_t next_id_ = 1;
    std::unordered_map<std::uint64_t, stream> streams_;
    std::map<std::uint64_t, listener> listeners_;
    // Connections that failed to open and whose `ended` handler hasn't been called yet.
    std::set<std::uint64_t> failed_connects_;
    std::vector<stream_id> flush_queue_;
    // The streams whose output is checked: those whose deadline for it hasn't passed, and
    // those that have unread output.
    std::set<std::uint64_t> with_output_deadline_;
    bool output_check_scheduled_ = false;
    // False once the system has failed to tell the state of a delivery.
    bool has_delivery_states_ = true;
    file_descriptor datagram_socket_;
    std::uint64_t datagram_tag_ = 0;
    std::function<void(std::string_view)> datagram_received_;
    std::map<std::pair<instant, std::uint64_t>, std::function<void()>> timers_;
    std::unordered_map<std::uint64_t, instant> timer_deadlines_;
};

} // namespace pollenhaven

#endif
