#include "servers/gateway/http_server.hpp"

#include "core/json_text.hpp"

#include <boost/beast/http/status.hpp>

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
constexpr double milliseconds_per_second = 1000;

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

void http_server::listen(const network_address& address, bool for_peers)
{
    context_.loop.listen(address,
                         [this, for_peers](stream_id id) { on_accepted(id, for_peers); });
}

bool http_server::is_from_peer(stream_id caller) const
{
    const auto found = connections_.find(caller.value);
    return found != connections_.end() && found->second.is_from_peer;
}

message_limits http_server::limits() const
{
    message_limits result;
    const caller_limits configured =
        context_.routing ? context_.routing->limits : caller_limits{};
    result.head_bytes = configured.header_bytes;
    result.body_bytes = configured.body_bytes;
    return result;
}

void http_server::on_accepted(stream_id id, bool is_from_peer)
{
    connections_.emplace(
        id.value,
        caller_connection{http_reader(http_reader::message_kind::request, limits()),
                          is_from_peer, false, true, context_.loop.now(), false});
    stream_handlers handlers;
    handlers.readable = [this](stream_id readable) { on_readable(readable); };
    handlers.ended = [this](stream_id ended, stream_end) { on_ended(ended); };
    context_.loop.set_handlers(id, std::move(handlers));
}

void http_server::on_readable(stream_id id)
{
    const auto found = connections_.find(id.value);
    // The next request isn't read before the response to the current one is complete.
    if (found == connections_.end() || found->second.request_in_progress)
        return;
    if (!found->second.request_started)
        found->second.idle_since = context_.loop.now();
    found->second.request_started = true;
    read_next(id);
}

void http_server::read_next(stream_id id)
{
    caller_connection& connection = connections_.at(id.value);
    const read_state state = connection.reader.read(context_.loop.input(id));
    if (state == read_state::partial)
        return;
    if (state == read_state::malformed)
        return refuse_malformed(id, connection.reader);
    connection.request_in_progress = true;
    const http_head head = connection.reader.head();
    connection.keep_alive = head.keep_alive;
    on_request_(id, head, std::move(connection.reader.body));
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
    send_error(id, not_run_failure(status_bad_request, "malformed_request",
                                   "the bytes are not an HTTP/1.1 request"));
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

std::string http_server::connection_fields(const caller_connection& connection) const
{
    return connection.keep_alive && !context_.leaving ? "" : "Connection: close\r\n";
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
        caller, status_line(status) + fields + connection_fields(found->second) +
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
    context_.loop.send(caller,
                       status_line(status) + fields + connection_fields(connection) +
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
    if (!connection.keep_alive || context_.leaving)
    {
        connections_.erase(id.value);
        return context_.loop.close_after_output(id);
    }
    connection.request_in_progress = false;
    connection.idle_since = context_.loop.now();
    connection.request_started = false;
    connection.reader = http_reader(http_reader::message_kind::request, limits());
    if (context_.loop.input(id).empty())
        return;
    // The next request is read from a timer, because a series of pipelined requests would
    // otherwise recurse.
    context_.loop.schedule_after(milliseconds(0),
                                 [this, id]
                                 {
                                     if (connections_.contains(id.value))
                                         on_readable(id);
                                 });
}

void http_server::close_idle(bool all)
{
    const instant now = context_.loop.now();
    const caller_limits configured =
        context_.routing ? context_.routing->limits : caller_limits{};
    std::vector<stream_id> idle;
    std::vector<stream_id> slow;
    for (const auto& [id, connection] : connections_)
    {
        if (connection.request_in_progress)
            continue;
        const auto age = now - connection.idle_since;
        if (connection.request_started && age > configured.header_timeout)
            slow.push_back({id});
        else if (!connection.request_started && (all || age > configured.idle_timeout))
            idle.push_back({id});
    }
    for (const stream_id id : idle)
    {
        connections_.erase(id.value);
        context_.loop.close(id);
    }
    for (const stream_id id : slow)
    {
        connections_.at(id.value).request_in_progress = true;
        connections_.at(id.value).keep_alive = false;
        send_error(id, not_run_failure(status_timeout, "request_timeout",
                                       "the request didn't arrive in time"));
    }
}

} // namespace pollenhaven
