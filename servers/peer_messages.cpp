#include "servers/peer_messages.hpp"

#include <nlohmann/json.hpp>

namespace pollenhaven
{

namespace
{

using nlohmann::json;

std::string pack(json message)
{
    message["v"] = peer_protocol_version;
    const std::vector<std::uint8_t> bytes = json::to_msgpack(message);
    return {bytes.begin(), bytes.end()};
}

json unpack(const std::string& data)
{
    json message = json::from_msgpack(data, true, false);
    if (!message.is_object() || !message.contains("v"))
        throw message_error("a peer sent a message that is not a versioned map");
    const int version = message["v"].get<int>();
    if (version != peer_protocol_version)
        throw message_error("a peer sent a message of version " +
                            std::to_string(version) + ", this daemon speaks version " +
                            std::to_string(peer_protocol_version));
    return message;
}

// Runs a decoder and turns the library's type errors into message errors.
template <class Decode> auto decode_with(const std::string& data, Decode decode)
{
    try
    {
        return decode(unpack(data));
    }
    catch (const json::exception& error)
    {
        throw message_error(std::string("a peer sent a malformed message: ") +
                            error.what());
    }
}

json to_json(const failure& reason)
{
    json object = {{"run", to_string(reason.run)},
                   {"http", reason.http_status},
                   {"code", reason.code},
                   {"message", reason.message}};
    if (reason.retry_after)
        object["retry_ms"] = reason.retry_after->count();
    return object;
}

failure to_failure(const json& object)
{
    failure reason;
    reason.run = verdict_from_string(object.value("run", ""));
    reason.http_status = object.value("http", reason.http_status);
    reason.code = object.value("code", "");
    reason.message = object.value("message", "");
    if (object.contains("retry_ms"))
        reason.retry_after = milliseconds(object["retry_ms"].get<long>());
    return reason;
}

json to_json(const endpoint_digest& digest)
{
    json adapters = json::object();
    for (const auto& [adapter, state] : digest.adapters)
        adapters[adapter.value] = static_cast<int>(state);
    json queued = json::object();
    for (const auto& [partner, count] : digest.queued)
        queued[partner.value] = count;
    return {{"id", digest.id.value}, {"ready", digest.ready},     {"q", queued},
            {"st", digest.stalled},  {"vh", digest.victim_heat},  {"r", digest.running},
            {"b", digest.max_batch}, {"busy", digest.busy_slots}, {"slots", digest.slots},
            {"a", adapters}};
}

endpoint_digest to_endpoint_digest(const json& object)
{
    endpoint_digest digest;
    digest.id = {object.value("id", "")};
    digest.ready = object.value("ready", false);
    const json queued = object.value("q", json::object());
    for (const auto& [name, count] : queued.items())
        digest.queued[{name}] = count.get<int>();
    digest.stalled = object.value("st", 0);
    digest.victim_heat = object.value("vh", 0.0);
    digest.running = object.value("r", 0);
    digest.max_batch = object.value("b", 1);
    digest.busy_slots = object.value("busy", 0);
    digest.slots = object.value("slots", 0);
    const json adapters = object.value("a", json::object());
    for (const auto& [name, state] : adapters.items())
        digest.adapters[{name}] = static_cast<residency>(state.get<int>());
    return digest;
}

} // namespace

std::string encode(const execute_request& message)
{
    return pack({{"id", message.id.value},
                 {"endpoint", message.endpoint.value},
                 {"partner", message.partner.value},
                 {"overnight", message.priority == work_class::overnight},
                 {"tokens", message.tokens.value},
                 {"left_ms", message.time_left.count()},
                 {"body", message.body},
                 {"trace", message.trace_parent},
                 {"model", message.model.value},
                 {"service", message.service.value},
                 {"path", message.path},
                 {"key", message.key.value},
                 {"idempotent", message.idempotent},
                 {"fingerprint", message.fingerprint},
                 {"crashes", message.crashes},
                 {"resume", message.resume},
                 {"from", message.from_token}});
}

execute_request decode_execute_request(const std::string& data)
{
    return decode_with(data,
                       [](const json& object)
                       {
                           execute_request message;
                           message.id = {object.value("id", "")};
                           message.endpoint = {object.value("endpoint", "")};
                           message.partner = {object.value("partner", "")};
                           message.priority = object.value("overnight", false)
                                                  ? work_class::overnight
                                                  : work_class::interactive;
                           message.tokens = {object.value("tokens", std::uint64_t{0})};
                           message.time_left = milliseconds(object.value("left_ms", 0L));
                           message.body = object.value("body", "");
                           message.trace_parent = object.value("trace", "");
                           message.model = {object.value("model", "")};
                           message.service = {object.value("service", "")};
                           message.path = object.value("path", "");
                           message.key = {object.value("key", "")};
                           message.idempotent = object.value("idempotent", true);
                           message.fingerprint = object.value("fingerprint", "");
                           message.crashes = object.value("crashes", 0);
                           message.resume = object.value("resume", false);
                           message.from_token = object.value("from", 0);
                           return message;
                       });
}

std::string encode(const execute_event& message)
{
    if (!message.final)
        return pack({{"p", message.position}, {"t", message.text}});
    return pack({{"final", true},
                 {"run", to_string(message.run)},
                 {"error", to_json(message.error)},
                 {"adapter", message.adapter.value},
                 {"finish", message.finish_reason},
                 {"tokens", message.tokens},
                 {"status", message.status},
                 {"body", message.body},
                 {"crashes", message.crashes}});
}

execute_event decode_execute_event(const std::string& data)
{
    return decode_with(data,
                       [](const json& object)
                       {
                           execute_event message;
                           message.final = object.value("final", false);
                           message.position = object.value("p", 0);
                           message.text = object.value("t", "");
                           if (!message.final)
                               return message;
                           message.run = verdict_from_string(object.value("run", ""));
                           message.error =
                               to_failure(object.value("error", json::object()));
                           message.adapter = {object.value("adapter", "")};
                           message.finish_reason = object.value("finish", "");
                           message.tokens = object.value("tokens", 0);
                           message.status = object.value("status", 0);
                           message.body = object.value("body", "");
                           message.crashes = object.value("crashes", 0);
                           return message;
                       });
}

std::string encode(const gossip_message& message)
{
    json object = {{"from", message.from.value},
                   {"inc", message.incarnation.value},
                   {"own", message.ownership_revision.value},
                   {"doc", message.document_revision.value}};
    if (message.leaving)
        object["leaving"] = true;
    if (message.wants_state)
        object["wants"] = true;
    if (message.has_endpoints)
    {
        object["endpoints"] = json::array();
        for (const endpoint_digest& digest : message.endpoints)
            object["endpoints"].push_back(to_json(digest));
    }
    for (const auto& [partner, tokens] : message.served)
        object["served"][partner.value] = tokens;
    for (const crash_note& note : message.crashes)
        object["crashes"][note.fingerprint] = note.crashes;
    return pack(std::move(object));
}

gossip_message decode_gossip_message(const std::string& data)
{
    return decode_with(
        data,
        [](const json& object)
        {
            gossip_message message;
            message.from = {object.value("from", "")};
            message.incarnation = {object.value("inc", "")};
            message.ownership_revision = {object.value("own", std::uint64_t{0})};
            message.document_revision = {object.value("doc", std::uint64_t{0})};
            message.leaving = object.value("leaving", false);
            message.wants_state = object.value("wants", false);
            message.has_endpoints = object.contains("endpoints");
            for (const json& digest : object.value("endpoints", json::array()))
                message.endpoints.push_back(to_endpoint_digest(digest));
            const json served = object.value("served", json::object());
            for (const auto& [partner, tokens] : served.items())
                message.served[{partner}] = tokens.get<double>();
            const json crashed = object.value("crashes", json::object());
            for (const auto& [fingerprint, crashes] : crashed.items())
                message.crashes.push_back({fingerprint, crashes.get<int>()});
            return message;
        });
}

std::string encode(const gossip_answer& message)
{
    json object = {{"own", message.ownership_revision.value}};
    if (!message.ownership.empty())
        object["ownership"] = message.ownership;
    for (const document_section& section : message.sections)
        object["sections"].push_back({{"name", section.name},
                                      {"text", section.text},
                                      {"revision", section.revision.value}});
    if (!message.state.empty())
    {
        object["members"] = message.members;
        object["state"] = message.state;
    }
    return pack(std::move(object));
}

gossip_answer decode_gossip_answer(const std::string& data)
{
    return decode_with(
        data,
        [](const json& object)
        {
            gossip_answer message;
            message.ownership_revision = {object.value("own", std::uint64_t{0})};
            message.ownership = object.value("ownership", "");
            message.members = object.value("members", std::vector<std::string>{});
            message.state = object.value("state", "");
            for (const json& section : object.value("sections", json::array()))
                message.sections.push_back(
                    {section.value("name", ""),
                     section.value("text", ""),
                     {section.value("revision", std::uint64_t{0})}});
            return message;
        });
}

std::string encode(const renew_request& message)
{
    return pack(
        {{"lease", message.lease.value}, {"own", message.ownership_revision.value}});
}

renew_request decode_renew_request(const std::string& data)
{
    return decode_with(data,
                       [](const json& object)
                       {
                           renew_request message;
                           message.lease = {object.value("lease", std::uint64_t{0})};
                           message.ownership_revision = {
                               object.value("own", std::uint64_t{0})};
                           return message;
                       });
}

std::string encode(const renew_answer& message)
{
    return pack({{"answered", message.service_answered},
                 {"alive", message.lease_alive},
                 {"own", message.ownership_revision.value}});
}

renew_answer decode_renew_answer(const std::string& data)
{
    return decode_with(data,
                       [](const json& object)
                       {
                           renew_answer message;
                           message.service_answered = object.value("answered", false);
                           message.lease_alive = object.value("alive", false);
                           message.ownership_revision = {
                               object.value("own", std::uint64_t{0})};
                           return message;
                       });
}

std::string encode(const permit_message& message)
{
    return pack(
        {{"id", message.id}, {"overnight", message.priority == work_class::overnight}});
}

permit_message decode_permit_message(const std::string& data)
{
    return decode_with(data,
                       [](const json& object)
                       {
                           permit_message message;
                           message.id = object.value("id", "");
                           message.priority = object.value("overnight", false)
                                                  ? work_class::overnight
                                                  : work_class::interactive;
                           return message;
                       });
}

} // namespace pollenhaven
