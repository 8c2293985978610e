#include "servers/gateway/event_loop.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <stdexcept>

namespace pollenhaven
{

namespace
{

// Large enough that one read usually suffices for a request, or for the bytes that arrive
// on a stream between two iterations.
constexpr std::size_t read_bytes = 16384;
constexpr std::size_t max_datagram_bytes = 65536;
// Datagrams that are read before connections and timers get their turn. The rest is read
// in the next iteration.
constexpr int max_datagrams_per_event = 64;
// Enough for a caller to read a response and close its side.
constexpr milliseconds linger_time{500};
constexpr int max_events_per_wait = 64;
// Processor time for reading before timers that are due get their turn, once each stream
// has been read. Processor time doesn't pass while the process is stopped.
constexpr std::chrono::milliseconds max_reading_before_timers{20};
constexpr std::uint32_t reading_events = EPOLLIN | EPOLLRDHUP;
// Upper bound of one wait, because signals are handled only between two waits.
constexpr int max_wait_ms = 200;

void set_socket_options(int descriptor)
{
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    const int timeout_ms = static_cast<int>(unconfirmed_limit.count());
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
}

bool would_block()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

std::size_t queued_bytes(const file_descriptor& socket, unsigned long queue)
{
    int bytes = 0;
    if (ioctl(socket.number(), queue, &bytes) != 0)
        return 0;
    return static_cast<std::size_t>(std::max(bytes, 0));
}

std::size_t unread_bytes(const file_descriptor& socket)
{
    return queued_bytes(socket, SIOCINQ);
}

std::size_t unconfirmed_bytes(const file_descriptor& socket)
{
    return queued_bytes(socket, SIOCOUTQ);
}

std::chrono::nanoseconds thread_processor_time()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

} // namespace

event_loop::event_loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)), now_(boot_clock::now())
{
    if (epoll_.number() < 0)
        throw std::runtime_error(std::string("epoll_create1 failed: ") +
                                 std::strerror(errno));
}

void event_loop::set_poll_events(int descriptor, std::uint64_t tag, std::uint32_t events,
                                 int operation)
{
    epoll_event event{};
    event.events = events;
    event.data.u64 = tag;
    if (epoll_ctl(epoll_.number(), operation, descriptor, &event) != 0)
        throw std::runtime_error(std::string("epoll_ctl failed: ") +
                                 std::strerror(errno));
}

void event_loop::listen(const network_address& address,
                        std::function<void(stream_id)> accepted)
{
    const std::uint64_t tag = next_id_++;
    listener added{listen_on(address), std::move(accepted)};
    set_poll_events(added.socket.number(), tag, EPOLLIN, EPOLL_CTL_ADD);
    listeners_.emplace(tag, std::move(added));
}

void event_loop::stop_listening()
{
    std::vector<std::uint64_t> tags;
    for (const auto& [tag, source] : listeners_)
        tags.push_back(tag);
    for (const std::uint64_t tag : tags)
        accept_all(tag);
    listeners_.clear();
}

stream_id event_loop::add_stream(file_descriptor socket, stream_handlers handlers)
{
    const stream_id id{next_id_++};
    const int descriptor = socket.number();
    stream& added = streams_[id.value];
    added.socket = std::move(socket);
    added.handlers = std::move(handlers);
    set_poll_events(descriptor, id.value, reading_events, EPOLL_CTL_ADD);
    return id;
}

void event_loop::accept_all(std::uint64_t tag)
{
    while (listeners_.contains(tag))
    {
        listener& source = listeners_.at(tag);
        file_descriptor socket = accept_from(source.socket);
        if (socket.number() < 0)
            return;
        set_socket_options(socket.number());
        const stream_id id = add_stream(std::move(socket), {});
        streams_.at(id.value).is_accepted = true;
        source.accepted(id);
    }
}

