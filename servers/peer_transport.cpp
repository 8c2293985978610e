#include "servers/peer_transport.hpp"

#include "core/log.hpp"
#include "servers/http2_connection.hpp"

#include <array>
#include <deque>
#include <map>
#include <mutex>
#include <poll.h>
#include <set>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <variant>
#include <vector>

namespace pollenhaven
{

namespace
{

constexpr milliseconds poll_interval{200};

struct call_command
{
    peer_call_id id;
    network_address peer;
    std::string path;
    std::string message;
    peer_event_handler handler;
};
struct cancel_command
{
    peer_call_id id;
};
struct reply_command
{
    peer_stream_id stream;
    std::string message;
    bool last = false;
};
using command = std::variant<call_command, cancel_command, reply_command>;

// What the transport's thread has to do at most before it refuses more.
constexpr std::size_t queued_commands_limit = 65536;

// Runs a handler. A message that can't be understood must harm no other call.
void notify(const peer_event_handler& handler, const peer_event& event)
{
    try
    {
        handler(event);
    }
    catch (const std::exception& error)
    {
        log_line(log_level::warning, "a peer's message can't be used",
                 {{"error", error.what()}});
    }
}

struct outgoing_call
{
    peer_call_id id;
    peer_event_handler handler;
};

struct connection_entry
{
    std::unique_ptr<http2_connection> connection;
    // Set for connections that this daemon opened.
    network_address peer;
    std::map<std::int32_t, outgoing_call> calls;
    std::set<std::int32_t> served;
};

} // namespace

class peer_transport::reactor
{
public:
    reactor(const network_address& listen, callbacks handlers)
        : handlers_(std::move(handlers)), listener_(listen_on(listen)),
          wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)), thread_([this] { run(); })
    {
    }

    ~reactor() { stop(); }

    void stop()
    {
        stop_ = true;
        wake();
        if (thread_.joinable())
            thread_.join();
    }

    reactor(const reactor&) = delete;
    reactor& operator=(const reactor&) = delete;

    // Returns false if too much waits already.
    bool post(command next)
    {
        {
            const std::lock_guard lock(mutex_);
            if (commands_.size() >= queued_commands_limit)
                return false;
            commands_.push_back(std::move(next));
        }
        wake();
        return true;
    }

    peer_call_id next_call() { return {++last_call_}; }
    std::uint64_t sent() const { return sent_; }
    std::uint64_t received() const { return received_; }

