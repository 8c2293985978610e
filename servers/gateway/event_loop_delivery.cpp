#include "servers/gateway/event_loop.hpp"

#include "policy/output_patience.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pollenhaven
{

namespace
{

// Returns none if the system doesn't say.
std::optional<delivery_state> read_delivery_state(const file_descriptor& socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(socket.number(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
        info.tcpi_state == 0)
        return std::nullopt;
    return delivery_state{milliseconds(info.tcpi_last_ack_recv), info.tcpi_unacked > 0,
                          info.tcpi_probes};
}

} // namespace

void event_loop::set_output_deadline(stream_id id, instant deadline)
{
    const auto found = streams_.find(id.value);
    if (found == streams_.end() || !has_delivery_states_)
        return;
    found->second.output_deadline = deadline;
    with_output_deadline_.insert(id.value);
    if (!std::exchange(output_check_scheduled_, true))
        schedule_after(output_check_interval, [this] { check_output(); });
}

void event_loop::check_output()
{
    output_check_scheduled_ = false;
    std::erase_if(with_output_deadline_,
                  [this](std::uint64_t id) { return !check_written_stream({id}); });
    if (!with_output_deadline_.empty() && !std::exchange(output_check_scheduled_, true))
        schedule_after(output_check_interval, [this] { check_output(); });
}

bool event_loop::check_written_stream(stream_id id)
{
    const auto found = streams_.find(id.value);
    if (found == streams_.end())
        return false;
    stream& checked = found->second;
    const bool was_written = std::exchange(checked.written_since_check, false);
    if (checked.unread_since)
        return true;
    if (was_written && has_undelivered_output(id))
    {
        checked.unread_since = now_;
        schedule_after(unread_check_interval, [this, id] { check_unread_output(id); });
    }
    return checked.unread_since || now_ <= *checked.output_deadline;
}

void event_loop::check_unread_output(stream_id id)
{
    const auto found = streams_.find(id.value);
    if (found == streams_.end())
        return;
    stream& checked = found->second;
    const std::optional<delivery_state> state = read_delivery_state(checked.socket);
    // The limit that was set as the connection was made stays in force.
    has_delivery_states_ = has_delivery_states_ && state.has_value();
    if (!state || !has_undelivered_output(id))
    {
        checked.unread_since.reset();
        return set_unconfirmed_limit(checked, unconfirmed_limit);
    }
    const milliseconds unread_for = to_milliseconds(now_ - *checked.unread_since);
    const std::optional<milliseconds> limit = next_unconfirmed_limit(*state, unread_for);
    const bool is_late =
        now_ > *checked.output_deadline && unread_for >= unconfirmed_limit;
    if (!limit || is_late)
        return give_up_unread_output(id);
    set_unconfirmed_limit(checked, *limit);
    schedule_after(unread_check_interval, [this, id] { check_unread_output(id); });
}

void event_loop::set_unconfirmed_limit(stream& target, milliseconds limit)
{
    if (std::exchange(target.limit_on_unconfirmed, limit) == limit)
        return;
    const int limit_ms = static_cast<int>(limit.count());
    setsockopt(target.socket.number(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
               sizeof limit_ms);
}

void event_loop::give_up_unread_output(stream_id id)
{
    ++statistics_.unread_streams_ended;
    set_reset_on_close(id, true);
    end_stream(id, stream_end::failed);
}

std::size_t event_loop::unread_output() const
{
    std::size_t total = 0;
    for (const std::uint64_t id : with_output_deadline_)
    {
        const auto found = streams_.find(id);
        if (found != streams_.end() && found->second.is_accepted)
            total += pending_output({id});
    }
    return total;
}

void event_loop::limit_unread_output(std::size_t max_bytes)
{
    std::multimap<instant, stream_id> unread;
    for (const std::uint64_t id : with_output_deadline_)
    {
        const auto found = streams_.find(id);
        if (found != streams_.end() && found->second.is_accepted &&
            pending_output({id}) > 0)
            unread.emplace(found->second.unread_since.value_or(now_), stream_id{id});
    }
    for (const auto& [since, id] : unread)
    {
        if (unread_output() <= max_bytes)
            return;
        give_up_unread_output(id);
    }
}

} // namespace pollenhaven