stream_id event_loop::report_failure_later(stream_handlers handlers)
{
    const stream_id id{next_id_++};
    failed_connects_.insert(id.value);
    schedule(now_,
             [this, id, failed_handlers = std::move(handlers)]
             {
                 if (failed_connects_.erase(id.value) > 0 && failed_handlers.ended)
                     failed_handlers.ended(id, stream_end::failed);
             });
    return id;
}

stream_id event_loop::connect(const network_address& address, stream_handlers handlers)
{
    file_descriptor socket;
    try
    {
        socket = connect_to(address);
    }
    catch (const std::runtime_error&)
    {
        return report_failure_later(std::move(handlers));
    }
    set_socket_options(socket.number());
    const stream_id id = add_stream(std::move(socket), std::move(handlers));
    stream& added = streams_.at(id.value);
    // The socket becomes writable once the connection is established.
    added.waiting_for_writable = true;
    update_poll_events(id);
    return id;
}

bool event_loop::is_connected(stream_id id) const
{
    const auto found = streams_.find(id.value);
    return found != streams_.end() &&
           (found->second.has_written || !found->second.waiting_for_writable);
}

bool event_loop::has_peer_closed(stream_id id) const
{
    const auto found = streams_.find(id.value);
    return found != streams_.end() && found->second.peer_closed;
}

void event_loop::set_handlers(stream_id id, stream_handlers handlers)
{
    streams_.at(id.value).handlers = std::move(handlers);
}

std::string& event_loop::input(stream_id id)
{
    return streams_.at(id.value).input;
}

void event_loop::send(stream_id id, std::string_view bytes)
{
    const auto found = streams_.find(id.value);
    if (found == streams_.end())
        return;
    if (found->second.output.empty())
        found->second.has_written = false;
    found->second.output.append(bytes);
    if (!found->second.flush_scheduled)
        flush_queue_.push_back(id);
    found->second.flush_scheduled = true;
}

void event_loop::update_poll_events(stream_id id)
{
    const stream& target = streams_.at(id.value);
    const std::uint32_t while_paused =
        target.ends_while_paused ? std::uint32_t{EPOLLRDHUP} : std::uint32_t{0};
    const std::uint32_t reading = target.reading_paused ? while_paused : reading_events;
    const std::uint32_t events =
        (target.input_ended ? std::uint32_t{0} : reading) |
        (target.waiting_for_writable ? std::uint32_t{EPOLLOUT} : std::uint32_t{0});
    set_poll_events(target.socket.number(), id.value, events, EPOLL_CTL_MOD);
}

void event_loop::set_reading_paused(stream_id id, bool paused, bool ends_while_paused)
{
    const auto found = streams_.find(id.value);
    if (found == streams_.end() || (found->second.reading_paused == paused &&
                                    found->second.ends_while_paused == ends_while_paused))
        return;
    found->second.reading_paused = paused;
    found->second.ends_while_paused = ends_while_paused;
    update_poll_events(id);
}

void event_loop::pause_reading(stream_id id)
{
    set_reading_paused(id, true);
}

void event_loop::pause_reading_while_open(stream_id id)
{
    set_reading_paused(id, true, true);
}

void event_loop::resume_reading(stream_id id)
{
    set_reading_paused(id, false);
}

std::size_t event_loop::pending_output(stream_id id) const
{
    const auto found = streams_.find(id.value);
    return found == streams_.end() ? 0
                                   : found->second.output.size() - found->second.written;
}

bool event_loop::has_undelivered_output(stream_id id) const
{
    const auto found = streams_.find(id.value);
    return found != streams_.end() &&
           (pending_output(id) > 0 || unconfirmed_bytes(found->second.socket) > 0);
}

bool event_loop::has_written(stream_id id) const
{
    const auto found = streams_.find(id.value);
    return found != streams_.end() && found->second.has_written;
}

void event_loop::reset(stream_id id)
{
    set_reset_on_close(id, true);
    close(id);
}

