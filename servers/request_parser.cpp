#include "servers/request_parser.hpp"

#include "core/random_id.hpp"
#include "policy/crash_ledger.hpp"

#include <nlohmann/json.hpp>

#include <ctime>

namespace pollenhaven
{

namespace
{

using nlohmann::json;

constexpr std::size_t request_id_bytes = 12;
constexpr int default_max_tokens = 256;
constexpr int highest_max_tokens = 8192;
constexpr std::uint64_t service_call_tokens = 1;
constexpr std::size_t longest_key = 512;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

[[noreturn]] void refuse(int status, const std::string& code, const std::string& message)
{
    throw request_error({verdict::not_run, status, code, message, std::nullopt});
}

json parse_body(const std::string& body)
{
    json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object())
        refuse(status_bad_request, "invalid_request", "the body is not a JSON object");
    return parsed;
}

std::string required_model(const json& body)
{
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string())
        refuse(status_bad_request, "invalid_request",
               "'model' must be a string of the form adapter@version");
    return model->get<std::string>();
}

bool optional_boolean(const json& body, const char* name)
{
    const auto value = body.find(name);
    if (value == body.end() || value->is_null())
        return false;
    if (!value->is_boolean())
        refuse(status_bad_request, "invalid_request",
               std::string("'") + name + "' must be true or false");
    return value->get<bool>();
}

int max_tokens_of(const json& body)
{
    for (const char* name : {"max_completion_tokens", "max_tokens"})
    {
        const auto value = body.find(name);
        if (value == body.end() || value->is_null())
            continue;
        if (!value->is_number_integer() || *value < 1 || *value > highest_max_tokens)
            refuse(status_bad_request, "invalid_request",
                   std::string("'") + name + "' must be a whole number from 1 to " +
                       std::to_string(highest_max_tokens));
        return value->get<int>();
    }
    return default_max_tokens;
}

void check_messages(const json& body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        refuse(status_bad_request, "invalid_request",
               "'messages' must be a non-empty list");
    for (const json& message : *messages)
    {
        if (!message.is_object() || !message.contains("role") ||
            !message.contains("content"))
            refuse(status_bad_request, "invalid_request",
                   "every message needs 'role' and 'content'");
    }
}

completion_request make_completion(json body, const operating_document& document)
{
    const model_ref model{required_model(body)};
    const auto adapter = document.adapters.find(model);
    if (adapter == document.adapters.end())
        refuse(status_not_found, "unknown_model",
               "no adapter and version '" + model.value + "' in the operating document");
    completion_request completion;
    completion.stream = optional_boolean(body, "stream");
    const int tokens = max_tokens_of(body);
    body["max_tokens"] = tokens;
    execute_request& execute = completion.execute;
    execute.id = {random_hex(request_id_bytes)};
    execute.model = model;
    execute.partner = adapter->second.partner;
    execute.priority = adapter->second.priority;
    execute.tokens = {static_cast<std::uint64_t>(tokens)};
    execute.body = body.dump();
    execute.fingerprint = content_fingerprint(model.value, execute.body);
    return completion;
}

std::string object_name(bool chat, bool chunk)
{
    if (!chat)
        return "text_completion";
    return chunk ? "chat.completion.chunk" : "chat.completion";
}

} // namespace

completion_request parse_chat_completion(const std::string& body,
                                         const operating_document& document)
{
    json parsed = parse_body(body);
    check_messages(parsed);
    return make_completion(std::move(parsed), document);
}

completion_request parse_completion(const std::string& body,
                                    const operating_document& document)
{
    json parsed = parse_body(body);
    const auto prompt = parsed.find("prompt");
    if (prompt == parsed.end() || !prompt->is_string())
        refuse(status_bad_request, "invalid_request", "'prompt' must be a string");
    parsed["messages"] = {{{"role", "user"}, {"content", *prompt}}};
    parsed.erase("prompt");
    return make_completion(std::move(parsed), document);
}

execute_request parse_service_call(const std::string& service, const std::string& path,
                                   const std::string& key, const std::string& body,
                                   const operating_document& document)
{
    const auto entry = document.services.find({service});
    if (entry == document.services.end())
        refuse(status_not_found, "unknown_service",
               "no service '" + service + "' in the operating document");
    if (!entry->second.idempotent && key.empty())
        refuse(status_bad_request, "missing_idempotency_key",
               "calls of service '" + service + "' need an Idempotency-Key header");
    if (key.size() > longest_key)
        refuse(status_bad_request, "invalid_idempotency_key",
               "the Idempotency-Key is longer than " + std::to_string(longest_key) +
                   " bytes");
    execute_request execute;
    execute.id = {random_hex(request_id_bytes)};
    execute.service = {service};
    execute.partner = entry->second.partner;
    execute.tokens = {service_call_tokens};
    execute.path = path;
    execute.key = {key};
    execute.body = body;
    execute.idempotent = entry->second.idempotent;
    execute.fingerprint = content_fingerprint(service + path, body);
    return execute;
}

std::string completion_body(const execute_event& last, const request_id& id,
                            const std::string& text, bool chat)
{
    json choice = {{"index", 0}, {"finish_reason", last.finish_reason}};
    if (chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    const json body = {{"id", id.value},
                       {"object", object_name(chat, false)},
                       {"created", std::time(nullptr)},
                       {"model", last.adapter.value},
                       {"choices", {choice}},
                       {"usage", {{"completion_tokens", last.tokens}}},
                       {"verdict", to_string(last.run)}};
    return body.dump();
}

std::string chunk_body(const request_id& id, const model_ref& model,
                       const std::string& text, const std::string& finish_reason,
                       bool chat)
{
    json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (!finish_reason.empty())
        choice["finish_reason"] = finish_reason;
    if (chat)
        choice["delta"] = text.empty() ? json::object() : json{{"content", text}};
    else
        choice["text"] = text;
    const json body = {{"id", id.value},
                       {"object", object_name(chat, true)},
                       {"created", std::time(nullptr)},
                       {"model", model.value},
                       {"choices", {choice}}};
    return body.dump();
}

std::string error_body(const failure& reason, const request_id& id)
{
    json error = {{"code", reason.code},
                  {"message", reason.message},
                  {"verdict", to_string(reason.run)},
                  {"request_id", id.value}};
    if (reason.retry_after)
        error["retry_after_ms"] = reason.retry_after->count();
    return json{{"error", error}}.dump();
}

} // namespace pollenhaven
