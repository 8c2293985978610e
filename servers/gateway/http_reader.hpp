#ifndef POLLENHAVEN_SERVERS_GATEWAY_HTTP_READER_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_HTTP_READER_HPP

#include "core/http_head.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace pollenhaven
{

enum class read_state
{
    // More bytes are needed.
    partial,
    // The message is complete.
    complete,
    malformed
};

// Why a message is malformed. Each fault has its own HTTP status.
enum class read_error
{
    none,
    bad_message,
    // The fields that give the length of the body contradict each other or can't be
    // understood.
    ambiguous_length,
    body_too_large,
    head_too_large
};

struct message_limits
{
    std::size_t head_bytes = 16384;
    std::size_t body_bytes = 64UL << 20U;
};

// An incremental parser for one HTTP/1.1 message. `has_head` returns true once the head
// has been parsed. `body` collects the decoded bytes; the user may move them out at any
// time.
class http_reader
{
public:
    enum class message_kind
    {
        request,
        response
    };

    http_reader(message_kind kind, const message_limits& limits);
    ~http_reader();
    http_reader(http_reader&&) noexcept;
    http_reader& operator=(http_reader&&) noexcept;

    // Consumes the bytes of the message from the front of the input. Leaves the bytes
    // after the end of the message. A response in whose head another one begins is
    // malformed: the two would be read as one. So is a message whose length can't be told
    // for certain, because its rest could be taken for another message.
    read_state read(std::string& input);
    // Handles the end of the connection, which completes a response body without a
    // length. Any other incomplete message is malformed.
    read_state finish();

    bool has_head() const { return has_head_; }
    const http_head& head() const { return head_; }
    // True if the end of the body is given by a length or by chunked encoding, and not by
    // the end of the connection.
    bool has_length() const;
    // True once any byte of the body has arrived.
    bool has_body() const { return has_body_; }
    // The value of Content-Length; 0 if the field is missing.
    std::size_t content_length() const;
    read_error error() const { return error_; }

    std::string body;

private:
    struct parser;

    // Copies the parsed head. Returns what is wrong with it.
    read_error take_head();
    read_state fail(read_error error);
    bool is_done() const;

    std::unique_ptr<parser> parser_;
    // Limit on the head, and on the other parts of the message that are only parsed
    // whole.
    std::size_t max_line_bytes_ = 0;
    http_head head_;
    bool has_head_ = false;
    bool has_body_ = false;
    read_error error_ = read_error::none;
};

} // namespace pollenhaven

#endif