void event_loop::set_reset_on_close(stream_id id, bool resets)
{
    const auto found = streams_.find(id.value);
    if (found == streams_.end() || found->second.resets_on_close == resets)
        return;
    found->second.resets_on_close = resets;
    const linger option{resets ? 1 : 0, 0};
    setsockopt(found->second.socket.number(), SOL_SOCKET, SO_LINGER, &option,
               sizeof option);
}

void event_loop::close(stream_id id)
{
    failed_connects_.erase(id.value);
    streams_.erase(id.value);
}

void event_loop::close_after_output(stream_id id)
{
    const auto found = streams_.find(id.value);
    if (found == streams_.end())
        return;
    found->second.closes_after_output = true;
    found->second.discards_input = true;
    found->second.is_closing = true;
    if (found->second.reading_paused)
    {
        // Unread input would turn the close into a reset.
        found->second.input_ended = false;
        found->second.reading_paused = false;
        found->second.ends_while_paused = false;
        update_poll_events(id);
    }
    if (!found->second.flush_scheduled)
        flush_queue_.push_back(id);
    found->second.flush_scheduled = true;
}

// Closing a socket with unread input sends a reset, which may reach the peer before it
// has read the response. So only the sending side is shut down, and input is discarded
// until the peer closes its side or `linger_time` has passed.
void event_loop::drain_and_close(stream_id id)
{
    stream& target = streams_.at(id.value);
    shutdown(target.socket.number(), SHUT_WR);
    target.handlers = {};
    target.closes_after_output = false;
    schedule_after(linger_time, [this, id] { close_once_delivered(id); });
}

void event_loop::close_once_delivered(stream_id id)
{
    const auto found = streams_.find(id.value);
    if (found == streams_.end())
        return;
    const bool may_be_read_later =
        found->second.output_deadline && now_ < *found->second.output_deadline;
    if (!may_be_read_later || !has_undelivered_output(id))
        return close(id);
    schedule_after(linger_time, [this, id] { close_once_delivered(id); });
}

void event_loop::end_unread(stream_id id)
{
    const auto found = streams_.find(id.value);
    if (found == streams_.end())
        return;
    shutdown(found->second.socket.number(), SHUT_WR);
    found->second.handlers = {};
    found->second.ends_unread = true;
    found->second.is_closing = true;
    pause_reading(id);
    schedule_after(linger_time, [this, id] { close(id); });
}

std::size_t event_loop::closing_streams() const
{
    return static_cast<std::size_t>(std::count_if(streams_.begin(), streams_.end(),
                                                  [](const auto& entry)
                                                  { return entry.second.is_closing; }));
}

void event_loop::end_input(stream_id id)
{
    stream& source = streams_.at(id.value);
    if (!source.closes_after_output && !source.handlers.input_ended)
        return end_stream(id, stream_end::finished);
    source.input_ended = true;
    update_poll_events(id);
    if (source.closes_after_output)
        return;
    // The handler is copied, because the call may close the stream and destroy it.
    const std::function<void(stream_id)> input_ended = source.handlers.input_ended;
    input_ended(id);
}

void event_loop::end_stream(stream_id id, stream_end end)
{
    const auto found = streams_.find(id.value);
    if (found == streams_.end())
        return;
    // The handlers are copied, because the call may close the stream and destroy them.
    const stream_handlers handlers = found->second.handlers;
    if (handlers.ended)
        handlers.ended(id, end);
    streams_.erase(id.value);
}

