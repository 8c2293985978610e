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

    // Calls the function with the parser of the message's kind.
    template <class Function> auto apply(Function function)
    {
        return request ? function(*request) : function(*response);
    }
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

// Returns true for the status codes that HTTP has (RFC 9110, 15). Any other one neither
// makes a response interim nor says what became of its request.
bool is_status(int code)
{
    constexpr int first_status = 100;
    constexpr int last_status = 599;
    return code >= first_status && code <= last_status;
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

// Returns true if the fields of a message of this HTTP version (11 for HTTP/1.1) leave no
// doubt about the end of its body (RFC 9112, 6.1 to 6.3). `chunked` is the only transfer
// coding that is understood.
bool has_certain_length(const http_head& head, unsigned version)
{
    constexpr unsigned http_1_1 = 11;
    int codings = 0;
    int lengths = 0;
    for (const http_field& field : head.fields)
    {
        const bool is_length = same_field_name(field.name, "Content-Length");
        const bool is_coding = same_field_name(field.name, "Transfer-Encoding");
        if (is_length && !std::all_of(field.value.begin(), field.value.end(), is_digit))
            return false;
        if (is_coding && !same_field_name(field.value, "chunked"))
            return false;
        lengths += is_length ? 1 : 0;
        codings += is_coding ? 1 : 0;
    }
    return codings == 0 ? lengths <= 1
                        : codings == 1 && lengths == 0 && version == http_1_1;
}

read_error to_read_error(const boost::beast::error_code& error)
{
    if (error == http::error::body_limit)
        return read_error::body_too_large;
    return error == http::error::header_limit ? read_error::head_too_large
                                              : read_error::bad_message;
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
    return parser_->apply([](const auto& active) { return active.is_done(); });
}

http_reader::~http_reader() = default;
http_reader::http_reader(http_reader&&) noexcept = default;
http_reader& http_reader::operator=(http_reader&&) noexcept = default;

read_error http_reader::take_head()
{
    has_head_ = true;
    const unsigned version = parser_->apply(
        [this](const auto& active)
        {
            copy_fields(active.get(), head_);
            return active.get().version();
        });
    if (parser_->request)
    {
        head_.method = std::string(parser_->request->get().method_string());
        head_.target = std::string(parser_->request->get().target());
    }
    else
    {
        const auto& response = parser_->response->get();
        head_.status = static_cast<int>(response.result_int());
        if (!is_status(head_.status) ||
            contains_other_response(std::string(response.reason()), head_))
            return read_error::bad_message;
    }
    return has_certain_length(head_, version) ? read_error::none
                                              : read_error::ambiguous_length;
}

read_state http_reader::fail(read_error error)
{
    error_ = error;
    return read_state::malformed;
}

read_state http_reader::read(std::string& input)
{
    const auto parse = [&]
    { return parser_->apply([&](auto& active) { return feed(active, input, body); }); };
    boost::beast::error_code error = parse();
    const bool head_done =
        parser_->apply([](const auto& active) { return active.is_header_done(); });
    if (head_done && !has_head_)
    {
        const read_error head_error = take_head();
        if (head_error != read_error::none)
            return fail(head_error);
        if (!error)
            error = parse();
    }
    has_body_ = has_body_ || !body.empty();
    if (error)
        return fail(to_read_error(error));
    if (is_done())
        return read_state::complete;
    // What is left of the input is an incomplete head, chunk head or trailer.
    return input.size() > max_line_bytes_ ? fail(read_error::head_too_large)
                                          : read_state::partial;
}

read_state http_reader::finish()
{
    boost::beast::error_code error;
    if (!parser_->response || !has_head_)
        return read_state::malformed;
    parser_->response->put_eof(error);
    if (error)
        return read_state::malformed;
    return is_done() ? read_state::complete : read_state::partial;
}

bool http_reader::has_length() const
{
    return parser_->request ? true : !parser_->response->need_eof();
}

std::size_t http_reader::content_length() const
{
    return parser_->apply([](const auto& active)
                          { return active.content_length().value_or(0); });
}

} // namespace pollenhaven
