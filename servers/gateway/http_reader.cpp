#include "servers/gateway/http_reader.hpp"

#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>

namespace pollenhaven
{

namespace http = boost::beast::http;

struct http_reader::parser
{
    std::optional<http::request_parser<http::string_body>> request;
    std::optional<http::response_parser<http::string_body>> response;

    http::basic_parser<true>& as_request() { return *request; }
    http::basic_parser<false>& as_response() { return *response; }
};

namespace
{

template <class Parser> void configure(Parser& parser, const message_limits& limits)
{
    // The head is evaluated before the body, and without trailers.
    parser.eager(false);
    parser.header_limit(static_cast<std::uint32_t>(limits.head_bytes));
    parser.body_limit(limits.body_bytes);
}

// Passes input to the parser until it needs more bytes, or the head or the message ends,
// and appends the decoded bytes to `body`.
template <class Parser>
boost::beast::error_code feed(Parser& parser, std::string& input, std::string& body)
{
    boost::beast::error_code error;
    std::size_t used = 0;
    const bool had_head = parser.is_header_done();
    while (used < input.size() && !parser.is_done() &&
           parser.is_header_done() == had_head)
    {
        const std::size_t count = parser.put(
            boost::asio::buffer(input.data() + used, input.size() - used), error);
        used += count;
        if (error == http::error::need_more)
        {
            error = {};
            break;
        }
        if (error || count == 0)
            break;
    }
    input.erase(0, used);
    body += parser.get().body();
    parser.get().body().clear();
    return error;
}

template <class Message> void copy_fields(const Message& message, http_head& head)
{
    head.keep_alive = message.keep_alive();
    for (const auto& field : message)
        head.fields.push_back(
            {std::string(field.name_string()), std::string(field.value())});
}

bool is_digit(char byte)
{
    return byte >= '0' && byte <= '9';
}

// Returns true if the text contains the version and status of another response, such as
// "HTTP/1.1 200".
bool contains_status_line(std::string_view text)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::string_view rest = "1 200";
    for (std::size_t at = text.find(version); at != std::string_view::npos;
         at = text.find(version, at + 1))
    {
        const std::string_view tail = text.substr(at + version.size(), rest.size());
        if (tail.size() == rest.size() && is_digit(tail[0]) && tail[1] == ' ' &&
            std::all_of(tail.begin() + 2, tail.end(), is_digit))
            return true;
    }
    return false;
}

// Returns true if a response begins inside the head of this one, which was cut off there.
bool contains_other_response(std::string_view reason, const http_head& head)
{
    return contains_status_line(reason) ||
           std::any_of(head.fields.begin(), head.fields.end(),
                       [](const http_field& field)
                       { return contains_status_line(field.value); });
}

template <class Parser> read_state state_of(const Parser& parser)
{
    return parser.is_done() ? read_state::complete : read_state::partial;
}

} // namespace

http_reader::http_reader(message_kind kind, const message_limits& limits)
    : parser_(std::make_unique<parser>()), max_line_bytes_(limits.head_bytes)
{
    if (kind == message_kind::request)
        configure(parser_->request.emplace(), limits);
    else
        configure(parser_->response.emplace(), limits);
}

bool http_reader::is_done() const
{
    return parser_->request ? parser_->request->is_done() : parser_->response->is_done();
}

http_reader::~http_reader() = default;
http_reader::http_reader(http_reader&&) noexcept = default;
http_reader& http_reader::operator=(http_reader&&) noexcept = default;

void http_reader::take_head()
{
    has_head_ = true;
    if (parser_->request)
    {
        const auto& message = parser_->request->get();
        head_.method = std::string(message.method_string());
        head_.target = std::string(message.target());
        copy_fields(message, head_);
        return;
    }
    const auto& message = parser_->response->get();
    head_.status = static_cast<int>(message.result_int());
    copy_fields(message, head_);
}

int http_reader::parse(std::string& input)
{
    return parser_->request ? feed(*parser_->request, input, body).value()
                            : feed(*parser_->response, input, body).value();
}

bool http_reader::has_sound_framing() const
{
    constexpr unsigned http_1_1 = 11;
    const unsigned version = parser_->request ? parser_->request->get().version()
                                              : parser_->response->get().version();
    std::size_t codings = 0;
    std::size_t lengths = 0;
    bool is_chunked = false;
    for (const http_field& field : head_.fields)
    {
        if (same_field_name(field.name, "Content-Length"))
        {
            ++lengths;
            if (!std::all_of(field.value.begin(), field.value.end(), is_digit))
                return false;
        }
        if (!same_field_name(field.name, "Transfer-Encoding"))
            continue;
        ++codings;
        is_chunked = same_field_name(field.value, "chunked");
    }
    if (codings == 0)
        return lengths <= 1;
    return codings == 1 && is_chunked && lengths == 0 && version == http_1_1;
}

read_state http_reader::fail(int error_value)
{
    error_ = read_error::bad_message;
    if (error_value == static_cast<int>(http::error::body_limit))
        error_ = read_error::body_too_large;
    if (error_value == static_cast<int>(http::error::header_limit))
        error_ = read_error::head_too_large;
    return read_state::malformed;
}

read_state http_reader::read(std::string& input)
{
    int error = parse(input);
    const bool head_done = parser_->request ? parser_->request->is_header_done()
                                            : parser_->response->is_header_done();
    if (head_done && !has_head_)
    {
        take_head();
        if (parser_->response &&
            contains_other_response(std::string(parser_->response->get().reason()),
                                    head_))
            return fail(static_cast<int>(http::error::bad_reason));
        if (!has_sound_framing())
        {
            error_ = read_error::bad_framing;
            return read_state::malformed;
        }
        if (error == 0)
            error = parse(input);
    }
    has_body_ = has_body_ || !body.empty();
    if (error != 0)
        return fail(error);
    // What is left of the input is an incomplete head, chunk head or trailer.
    if (input.size() > max_line_bytes_ && !is_done())
        return fail(static_cast<int>(http::error::header_limit));
    return parser_->request ? state_of(*parser_->request) : state_of(*parser_->response);
}

read_state http_reader::finish()
{
    boost::beast::error_code error;
    if (!parser_->response || !has_head_)
        return read_state::malformed;
    parser_->response->put_eof(error);
    return error ? read_state::malformed : state_of(*parser_->response);
}

bool http_reader::has_length() const
{
    return parser_->request ? true : !parser_->response->need_eof();
}

std::size_t http_reader::content_length() const
{
    if (parser_->request)
        return parser_->request->content_length().value_or(0);
    return parser_->response->content_length().value_or(0);
}

} // namespace pollenhaven
