#include "modules/openai_callers/openai_callers.hpp"

#include "core/json_text.hpp"
#include "core/random_id.hpp"
#include "core/verdict.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace pollenhaven
{

namespace
{

using nlohmann::json;

constexpr int status_bad_request = 400;
constexpr std::size_t request_id_bytes = 12;
constexpr std::size_t max_request_id_bytes = 128;
constexpr std::size_t max_key_bytes = 512;
constexpr int default_max_tokens = 256;
// English text has about four characters per token.
constexpr std::size_t characters_per_token = 4;
constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::array<std::string_view, 2> completion_paths{"/v1/chat/completions",
                                                           "/v1/completions"};

[[noreturn]] void reject_request(const std::string& code, const std::string& message)
{
    throw request_error(
        {verdict::not_run, status_bad_request, code, message, std::nullopt});
}

bool is_completion(std::string_view path)
{
    return std::find(completion_paths.begin(), completion_paths.end(), path) !=
           completion_paths.end();
}

std::optional<request_type> classify(const http_head& head)
{
    const std::string_view path = path_of(head.target);
    if (head.method == "GET" && path == "/v1/entry")
        return request_type::directory;
    const bool is_forwarded = is_completion(path) || path.starts_with(services_prefix);
    if (head.method == "POST" && is_forwarded)
        return request_type::forward;
    return std::nullopt;
}

// Returns the caller's request id if it is short and printable, so that it is safe in a
// response header; otherwise a new random id.
request_id read_id(const http_head& head)
{
    const std::string caller_id(field_value(head, "X-Request-Id"));
    const bool printable =
        std::all_of(caller_id.begin(), caller_id.end(),
                    [](char character) { return character > ' ' && character <= '~'; });
    if (caller_id.empty() || caller_id.size() > max_request_id_bytes || !printable)
        return {random_hex(request_id_bytes)};
    return {caller_id};
}

std::string read_host(const http_head& head)
{
    const std::string host(field_value(head, "Host"));
    return host.substr(0, host.find(':'));
}

// Parses the `model` field: base, base/adapter or base/adapter@version.
void read_model(caller_request& request, const json& body)
{
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string() || model->get<std::string>().empty())
        reject_request("invalid_request",
                       "'model' must be a string, base/adapter[@version]");
    const std::string name = model->get<std::string>();
    const std::size_t at = name.rfind('@');
    const std::string adapter = name.substr(0, at);
    if (at != std::string::npos)
    {
        std::uint64_t version = 0;
        const char* const end = name.data() + name.size();
        const auto [rest, error] = std::from_chars(name.data() + at + 1, end, version);
        if (error != std::errc() || rest != end)
            reject_request("invalid_request", "the version of the model '" + name +
                                                  "' is not a whole number");
        request.version = {version};
    }
    const std::size_t slash = adapter.find('/');
    request.model = {adapter.substr(0, slash)};
    if (slash != std::string::npos)
        request.adapter = {adapter};
    if (request.version && request.adapter.empty())
        reject_request("invalid_request",
                       "the base model '" + name + "' has no versions");
}

// Returns the length in bytes of a prompt or of the content of a message.
std::size_t text_length(const json& content)
{
    if (content.is_string())
        return content.get_ref<const std::string&>().size();
    // The content can have several parts. Those without a text, such as images, are not
    // counted.
    std::size_t length = 0;
    if (content.is_array())
        for (const json& part : content)
            if (part.is_object() && part.contains("text") && part["text"].is_string())
                length += part["text"].get_ref<const std::string&>().size();
    return length;
}

// Returns the length of the prompt in bytes. Rejects the request if it has none.
std::size_t prompt_length(const json& body, bool chat)
{
    if (!chat)
    {
        if (!body.contains("prompt") || !body["prompt"].is_string())
            reject_request("invalid_request", "'prompt' must be a string");
        return text_length(body["prompt"]);
    }
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        reject_request("invalid_request",
                       "'messages' must be a list with at least one message");
    std::size_t length = 0;
    for (const json& message : *messages)
    {
        if (!message.is_object() || !message.contains("content"))
            reject_request("invalid_request", "each of 'messages' must have a 'content'");
        length += text_length(message["content"]);
    }
    return length;
}

int read_max_tokens(const json& body)
{
    for (const char* name : {"max_completion_tokens", "max_tokens"})
    {
        const auto value = body.find(name);
        if (value == body.end() || value->is_null())
            continue;
        if (!value->is_number_integer() || value->get<long long>() < 1 ||
            value->get<long long>() > std::numeric_limits<int>::max())
            reject_request("invalid_request",
                           std::string("'") + name + "' must be a whole number above 0");
        return value->get<int>();
    }
    return default_max_tokens;
}

void read_completion(caller_request& request, const std::string& body, bool chat)
{
    const json parsed = parse_json_or_null(body);
    if (!parsed.is_object())
        reject_request("invalid_request", "the body is not a JSON object");
    read_model(request, parsed);
    request.prompt_tokens =
        static_cast<int>(prompt_length(parsed, chat) / characters_per_token + 1);
    request.output_tokens = read_max_tokens(parsed);
}

void read_service_call(caller_request& request, const http_head& head)
{
    request.caller_idempotency_key = std::string(field_value(head, "Idempotency-Key"));
    if (request.caller_idempotency_key.empty())
        reject_request("missing_idempotency_key",
                       "a call of a service needs the header Idempotency-Key");
    if (request.caller_idempotency_key.size() > max_key_bytes)
        reject_request("invalid_request", "the Idempotency-Key is longer than " +
                                              std::to_string(max_key_bytes) + " bytes");
}

caller_request read_request(const http_head& head, const std::string& body)
{
    caller_request request;
    request.has_platform_fields = false;
    request.id = read_id(head);
    request.host = read_host(head);
    request.last_event_id = std::string(field_value(head, "Last-Event-Id"));
    const std::string_view path = path_of(head.target);
    if (is_completion(path))
        read_completion(request, body, path == completion_paths.front());
    else
        read_service_call(request, head);
    return request;
}

std::string write_directory(const std::vector<network_address>& addresses,
                            seconds lifetime)
{
    json others = json::array();
    for (std::size_t i = 1; i < addresses.size(); ++i)
        others.push_back(addresses[i].value);
    return write_json({{"address", addresses.front().value},
                       {"others", others},
                       {"lifetime_s", lifetime.count()}});
}

std::string write_response_fields(const caller_request& request)
{
    std::string fields = "X-Request-Id: " + request.id.value + "\r\n";
    if (!request.adapter.empty())
        fields += "X-Adapter: " + request.adapter.value + "\r\n";
    return fields;
}

} // namespace

caller_interface make_openai_callers()
{
    return {classify, read_request, write_directory, write_response_fields};
}

} // namespace pollenhaven
