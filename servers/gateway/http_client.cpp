#include "servers/gateway/http_client.hpp"

namespace pollenhaven
{

namespace
{

// The longest body of a response that is read. The store's pages have 1 MB and one value,
// engines' reports less.
constexpr std::size_t max_response_bytes = 8UL << 20U;

message_limits response_limits()
{
    message_limits limits;
    limits.body_bytes = max_response_bytes;
    return limits;
}

} // namespace

http_client::http_client(event_loop& loop, network_address address)
    : loop_(loop), address_(std::move(address))
{
}

http_client::~http_client()
{
    cancel_all();
}

void http_client::cancel_all()
{
    drop_stream();
    queued_calls_.clear();
    current_call_.reset();
}

void http_client::drop_stream()
{
    loop_.cancel(timeout_timer_);
    if (stream_.value != 0)
        loop_.reset(stream_);
    stream_ = {};
    reader_.reset();
}

void http_client::call(std::string bytes, milliseconds timeout, completion_handler done)
{
    queued_calls_.push_back({std::move(bytes), timeout, std::move(done)});
    if (!current_call_)
        send_next();
}

void http_client::send_next()
{
    if (queued_calls_.empty())
        return;
    current_call_ = std::move(queued_calls_.front());
    queued_calls_.pop_front();
    if (stream_.value == 0)
    {
        stream_handlers handlers;
        handlers.readable = [this](stream_id) { on_readable(); };
        handlers.ended = [this](stream_id, stream_end end) { on_ended(end); };
        stream_ = loop_.connect(address_, std::move(handlers));
    }
    reader_.emplace(http_reader::message_kind::response, response_limits());
    loop_.send(stream_, current_call_->bytes);
    timeout_timer_ = loop_.schedule_after(current_call_->timeout,
                                          [this]
                                          {
                                              http_result timed_out;
                                              timed_out.not_sent =
                                                  !loop_.has_written(stream_);
                                              finish(timed_out, false);
                                          });
}

void http_client::on_readable()
{
    if (!current_call_)
    {
        // These bytes belong to no call, and the connection can't be reused after them.
        drop_stream();
        return;
    }
    const read_state state = reader_->read(loop_.input(stream_));
    if (state == read_state::partial)
        return;
    http_result result;
    result.has_response = state == read_state::complete;
    result.is_too_long = reader_->error() == read_error::body_too_large;
    result.status = reader_->head().status;
    result.head = reader_->head();
    result.body = std::move(reader_->body);
    const bool ends_cleanly = result.has_response && loop_.input(stream_).empty();
    finish(result, ends_cleanly && reader_->head().keep_alive);
}

void http_client::on_ended(stream_end end)
{
    http_result result;
    result.not_sent = !loop_.has_written(stream_);
    if (current_call_ && end == stream_end::finished && reader_->has_head() &&
        reader_->finish() == read_state::complete)
    {
        result.has_response = true;
        result.status = reader_->head().status;
        result.head = reader_->head();
        result.body = std::move(reader_->body);
    }
    stream_ = {};
    if (current_call_)
        finish(result, false);
}

void http_client::finish(const http_result& result, bool reuse)
{
    loop_.cancel(timeout_timer_);
    if (!reuse)
        drop_stream();
    const completion_handler done = std::move(current_call_->done);
    current_call_.reset();
    done(result);
    if (!current_call_)
        send_next();
}

} // namespace pollenhaven