private:
    void wake()
    {
        const std::uint64_t one = 1;
        (void)!write(wake_.number(), &one, sizeof(one));
    }

    void run()
    {
        while (!stop_)
        {
            run_commands();
            wait_and_serve();
            check_heartbeats();
        }
    }

    void run_commands()
    {
        std::deque<command> taken;
        {
            const std::lock_guard lock(mutex_);
            taken.swap(commands_);
        }
        for (command& next : taken)
            std::visit([this](auto& single) { execute(single); }, next);
    }

    void execute(call_command& next)
    {
        std::uint64_t number = 0;
        try
        {
            number = connection_to(next.peer);
        }
        catch (const std::exception& error)
        {
            log_line(log_level::warning, "peer address can't be used",
                     {{"peer", next.peer.value}, {"error", error.what()}});
            notify(next.handler, {peer_event::kind::failed, {}, false});
            return;
        }
        connection_entry& entry = connections_[number];
        const std::int32_t stream = entry.connection->open_call(next.path, next.message);
        if (stream < 0)
        {
            notify(next.handler, {peer_event::kind::failed, {}, false});
            drop(number);
            return;
        }
        entry.calls[stream] = {next.id, std::move(next.handler)};
        call_streams_[next.id] = {number, stream};
    }

    void execute(cancel_command& next)
    {
        const auto found = call_streams_.find(next.id);
        if (found == call_streams_.end())
            return;
        const peer_stream_id where = found->second;
        call_streams_.erase(found);
        connection_entry& entry = connections_[where.connection];
        entry.calls.erase(where.stream);
        entry.connection->reset(where.stream);
    }

    void execute(reply_command& next)
    {
        const auto found = connections_.find(next.stream.connection);
        if (found != connections_.end())
            found->second.connection->send_message(next.stream.stream, next.message,
                                                   next.last);
    }

    std::uint64_t connection_to(const network_address& peer)
    {
        const auto known = by_peer_.find(peer);
        if (known != by_peer_.end())
            return known->second;
        const std::uint64_t number = add(connect_to(peer), false);
        connections_[number].peer = peer;
        by_peer_[peer] = number;
        return number;
    }

    std::uint64_t add(file_descriptor socket, bool is_server)
    {
        const std::uint64_t number = ++last_connection_;
        http2_connection::callbacks table;
        table.on_call = [this, number](std::int32_t stream, const std::string& path,
                                       std::string message)
        {
            connections_[number].served.insert(stream);
            handlers_.on_call({number, stream}, path, std::move(message));
        };
        table.on_message = [this, number](std::int32_t stream, std::string message)
        { on_message(number, stream, std::move(message)); };
        table.on_closed = [this, number](std::int32_t stream, bool orderly)
        { on_stream_closed(number, stream, orderly); };
        connections_[number].connection = std::make_unique<http2_connection>(
            std::move(socket), is_server, std::move(table));
        return number;
    }

    void on_message(std::uint64_t number, std::int32_t stream, std::string message)
    {
        std::map<std::int32_t, outgoing_call>& calls = connections_[number].calls;
        const auto found = calls.find(stream);
        if (found != calls.end())
            notify(found->second.handler,
                   {peer_event::kind::message, std::move(message), true});
    }

    void on_stream_closed(std::uint64_t number, std::int32_t stream, bool orderly)
    {
        connection_entry& entry = connections_[number];
        const auto call = entry.calls.find(stream);
        if (call != entry.calls.end())
        {
            const outgoing_call ended = std::move(call->second);
            entry.calls.erase(call);
            call_streams_.erase(ended.id);
            const auto what =
                orderly ? peer_event::kind::ended : peer_event::kind::failed;
            notify(ended.handler, {what, {}, true});
        }
        if (entry.served.erase(stream) > 0 && !orderly)
            handlers_.on_cancelled({number, stream}, false);
    }

    // Closes a connection; every call and answer on it fails.
    void drop(std::uint64_t number)
    {
        const auto found = connections_.find(number);
        if (found == connections_.end())
            return;
        connection_entry entry = std::move(found->second);
        connections_.erase(found);
        closed_sent_ += entry.connection->bytes_sent();
        closed_received_ += entry.connection->bytes_received();
        const auto by_peer = by_peer_.find(entry.peer);
        if (by_peer != by_peer_.end() && by_peer->second == number)
            by_peer_.erase(by_peer);
        // Nothing received means that the connection was never made.
        const bool sent = entry.connection->bytes_sent() > 0;
        for (auto& [stream, call] : entry.calls)
        {
            call_streams_.erase(call.id);
            notify(call.handler, {peer_event::kind::failed, {}, sent});
        }
        for (const std::int32_t stream : entry.served)
            handlers_.on_cancelled({number, stream}, true);
    }

    void wait_and_serve()
    {
        std::vector<pollfd> waits{{wake_.number(), POLLIN, 0},
                                  {listener_.number(), POLLIN, 0}};
        std::vector<std::uint64_t> numbers{0, 0};
        for (const auto& [number, entry] : connections_)
        {
            const short events = static_cast<short>(
                POLLIN | (entry.connection->wants_write() ? POLLOUT : 0));
            waits.push_back({entry.connection->descriptor(), events, 0});
            numbers.push_back(number);
        }
        poll(waits.data(), waits.size(), static_cast<int>(poll_interval.count()));
        std::uint64_t ignored = 0;
        (void)!read(wake_.number(), &ignored, sizeof(ignored));
        for (std::size_t i = 2; i < waits.size(); ++i)
            serve(numbers[i], waits[i].revents);
        accept_all();
    }

    void serve(std::uint64_t number, short events)
    {
        const auto found = connections_.find(number);
        if (found == connections_.end())
            return;
        http2_connection& connection = *found->second.connection;
        bool alive = (events & (POLLERR | POLLNVAL)) == 0;
        if (alive && (events & (POLLIN | POLLHUP)) != 0)
            alive = connection.read_ready();
        if (alive && (events & POLLOUT) != 0)
            alive = connection.write_ready();
        if (!alive)
            drop(number);
    }

    void accept_all()
    {
        for (;;)
        {
            file_descriptor accepted = accept_from(listener_);
            if (accepted.number() < 0)
                return;
            add(std::move(accepted), true);
        }
    }

    void check_heartbeats()
    {
        const instant now = boot_clock::now();
        std::vector<std::uint64_t> silent;
        std::uint64_t sent = closed_sent_;
        std::uint64_t received = closed_received_;
        for (auto& [number, entry] : connections_)
        {
            if (!entry.connection->check_heartbeat(heartbeat_, now))
                silent.push_back(number);
            sent += entry.connection->bytes_sent();
            received += entry.connection->bytes_received();
        }
        sent_ = sent;
        received_ = received;
        for (const std::uint64_t number : silent)
        {
            log_line(log_level::warning, "peer connection went silent",
                     {{"peer", connections_[number].peer.value}});
            drop(number);
        }
    }

    callbacks handlers_;
    heartbeat_timing heartbeat_;
    file_descriptor listener_;
    file_descriptor wake_;
    std::mutex mutex_;
    std::deque<command> commands_;
    std::map<std::uint64_t, connection_entry> connections_;
    std::map<network_address, std::uint64_t> by_peer_;
    std::map<peer_call_id, peer_stream_id> call_streams_;
    std::uint64_t last_connection_ = 0;
    std::uint64_t closed_sent_ = 0;
    std::uint64_t closed_received_ = 0;
    std::atomic<std::uint64_t> last_call_{0};
    std::atomic<std::uint64_t> sent_{0};
    std::atomic<std::uint64_t> received_{0};
    std::atomic<bool> stop_{false};
    std::thread thread_;
};

peer_transport::peer_transport(const network_address& listen, callbacks handlers)
    : reactor_(std::make_unique<reactor>(listen, std::move(handlers)))
{
}

peer_transport::~peer_transport() = default;

void peer_transport::stop()
{
    reactor_->stop();
}

peer_call_id peer_transport::call(const network_address& peer, const std::string& path,
                                  std::string message, const peer_event_handler& handler)
{
    const peer_call_id id = reactor_->next_call();
    if (!reactor_->post(call_command{id, peer, path, std::move(message), handler}))
        notify(handler, {peer_event::kind::failed, {}, false});
    return id;
}

void peer_transport::cancel(peer_call_id call)
{
    (void)reactor_->post(cancel_command{call});
}

void peer_transport::reply(peer_stream_id stream, std::string message, bool last)
{
    if (!reactor_->post(reply_command{stream, std::move(message), last}))
        log_line(log_level::error, "an answer to a peer was dropped: too many wait");
}

std::uint64_t peer_transport::bytes_sent() const
{
    return reactor_->sent();
}

std::uint64_t peer_transport::bytes_received() const
{
    return reactor_->received();
}

} // namespace pollenhaven
