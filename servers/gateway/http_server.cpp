#include "servers/gateway/http_server.hpp"

#include "core/json_text.hpp"
#include "policy/fleet/response_memory.hpp"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace pollenhaven
{

namespace
{

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_head_too_large = 431;
constexpr int status_unavailable = 503;
constexpr double milliseconds_per_second = 1000;
// Part of the idle limit that responses state, so that a request that is sent within the
// stated time arrives before the limit.
constexpr int stated_idle_percent = 80;
// Bytes of later requests that are read while a request is in progress. The rest stays
// in the kernel, whose window makes the caller wait.
constexpr std::size_t max_read_ahead_bytes = 65536;
// A caller's next request isn't parsed while it has this much left to read of earlier
// responses. Its progress is checked at this interval.
constexpr std::size_t max_unread_response_bytes = 65536;
constexpr milliseconds caller_progress_interval{20};
// Bytes that the requests of all connections may hold, complete or not. The daemon may
// hold a request four times while it is passed on: parsed and encoded, each in a buffer
// with room for twice as much.
constexpr std::size_t max_held_bytes = 16UL << 20U;
// As many bytes more are for small requests only, so that large ones can't crowd them
// out.
constexpr std::size_t max_small_request_bytes = 65536;
constexpr std::size_t reserved_for_small_requests = 8UL << 20U;
// Most requests that hold the memory have ended after this time.
constexpr milliseconds memory_retry_delay{1000};

std::string seconds_text(milliseconds span)
{
    std::array<char, 32> text{};
    const int length =
        std::snprintf(text.data(), text.size(), "%.3f",
                      static_cast<double>(span.count()) / milliseconds_per_second);
    return {text.data(), static_cast<std::size_t>(length)};
}

std::string chunk_size_line(std::size_t size)
{
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%zx\r\n", size);
    return {text.data(), static_cast<std::size_t>(length)};
}

// Returns the failure for a request that couldn't be read, and so was not run.
failure not_run_failure(int status, const std::string& code, const std::string& message)
{
    return {verdict::not_run, status, code, message, std::nullopt};
}

} // namespace

http_server::http_server(gateway_context& context, request_handler on_request,
                         disconnect_handler on_disconnect)
    : context_(context), on_request_(std::move(on_request)),
      on_disconnect_(std::move(on_disconnect))
{
}

void http_server::listen(const network_address& address, const address_roles& roles)
{
    context_.loop.listen(address,
                         [this, roles](stream_id id) { on_accepted(id, roles); });
}

address_roles http_server::roles_of(stream_id caller) const
{
    const auto found = connections_.find(caller.value);
    return found == connections_.end() ? address_roles{} : found->second.roles;
}

caller_limits http_server::configured_limits() const
{
    return context_.routing ? context_.routing->limits : caller_limits{};
}

message_limits http_server::limits() const
{
    message_limits result;
    const caller_limits configured = configured_limits();
    result.head_bytes = configured.header_bytes;
    result.body_bytes = configured.body_bytes;
    return result;
}

void http_server::on_accepted(stream_id id, const address_roles& roles)
{
    caller_connection connection{
        http_reader(http_reader::message_kind::request, limits()),
        counted_bytes(held_bytes_), 0, 0, roles};
    become_idle(connection);
    connections_.emplace(id.value, std::move(connection));
    stream_handlers handlers;
    handlers.readable = [this](stream_id readable) { on_readable(readable); };
    handlers.input_ended = [this](stream_id ended) { on_input_ended(ended); };
    handlers.ended = [this](stream_id ended, stream_end) { on_ended(ended); };
    context_.loop.set_handlers(id, std::move(handlers));
}

void http_server::on_readable(stream_id id)
{
    const auto found = connections_.find(id.value);
    if (found == connections_.end())
        return;
    // The next request isn't parsed before the response to the current one is complete.
    caller_connection& connection = found->second;
    count_held_bytes(id);
    if (connection.request_in_progress)
    {
        if (context_.loop.input(id).size() >= max_read_ahead_bytes || is_over_limit(0))
            context_.loop.pause_reading_while_open(id);
        return;
    }
    if (context_.loop.pending_output(id) > max_unread_response_bytes)
    {
        context_.loop.pause_reading(id);
        return read_later(id, caller_progress_interval);
    }
    context_.loop.resume_reading(id);
    if (!connection.request_started)
        connection.idle_since = context_.loop.now();
    connection.request_started = true;
    read_next(id);
}

read_state http_server::parse(stream_id id)
{
    caller_connection& connection = connections_.at(id.value);
    std::string& input = context_.loop.input(id);
    const bool had_head = connection.reader.has_head();
    const std::size_t unparsed_bytes = input.size();
    const read_state state = connection.reader.read(input);
    connection.body_bytes = connection.reader.body.size();
    if (!had_head && connection.reader.has_head())
        connection.head_bytes = unparsed_bytes - input.size() - connection.body_bytes;
    count_held_bytes(id);
    return state;
}

void http_server::count_held_bytes(stream_id id)
{
    caller_connection& connection = connections_.at(id.value);
    connection.held_bytes.set(connection.head_bytes + connection.body_bytes +
                              context_.loop.input(id).size());
}

void http_server::read_next(stream_id id)
{
    caller_connection& connection = connections_.at(id.value);
    const read_state state = parse(id);
    if (state == read_state::partial)
        return refuse_largest_incomplete();
    if (state == read_state::malformed)
        return refuse_malformed(id, connection.reader);
    connection.request_in_progress = true;
    refuse_largest_incomplete();
    if (is_over_limit(connection.held_bytes.value()))
        return refuse_for_memory(id);
    // A caller may have given up before its request was read.
    if (context_.loop.has_peer_closed(id))
        return refuse_departed(id);
    const http_head head = connection.reader.head();
    connection.keep_alive = head.keep_alive;
    on_request_(id, head, std::move(connection.reader.body));
}

bool http_server::is_over_limit(std::size_t own_bytes) const
{
    // One request that the configuration allows always fits.
    const message_limits allowed = limits();
    const std::size_t limit =
        std::max(max_held_bytes, allowed.body_bytes + 2 * allowed.head_bytes);
    const bool is_small = own_bytes <= max_small_request_bytes;
    return held_bytes_ > limit + (is_small ? reserved_for_small_requests : 0);
}

void http_server::refuse_largest_incomplete()
{
    while (is_over_limit(max_small_request_bytes + 1))
    {
        std::uint64_t largest = 0;
        std::size_t largest_bytes = 0;
        for (const auto& [id, connection] : connections_)
            if (!connection.request_in_progress &&
                connection.held_bytes.value() > largest_bytes)
            {
                largest = id;
                largest_bytes = connection.held_bytes.value();
            }
        if (largest == 0 || !is_over_limit(largest_bytes))
            return;
        refuse_for_memory({largest});
    }
}

void http_server::refuse_for_memory(stream_id id)
{
    caller_connection& connection = connections_.at(id.value);
    context_.log.write(
        "request refused unread",
        {{"reason", "request_bytes"},
         {"bytes", static_cast<std::int64_t>(connection.held_bytes.value())},
         {"bytes_of_all", static_cast<std::int64_t>(held_bytes_)}});
    connection.request_in_progress = true;
    connection.keep_alive = false;
    failure reason =
        not_run_failure(status_unavailable, "request_bytes",
                        "the daemon holds as many bytes of requests as it may");
    reason.retry_after = memory_retry_delay;
    send_error(id, reason);
}

void http_server::refuse_departed(stream_id id)
{
    context_.log.write("request refused unread", {{"reason", "caller_left"}});
    connections_.at(id.value).keep_alive = false;
    failure reason = not_run_failure(
        status_unavailable, "caller_left",
        "the caller closed its sending side before its request was passed on");
    reason.retry_after = departed_retry_delay;
    send_error(id, reason);
}

void http_server::refuse_malformed(stream_id id, const http_reader& reader)
{
    caller_connection& connection = connections_.at(id.value);
    connection.request_in_progress = true;
    connection.keep_alive = false;
    if (reader.error() == read_error::head_too_large)
        return send_error(id, not_run_failure(status_head_too_large, "head_too_large",
                                              "the request's head exceeds the limit"));
    if (reader.error() == read_error::body_too_large)
        return send_error(id, not_run_failure(status_too_large, "body_too_large",
                                              "the request's body exceeds the limit"));
    if (reader.error() == read_error::ambiguous_length)
    {
        context_.log.write("request refused unread", {{"reason", "ambiguous_length"}});
        return send_error(
            id, not_run_failure(status_bad_request, "ambiguous_length",
                                "Transfer-Encoding and Content-Length don't give the "
                                "length of the request's body for certain"));
    }
    send_error(id, not_run_failure(status_bad_request, "malformed_request",
                                   "the bytes are not an HTTP/1.1 request"));
}

void http_server::on_input_ended(stream_id id)
{
    const auto found = connections_.find(id.value);
    if (found == connections_.end())
        return;
    if (!found->second.request_in_progress)
    {
        connections_.erase(found);
        if (context_.loop.has_undelivered_output(id))
            return context_.loop.close_after_output(id);
        return context_.loop.close(id);
    }
    found->second.keep_alive = false;
    on_disconnect_(id);
    if (connections_.erase(id.value) > 0)
        context_.loop.close(id);
}

void http_server::on_ended(stream_id id)
{
    const auto found = connections_.find(id.value);
    if (found == connections_.end())
        return;
    const bool request_in_progress = found->second.request_in_progress;
    connections_.erase(found);
    if (request_in_progress)
        on_disconnect_(id);
}

std::string http_server::status_line(int status) const
{
    const auto reason = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\n";
}

std::string http_server::connection_fields(stream_id id,
                                           caller_connection& connection) const
{
    if (context_.leaving && !context_.loop.has_input(id))
        connection.keep_alive = false;
    if (!connection.keep_alive)
        return "Connection: close\r\n";
    const seconds stated = std::chrono::floor<seconds>(configured_limits().idle_timeout *
                                                       stated_idle_percent / 100);
    // Zero would tell callers to close the connection at once.
    if (connection.roles.peers || stated.count() == 0)
        return "";
    return "Keep-Alive: timeout=" + std::to_string(stated.count()) + "\r\n";
}

void http_server::send_response(stream_id caller, int status, const std::string& fields,
                                const std::string& body, body_framing framing)
{
    if (framing == body_framing::connection_end)
    {
        begin_response(caller, status, fields, framing);
        send_chunk(caller, body);
        return end_response(caller);
    }
    const auto found = connections_.find(caller.value);
    if (found == connections_.end())
        return;
    context_.loop.send(
        caller, status_line(status) + fields + connection_fields(caller, found->second) +
                    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    finish_response(caller);
}

void http_server::send_error(stream_id caller, const failure& reason,
                             const std::string& fields)
{
    const std::string verdict_name = to_string(reason.execution);
    const nlohmann::json body{{"error",
                               {{"code", reason.code},
                                {"message", reason.message},
                                {"verdict", verdict_name}}}};
    std::string header_lines = fields + "Content-Type: application/json\r\n" +
                               verdict_field + ": " + verdict_name + "\r\n";
    if (reason.retry_after)
        header_lines += "Retry-After: " + seconds_text(*reason.retry_after) + "\r\n";
    send_response(caller, reason.http_status, header_lines, write_json(body));
}

void http_server::begin_response(stream_id caller, int status, const std::string& fields,
                                 body_framing framing)
{
    const auto found = connections_.find(caller.value);
    if (found == connections_.end())
        return;
    caller_connection& connection = found->second;
    connection.framing = framing;
    const bool is_chunked = framing == body_framing::chunked;
    connection.keep_alive = connection.keep_alive && is_chunked;
    context_.loop.set_reset_on_close(caller, !is_chunked);
    context_.loop.send(
        caller, status_line(status) + fields + connection_fields(caller, connection) +
                    (is_chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
}

void http_server::send_chunk(stream_id caller, std::string_view bytes)
{
    const auto found = connections_.find(caller.value);
    if (bytes.empty() || found == connections_.end())
        return;
    if (found->second.framing == body_framing::connection_end)
        return context_.loop.send(caller, bytes);
    std::string chunk = chunk_size_line(bytes.size());
    chunk.append(bytes).append("\r\n");
    context_.loop.send(caller, chunk);
}

void http_server::end_response(stream_id caller)
{
    const auto found = connections_.find(caller.value);
    if (found == connections_.end())
        return;
    context_.loop.set_reset_on_close(caller, false);
    if (found->second.framing == body_framing::chunked)
        context_.loop.send(caller, "0\r\n\r\n");
    finish_response(caller);
}

void http_server::abort_response(stream_id caller)
{
    connections_.erase(caller.value);
    context_.loop.close_after_output(caller);
}

void http_server::finish_response(stream_id id)
{
    caller_connection& connection = connections_.at(id.value);
    if (context_.loop.pending_output(id) > max_unread_response_bytes)
        limit_unread_responses();
    if (!connection.keep_alive)
    {
        connections_.erase(id.value);
        return context_.loop.close_after_output(id);
    }
    connection.head_bytes = 0;
    connection.body_bytes = 0;
    count_held_bytes(id);
    connection.reader = http_reader(http_reader::message_kind::request, limits());
    become_idle(connection);
    if (context_.loop.input(id).empty())
        return;
    // The next request is read from a timer, because a series of pipelined requests would
    // otherwise recurse.
    read_later(id, milliseconds(0));
}

void http_server::limit_unread_responses()
{
    if (std::exchange(limit_scheduled_, true))
        return;
    // From a timer, because the streams' handlers may end requests of this call's caller.
    context_.loop.schedule_after(
        milliseconds(0),
        [this]
        {
            limit_scheduled_ = false;
            context_.loop.limit_unread_output(
                held_response_limit(context_.settings.memory_mb));
        });
}

void http_server::read_later(stream_id id, milliseconds delay)
{
    context_.loop.schedule_after(delay,
                                 [this, id]
                                 {
                                     if (connections_.contains(id.value))
                                         on_readable(id);
                                 });
}

void http_server::become_idle(caller_connection& connection) const
{
    connection.request_in_progress = false;
    connection.request_started = false;
    connection.idle_since = context_.loop.now();
    connection.idle_timeout = configured_limits().idle_timeout;
}

bool http_server::is_idle_too_long(const caller_connection& connection) const
{
    return context_.loop.now() - connection.idle_since > connection.idle_timeout;
}

bool http_server::is_too_slow(const caller_connection& connection) const
{
    return connection.request_started && !connection.request_in_progress &&
           context_.loop.now() - connection.idle_since >
               configured_limits().header_timeout;
}

void http_server::refuse_if_slow(stream_id id)
{
    context_.loop.read_arrived(id);
    const auto found = connections_.find(id.value);
    if (found == connections_.end() || !is_too_slow(found->second))
        return;
    found->second.request_in_progress = true;
    found->second.keep_alive = false;
    send_error(id, not_run_failure(status_timeout, "request_timeout",
                                   "the request didn't arrive in time"));
}

void http_server::end_if_idle(stream_id id, bool all)
{
    context_.loop.read_arrived(id);
    const auto found = connections_.find(id.value);
    if (found == connections_.end() || found->second.request_started ||
        !(all || is_idle_too_long(found->second)))
        return;
    // A caller that still reads its last response hasn't become idle. Ending its
    // connection could reset it, and so throw the rest of the response away.
    if (context_.loop.has_undelivered_output(id))
    {
        found->second.idle_since = context_.loop.now();
        return;
    }
    // The next request has been read together with the last one.
    if (!context_.loop.input(id).empty())
        return;
    connections_.erase(found);
    context_.loop.end_unread(id);
}

void http_server::close_idle(bool all)
{
    const caller_limits configured = configured_limits();
    std::vector<stream_id> idle;
    std::vector<stream_id> slow;
    for (auto& [id, connection] : connections_)
    {
        if (connection.request_in_progress)
            continue;
        if (is_too_slow(connection))
            slow.push_back({id});
        if (connection.request_started)
            continue;
        connection.idle_timeout =
            std::max(connection.idle_timeout, configured.idle_timeout);
        if (all || is_idle_too_long(connection))
            idle.push_back({id});
    }
    for (const stream_id id : idle)
        end_if_idle(id, all);
    for (const stream_id id : slow)
        refuse_if_slow(id);
}

} // namespace pollenhaven
