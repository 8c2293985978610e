#include "servers/http2_connection.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <sys/socket.h>
#include <utility>

namespace pollenhaven
{

namespace
{

constexpr std::size_t length_prefix_bytes = 4;
constexpr std::size_t read_buffer_bytes = 64UL * 1024;
constexpr std::size_t message_limit_bytes = 16UL * 1024 * 1024;
constexpr std::uint32_t concurrent_streams = 10000;
constexpr std::int32_t window_bytes = 8 * 1024 * 1024;
constexpr unsigned int bits_per_byte = 8;

std::string with_length_prefix(const std::string& message)
{
    const auto length = static_cast<std::uint32_t>(message.size());
    std::string framed;
    framed.reserve(length_prefix_bytes + message.size());
    for (std::size_t i = length_prefix_bytes; i > 0; --i)
        framed += static_cast<char>((length >> ((i - 1) * bits_per_byte)) & 0xffU);
    return framed + message;
}

std::size_t read_length_prefix(const std::string& data)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_prefix_bytes; ++i)
        length = (length << bits_per_byte) | static_cast<unsigned char>(data[i]);
    return length;
}

nghttp2_nv header(const std::string& name, const std::string& value)
{
    // The library copies both; its structure has no const.
    auto* name_bytes =
        const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(name.data()));
    auto* value_bytes =
        const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(value.data()));
    return {name_bytes, value_bytes, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

// The functions that the HTTP/2 library calls, with the connection as their user data.
struct http2_connection::session_callbacks
{
    static http2_connection& self(void* user_data)
    {
        return *static_cast<http2_connection*>(user_data);
    }

    static int on_header(nghttp2_session*, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_length,
                         const std::uint8_t* value, std::size_t value_length,
                         std::uint8_t, void* user_data)
    {
        const std::string key(reinterpret_cast<const char*>(name), name_length);
        if (key == ":path")
            self(user_data).streams_[frame->hd.stream_id].path.assign(
                reinterpret_cast<const char*>(value), value_length);
        return 0;
    }

    static int on_data(nghttp2_session*, std::uint8_t, std::int32_t stream,
                       const std::uint8_t* data, std::size_t length, void* user_data)
    {
        http2_connection& connection = self(user_data);
        stream_state& state = connection.streams_[stream];
        state.received.append(reinterpret_cast<const char*>(data), length);
        if (state.received.size() > message_limit_bytes)
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        if (!connection.is_server_)
            connection.deliver(stream, false);
        return 0;
    }

    static int on_frame(nghttp2_session*, const nghttp2_frame* frame, void* user_data)
    {
        http2_connection& connection = self(user_data);
        const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        const bool carries_data =
            frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (connection.is_server_ && ends && carries_data)
            connection.deliver(frame->hd.stream_id, true);
        return 0;
    }

    static int on_close(nghttp2_session*, std::int32_t stream, std::uint32_t error,
                        void* user_data)
    {
        http2_connection& connection = self(user_data);
        connection.streams_.erase(stream);
        connection.handlers_.on_closed(stream, error == NGHTTP2_NO_ERROR);
        return 0;
    }

    static ssize_t read_data(nghttp2_session*, std::int32_t stream, std::uint8_t* buffer,
                             std::size_t capacity, std::uint32_t* flags,
                             nghttp2_data_source*, void* user_data)
    {
        http2_connection& connection = self(user_data);
        const auto found = connection.streams_.find(stream);
        if (found == connection.streams_.end())
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        stream_state& state = found->second;
        const std::size_t length = std::min(capacity, state.to_send.size() - state.sent);
        if (length == 0 && !state.last)
            return NGHTTP2_ERR_DEFERRED;
        std::copy_n(state.to_send.data() + state.sent, length, buffer);
        state.sent += length;
        if (state.sent == state.to_send.size())
        {
            state.to_send.clear();
            state.sent = 0;
            if (state.last)
                *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(length);
    }
};

http2_connection::http2_connection(file_descriptor socket, bool is_server,
                                   callbacks handlers)
    : socket_(std::move(socket)), is_server_(is_server), handlers_(std::move(handlers)),
      last_received_(boot_clock::now()), last_ping_(last_received_)
{
    nghttp2_session_callbacks* table = nullptr;
    if (nghttp2_session_callbacks_new(&table) != 0)
        throw std::runtime_error("can't allocate HTTP/2 callbacks");
    nghttp2_session_callbacks_set_on_header_callback(table, session_callbacks::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table,
                                                              session_callbacks::on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(table,
                                                         session_callbacks::on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(table,
                                                           session_callbacks::on_close);
    const int made = is_server_ ? nghttp2_session_server_new(&session_, table, this)
                                : nghttp2_session_client_new(&session_, table, this);
    nghttp2_session_callbacks_del(table);
    if (made != 0)
        throw std::runtime_error("can't allocate an HTTP/2 session");
    const std::array<nghttp2_settings_entry, 2> settings = {
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, concurrent_streams},
         {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
          static_cast<std::uint32_t>(window_bytes)}}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, window_bytes);
}

http2_connection::~http2_connection()
{
    nghttp2_session_del(session_);
}

bool http2_connection::wants_write() const
{
    return !pending_output_.empty() || nghttp2_session_want_write(session_) != 0;
}

bool http2_connection::read_ready()
{
    std::array<std::uint8_t, read_buffer_bytes> buffer{};
    for (;;)
    {
        const ssize_t length = recv(socket_.number(), buffer.data(), buffer.size(), 0);
        if (length < 0)
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        if (length == 0)
            return false;
        bytes_received_ += static_cast<std::uint64_t>(length);
        last_received_ = boot_clock::now();
        if (nghttp2_session_mem_recv(session_, buffer.data(),
                                     static_cast<std::size_t>(length)) < 0)
            return false;
    }
}

bool http2_connection::write_ready()
{
    for (;;)
    {
        if (pending_output_.empty())
        {
            const std::uint8_t* data = nullptr;
            const ssize_t length = nghttp2_session_mem_send(session_, &data);
            if (length < 0)
                return false;
            if (length == 0)
                return true;
            pending_output_.assign(reinterpret_cast<const char*>(data),
                                   static_cast<std::size_t>(length));
        }
        const ssize_t written = send(socket_.number(), pending_output_.data(),
                                     pending_output_.size(), MSG_NOSIGNAL);
        if (written < 0)
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ||
                   errno == ENOTCONN;
        bytes_sent_ += static_cast<std::uint64_t>(written);
        pending_output_.erase(0, static_cast<std::size_t>(written));
    }
}

bool http2_connection::check_heartbeat(const heartbeat_timing& timing, instant now)
{
    if (now - last_received_ > timing.timeout)
        return false;
    if (now - last_ping_ >= timing.interval)
    {
        last_ping_ = now;
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    }
    return true;
}

std::int32_t http2_connection::open_call(const std::string& path,
                                         const std::string& message)
{
    static const std::string method_name = ":method";
    static const std::string method = "POST";
    static const std::string scheme_name = ":scheme";
    static const std::string scheme = "http";
    static const std::string path_name = ":path";
    static const std::string authority_name = ":authority";
    static const std::string authority = "pollenhaven";
    const std::array<nghttp2_nv, 4> headers = {
        {header(method_name, method), header(scheme_name, scheme),
         header(path_name, path), header(authority_name, authority)}};
    nghttp2_data_provider provider{};
    provider.read_callback = session_callbacks::read_data;
    const std::int32_t stream = nghttp2_submit_request(
        session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (stream < 0)
        return -1;
    stream_state& state = streams_[stream];
    state.to_send = with_length_prefix(message);
    state.last = true;
    return stream;
}

void http2_connection::send_message(std::int32_t stream, const std::string& message,
                                    bool last)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end() || found->second.last)
        return;
    stream_state& state = found->second;
    if (!message.empty())
        state.to_send += with_length_prefix(message);
    state.last = last;
    if (state.answering)
    {
        nghttp2_session_resume_data(session_, stream);
        return;
    }
    state.answering = true;
    static const std::string status_name = ":status";
    static const std::string status = "200";
    const nghttp2_nv status_header = header(status_name, status);
    nghttp2_data_provider provider{};
    provider.read_callback = session_callbacks::read_data;
    nghttp2_submit_response(session_, stream, &status_header, 1, &provider);
}

void http2_connection::reset(std::int32_t stream)
{
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
}

void http2_connection::deliver(std::int32_t stream, bool ended)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end())
        return;
    stream_state& state = found->second;
    while (state.received.size() >= length_prefix_bytes)
    {
        const std::size_t length = read_length_prefix(state.received);
        if (state.received.size() < length_prefix_bytes + length)
            break;
        std::string message = state.received.substr(length_prefix_bytes, length);
        state.received.erase(0, length_prefix_bytes + length);
        if (!is_server_)
            handlers_.on_message(stream, std::move(message));
        else if (ended)
            handlers_.on_call(stream, state.path, std::move(message));
        // A handler may have sent an answer, but streams end only through the library's
        // callback, so the state is still there.
    }
}

} // namespace pollenhaven