void event_loop::read_stream(stream_id id)
{
    const auto found = streams_.find(id.value);
    if (found == streams_.end())
        return;
    stream& source = found->second;
    const std::size_t before = source.input.size();
    source.input.resize(before + read_bytes);
    const ssize_t count =
        recv(source.socket.number(), source.input.data() + before, read_bytes, 0);
    source.input.resize(before + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    if (count > 0 && source.discards_input)
    {
        source.input.clear();
        source.input.shrink_to_fit();
        return;
    }
    // What the stream's owner has sent last is still to be written. While reading is
    // paused, only a connection that has ended altogether gets here.
    if (count == 0 && source.closes_after_output && !source.reading_paused)
        return pause_reading(id);
    if (count == 0)
        return end_input(id);
    if (count < 0)
    {
        if (!would_block())
            end_stream(id, stream_end::failed);
        return;
    }
    const std::function<void(stream_id)> readable = source.handlers.readable;
    if (readable)
        readable(id);
}

void event_loop::read_arrived(stream_id id)
{
    const auto found = streams_.find(id.value);
    if (found == streams_.end())
        return;
    const std::size_t reads =
        (unread_bytes(found->second.socket) + read_bytes - 1) / read_bytes;
    for (std::size_t read = 0; read < reads; ++read)
        read_stream(id);
}

bool event_loop::has_input(stream_id id) const
{
    const auto found = streams_.find(id.value);
    return found != streams_.end() &&
           (!found->second.input.empty() || unread_bytes(found->second.socket) > 0);
}

void event_loop::write_stream(stream_id id)
{
    const auto found = streams_.find(id.value);
    if (found == streams_.end())
        return;
    stream& target = found->second;
    target.flush_scheduled = false;
    while (target.written < target.output.size())
    {
        const ssize_t count =
            ::send(target.socket.number(), target.output.data() + target.written,
                   target.output.size() - target.written, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && !would_block() && errno != ENOTCONN)
            return end_stream(id, stream_end::failed);
        if (count < 0)
            break;
        target.written += static_cast<std::size_t>(count);
        target.has_written = true;
        target.written_since_check = true;
    }
    const bool all_written = target.written == target.output.size();
    if (all_written)
    {
        target.output.clear();
        target.written = 0;
        if (target.closes_after_output)
            return target.resets_on_close ? close(id) : drain_and_close(id);
    }
    if (target.waiting_for_writable == all_written)
    {
        target.waiting_for_writable = !all_written;
        update_poll_events(id);
    }
}

void event_loop::flush()
{
    while (!flush_queue_.empty())
    {
        std::vector<stream_id> batch;
        batch.swap(flush_queue_);
        for (const stream_id id : batch)
        {
            const auto found = streams_.find(id.value);
            if (found == streams_.end())
                continue;
            // A stream that isn't writable yet is written once epoll reports that it is.
            if (found->second.waiting_for_writable)
                found->second.flush_scheduled = false;
            else
                write_stream(id);
        }
    }
}

void event_loop::listen_for_datagrams(const network_address& address,
                                      std::function<void(std::string_view)> received)
{
    const sockaddr_in local = to_socket_address(address);
    datagram_socket_ =
        file_descriptor(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (bind(datagram_socket_.number(), reinterpret_cast<const sockaddr*>(&local),
             sizeof local) != 0)
        throw std::runtime_error("can't receive datagrams on " + address.value + ": " +
                                 std::strerror(errno));
    datagram_tag_ = next_id_++;
    datagram_received_ = std::move(received);
    set_poll_events(datagram_socket_.number(), datagram_tag_, EPOLLIN, EPOLL_CTL_ADD);
}

void event_loop::send_datagram(const network_address& to, std::string_view bytes)
{
    const sockaddr_in target = to_socket_address(to);
    // Errors are ignored: they have the effect of a lost datagram, for which a later
    // message makes up.
    (void)sendto(datagram_socket_.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                 reinterpret_cast<const sockaddr*>(&target), sizeof target);
}

void event_loop::read_datagrams()
{
    static thread_local std::array<char, max_datagram_bytes> buffer;
    for (int datagram = 0; datagram < max_datagrams_per_event; ++datagram)
    {
        const ssize_t count =
            recv(datagram_socket_.number(), buffer.data(), buffer.size(), 0);
        if (count < 0)
            return;
        datagram_received_({buffer.data(), static_cast<std::size_t>(count)});
    }
}

timer_id event_loop::schedule(instant when, std::function<void()> call)
{
    const timer_id timer{next_id_++};
    timers_.emplace(std::make_pair(when, timer.value), std::move(call));
    timer_deadlines_[timer.value] = when;
    return timer;
}

timer_id event_loop::schedule_after(milliseconds delay, std::function<void()> call)
{
    return schedule(now_ + delay, std::move(call));
}

void event_loop::cancel(timer_id timer)
{
    const auto found = timer_deadlines_.find(timer.value);
    if (found == timer_deadlines_.end())
        return;
    timers_.erase({found->second, timer.value});
    timer_deadlines_.erase(found);
}

void event_loop::run_timers()
{
    while (!timers_.empty() && timers_.begin()->first.first <= now_)
    {
        statistics_.max_timer_delay =
            std::max(statistics_.max_timer_delay, now_ - timers_.begin()->first.first);
        const std::function<void()> call = std::move(timers_.begin()->second);
        timer_deadlines_.erase(timers_.begin()->first.second);
        timers_.erase(timers_.begin());
        call();
    }
}

int event_loop::epoll_timeout_ms(instant now) const
{
    if (timers_.empty())
        return max_wait_ms;
    const auto remaining =
        std::chrono::ceil<milliseconds>(timers_.begin()->first.first - now);
    return static_cast<int>(std::clamp<long long>(remaining.count(), 0, max_wait_ms));
}

void event_loop::handle_event(std::uint64_t tag, std::uint32_t events)
{
    if (tag == datagram_tag_)
        return read_datagrams();
    if (listeners_.contains(tag))
        return accept_all(tag);
    const stream_id id{tag};
    // Both sides have ended: EPOLLHUP is reported even while reading is paused.
    if (is_open(id) && streams_.at(tag).ends_unread)
        return close(id);
    if ((events & EPOLLOUT) != 0)
        write_stream(id);
    const auto found = streams_.find(tag);
    if (found == streams_.end())
        return;
    stream& source = found->second;
    source.peer_closed = source.peer_closed || (events & EPOLLRDHUP) != 0;
    const bool reads_no_more = source.ends_while_paused || source.input_ended;
    if (reads_no_more && (events & (EPOLLHUP | EPOLLERR)) != 0)
        return end_stream(id, stream_end::failed);
    if (source.ends_while_paused && !source.input_ended && (events & EPOLLRDHUP) != 0)
        return end_input(id);
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
        read_stream(id);
}

std::span<const epoll_event> event_loop::wait_for_events(std::span<epoll_event> events,
                                                         int timeout_ms) const
{
    const int count = epoll_wait(epoll_.number(), events.data(),
                                 static_cast<int>(events.size()), timeout_ms);
    return events.first(static_cast<std::size_t>(std::max(count, 0)));
}

void event_loop::handle_events(std::span<const epoll_event> events)
{
    for (const epoll_event& event : events)
        handle_event(event.data.u64, event.events);
}

// A wait that a signal interrupts reports no events, and a wait reports only some of
// many, while the clock has gone on. epoll reports ready descriptors in turn, so as many
// events as there are descriptors include each that was ready at `now_`.
void event_loop::handle_arrived_events()
{
    const std::chrono::nanoseconds limit =
        thread_processor_time() + max_reading_before_timers;
    std::array<epoll_event, max_events_per_wait> buffer{};
    std::size_t handled = 0;
    while (handled <= streams_.size() + listeners_.size() ||
           thread_processor_time() < limit)
    {
        const std::span<const epoll_event> events = wait_for_events(buffer, 0);
        if (events.empty())
            return;
        handle_events(events);
        handled += events.size();
    }
}

void event_loop::run(const std::function<bool()>& finished)
{
    std::array<epoll_event, max_events_per_wait> buffer{};
    while (!finished())
    {
        flush();
        const instant before_wait = boot_clock::now();
        statistics_.busy += before_wait - now_;
        const std::span<const epoll_event> events =
            wait_for_events(buffer, epoll_timeout_ms(before_wait));
        now_ = boot_clock::now();
        handle_events(events);
        if (!timers_.empty() && timers_.begin()->first.first <= now_)
            handle_arrived_events();
        run_timers();
    }
    flush();
}

} // namespace pollenhaven
