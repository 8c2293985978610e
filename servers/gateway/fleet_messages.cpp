#include "servers/gateway/fleet_messages.hpp"

#include "core/json_text.hpp"

#include <limits>
#include <stdexcept>

namespace pollenhaven
{

namespace
{

using json = nlohmann::json;

// Messages of another format version are rejected, so that daemons of different versions
// can run together during a roll-out.
constexpr int format_version = 1;

int decode_integer(const json& value)
{
    return static_cast<int>(checked_integer(value, std::numeric_limits<int>::min(),
                                            std::numeric_limits<int>::max()));
}

std::uint64_t decode_unsigned(const json& value)
{
    if (value.is_number_unsigned())
        return value.get<std::uint64_t>();
    return static_cast<std::uint64_t>(
        checked_integer(value, 0, std::numeric_limits<std::int64_t>::max()));
}

// Returns 0 if the field is missing.
std::uint64_t optional_unsigned(const json& body, const char* field)
{
    return body.contains(field) ? decode_unsigned(body.at(field)) : 0;
}

// Decodes a number of milliseconds, which may be negative: a time that has passed.
milliseconds decode_duration(const json& value)
{
    return milliseconds(
        checked_integer(value, -max_duration.count(), max_duration.count()));
}

double decode_milliseconds(const json& value)
{
    return checked_number(value, 0, static_cast<double>(max_duration.count()));
}

// Decodes a number of requests or tokens at an endpoint.
int decode_load_count(const json& value)
{
    constexpr int max_load_count = 1 << 30;
    return static_cast<int>(checked_integer(value, 0, max_load_count));
}

json encode_counts(const std::map<adapter_id, int>& counts)
{
    json object = json::object();
    for (const auto& [adapter, count] : counts)
        object[adapter.value] = count;
    return object;
}

std::map<adapter_id, int> decode_counts(const json& object)
{
    std::map<adapter_id, int> counts;
    for (const auto& [name, count] : object.items())
        counts[{name}] = decode_load_count(count);
    return counts;
}

using endpoint_loads = std::map<endpoint_id, endpoint_load>;

// Daemons of earlier releases read the first two numbers.
json encode_endpoint_loads(const endpoint_loads& loads)
{
    json object = json::object();
    for (const auto& [endpoint, load] : loads)
        object[endpoint.value] = json::array({load.in_flight, load.pending_prefill_tokens,
                                              encode_counts(load.in_flight_by_adapter),
                                              encode_counts(load.started_by_adapter)});
    return object;
}

endpoint_loads decode_endpoint_loads(const json& object)
{
    endpoint_loads loads;
    constexpr std::size_t fields_with_adapters = 4;
    for (const auto& [endpoint, load] : object.items())
    {
        endpoint_load& decoded = loads[{endpoint}];
        decoded.in_flight = decode_load_count(load.at(0));
        decoded.pending_prefill_tokens = decode_load_count(load.at(1));
        if (load.size() < fields_with_adapters)
            continue;
        decoded.in_flight_by_adapter = decode_counts(load.at(2));
        decoded.started_by_adapter = decode_counts(load.at(3));
    }
    return loads;
}

json encode_observations(const std::vector<load_observation>& observations)
{
    json list = json::array();
    for (const load_observation& observed : observations)
        list.push_back(
            {observed.concurrent_loads, observed.elapsed.count(), observed.complete});
    return list;
}

std::vector<load_observation> decode_observations(const json& list)
{
    std::vector<load_observation> observations;
    for (const json& entry : list)
        observations.push_back({decode_integer(entry.at(0)), decode_duration(entry.at(1)),
                                entry.at(2).get<bool>()});
    return observations;
}

json encode_service_versions(const service_versions& versions)
{
    json object = json::object();
    for (const auto& [service, software] : versions)
        for (const software_version& version : software)
            object[service.value].push_back(version.value);
    return object;
}

service_versions decode_service_versions(const json& object)
{
    service_versions versions;
    for (const auto& [service, software] : object.items())
        for (const json& version : software)
            versions[{service}].insert({version.get<std::string>()});
    return versions;
}

json encode_body(const endpoint_load_message& message)
{
    json body{{"kind", "use"},
              {"from", message.sender.value},
              {"counts", encode_endpoint_loads(message.loads)},
              {"seq", message.sequence}};
    for (const auto& [endpoint, question] : message.questions)
        body["asks"][endpoint.value] =
            json::array({question.number.value, question.is_waiting});
    return body;
}

json encode_body(const stated_load_message& message)
{
    json loads = json::object();
    for (const auto& [endpoint, load] : message.loads)
        loads[endpoint.value] =
            json::array({load.number.value, load.in_flight, load.pending_prefill_tokens,
                         encode_counts(load.in_flight_by_adapter)});
    return {{"kind", "others"}, {"from", message.sender.value}, {"loads", loads}};
}

json encode_body(const heartbeat_message& message)
{
    json body{{"kind", "beat"},
              {"from", message.sender.value},
              {"start", message.incarnation.value},
              {"ready", message.ready},
              {"leaving", message.leaving},
              {"silence", message.store_silence.count()},
              // Required by daemons of earlier releases.
              {"use", json::object()},
              {"partial", true},
              {"loads", encode_observations(message.load_observations)},
              {"store",
               {message.load_times.is_learned, message.load_times.full_speed_ms,
                message.load_times.loads_at_full_speed}}};
    if (!message.is_regular)
        body["regular"] = false;
    if (message.cut_off)
        body["cut_off"] = true;
    if (message.operator_change != store_position{})
    {
        body["rev"] = message.operator_change.revision.value;
        body["era"] = message.operator_change.era.value;
    }
    if (message.era.value != 0)
    {
        body["seen_era"] = message.era.value;
        body["era_age"] = message.era_age.count();
    }
    for (const auto& [endpoint, limit] : message.request_limits)
        body["limits"][endpoint.value] = limit.per_second;
    if (message.software_versions)
        body["software"] = encode_service_versions(*message.software_versions);
    return body;
}

json encode_body(const inventory_message& message)
{
    json adapters = json::array();
    for (const reported_adapter& entry : message.adapters)
    {
        json encoded{entry.adapter.adapter.value, entry.adapter.version.value,
                     entry.ready_in.count()};
        if (entry.concurrent_loads > 0)
        {
            encoded.push_back(entry.loading_for.count());
            encoded.push_back(entry.concurrent_loads);
        }
        adapters.push_back(std::move(encoded));
    }
    json body{{"kind", "holds"},
              {"from", message.sender.value},
              {"at", message.endpoint.value},
              {"token", message.token},
              {"seq", message.sequence},
              {"queue", message.queued_loads},
              {"has", adapters}};
    if (message.is_to_relay)
        body["relay"] = true;
    if (message.in_flight)
        body["load"] = {*message.in_flight, message.pending_prefill_tokens};
    return body;
}

json encode_body(const load_queue_message& message)
{
    return {{"kind", "queue"},
            {"from", message.sender.value},
            {"at", message.endpoint.value},
            {"token", message.token},
            {"queue", message.queued_loads}};
}

json encode_body(const load_request_message& message)
{
    json body{{"kind", "load"},
              {"from", message.sender.value},
              {"at", message.endpoint.value},
              {"adapter", message.adapter.value},
              {"urgency", message.urgency},
              {"replica", message.replica},
              {"waiting", message.waiting},
              {"on_time", message.ready_within.count()}};
    if (message.version)
        body["version"] = message.version->value;
    return body;
}

json encode_body(const suspects_message& message)
{
    json named = json::object();
    for (const auto& [fingerprint, crashes] : message.named_crashes)
        for (const endpoint_crash& crash : crashes)
            named[fingerprint].push_back(
                json::array({crash.endpoint.value, crash.started_ms}));
    return {{"kind", "suspects"},
            {"from", message.sender.value},
            {"crashes", message.crashes},
            {"named", named}};
}

json encode_body(const prompt_parts_message& message)
{
    json crashes = json::object();
    for (const auto& [endpoint, parts] : message.crashes)
        for (const auto& [part, position] : parts)
            crashes[endpoint.value][part.value] = position;
    json answered = json::array();
    for (const prompt_part_id& part : message.answered)
        answered.push_back(part.value);
    json blocked = json::object();
    for (const auto& [part, block] : message.blocked)
        blocked[part.value] = json::array({block.trials, block.next_trial_in.count()});
    return {{"kind", "parts"},
            {"from", message.sender.value},
            {"crashes", crashes},
            {"answered", answered},
            {"blocked", blocked}};
}

json encode_body(const sync_request_message& message)
{
    return {{"kind", "ask"},
            {"from", message.sender.value},
            {"to", message.reply_to.value},
            {"prefix", message.prefix},
            {"after", message.after.revision.value},
            {"era", message.after.era.value}};
}

json encode_body(const sync_chunk_message& message)
{
    const std::vector<std::uint8_t> bytes(message.bytes.begin(), message.bytes.end());
    return {{"kind", "piece"},
            {"from", message.sender.value},
            {"prefix", message.prefix},
            {"key", message.key},
            {"rev", message.position.revision.value},
            {"era", message.position.era.value},
            {"deleted", message.deleted},
            {"size", message.value_bytes},
            {"offset", message.offset},
            {"bytes", json::binary(bytes)},
            {"items", message.item_count},
            {"position", message.response_position.revision.value},
            {"position_era", message.response_position.era.value}};
}

json encode_body(const endpoint_limit_message& message)
{
    json body{{"kind", "limit"},
              {"from", message.sender.value},
              {"at", message.endpoint.value},
              {"born", message.endpoint_started_ms},
              {"permit", message.permit.value}};
    if (message.limit)
        body["limit"] = message.limit->per_second;
    return body;
}

json encode_body(const permit_request_message& message)
{
    return {{"kind", "may"},
            {"from", message.sender.value},
            {"at", message.endpoint.value},
            {"born", message.endpoint_started_ms},
            {"limit", message.limit.per_second},
            {"age", message.limit_age.count()}};
}

json encode_body(const quota_question_message& message)
{
    return {{"kind", "credit"},
            {"from", message.sender.value},
            {"of", message.customer.value},
            {"rate", message.quota.rate},
            {"burst", message.quota.burst},
            {"number", message.question.number.value},
            {"needed", message.question.needed},
            {"wanted", message.question.wanted},
            {"returned", message.question.returned}};
}

json encode_body(const quota_answer_message& message)
{
    return {{"kind", "granted"},
            {"from", message.sender.value},
            {"of", message.customer.value},
            {"number", message.answer.number.value},
            {"granted", message.answer.granted},
            {"retry", message.answer.retry_in.count()}};
}

json encode_body(const stream_copies_message& message)
{
    json copies = json::array();
    for (const sent_copy& copy : message.copies)
        copies.push_back({copy.stream.value, copy.version.value, copy.number.value});
    return {{"kind", "copies"},
            {"from", message.sender.value},
            {"start", message.incarnation.value},
            {"copies", copies}};
}

json encode_body(const stream_copies_receipt& message)
{
    json streams = json::array();
    for (const auto& [stream, number] : message.streams)
        streams.push_back({stream.value, number.value});
    return {{"kind", "kept"}, {"from", message.sender.value}, {"streams", streams}};
}

json encode_body(const stream_question_message& message)
{
    return {{"kind", "whose"},
            {"from", message.sender.value},
            {"stream", message.stream.value}};
}

json encode_body(const stream_statement_message& message)
{
    json body{{"kind", "begun"},
              {"from", message.sender.value},
              {"stream", message.stream.value},
              {"uptime", message.statement.uptime.count()}};
    if (message.statement.own)
        body["own"] = message.statement.own->value;
    if (message.statement.copy)
        body["copy"] = {message.statement.copy->writer.value,
                        message.statement.copy->incarnation.value,
                        message.statement.copy->number.value,
                        message.statement.copy->version.value};
    return body;
}

json encode_body(const permit_message& message)
{
    return {{"kind", "permit"},
            {"from", message.sender.value},
            {"at", message.endpoint.value},
            {"limited", message.is_limited},
            {"number", message.number.value},
            {"retry", message.retry_in.count()}};
}

json encode_body(const endpoint_room_message& message)
{
    return {{"kind", "room"},
            {"from", message.sender.value},
            {"at", message.endpoint.value},
            {"born", message.endpoint_started_ms},
            {"accepted", message.accepted},
            {"bears", message.bearable_rejections.per_second}};
}

json encode_position(const store_position& position)
{
    return json::array({position.era.value, position.revision.value});
}

store_position decode_position(const json& value)
{
    return {{decode_unsigned(value.at(0))}, {decode_unsigned(value.at(1))}};
}

json encode_body(const store_changes_message& message)
{
    json watches = json::array();
    for (const watch_news& news : message.watches)
    {
        json items = json::array();
        for (const store_item& item : news.items)
            items.push_back({item.key, encode_position(position_of(item)), item.deleted,
                             json::binary({item.value.begin(), item.value.end()})});
        watches.push_back({news.prefix, encode_position(news.after),
                           encode_position(news.position), items});
    }
    return {{"kind", "changes"}, {"from", message.sender.value}, {"watches", watches}};
}

request_rate decode_rate(const json& value)
{
    return {checked_number(value, 0, std::numeric_limits<double>::max())};
}

// Daemons of an earlier release send no eras.
store_position decode_position(const json& body, const char* era, const char* revision)
{
    return {{optional_unsigned(body, era)}, {optional_unsigned(body, revision)}};
}

heartbeat_message decode_heartbeat(const json& body)
{
    heartbeat_message message;
    message.incarnation = {body.at("start").get<std::string>()};
    message.ready = body.at("ready").get<bool>();
    message.leaving = body.at("leaving").get<bool>();
    message.is_regular = body.value("regular", true);
    message.cut_off = body.value("cut_off", false);
    message.store_silence = decode_duration(body.at("silence"));
    message.endpoint_loads = decode_endpoint_loads(body.at("use"));
    message.operator_change = decode_position(body, "era", "rev");
    message.era = {optional_unsigned(body, "seen_era")};
    message.era_age =
        body.contains("era_age") ? decode_duration(body.at("era_age")) : milliseconds(0);
    // Daemons of an earlier release don't send observations.
    if (body.contains("loads"))
        message.load_observations = decode_observations(body.at("loads"));
    if (body.contains("store"))
    {
        const json& store = body.at("store");
        message.load_times.is_learned = store.at(0).get<bool>();
        message.load_times.full_speed_ms = decode_milliseconds(store.at(1));
        message.load_times.loads_at_full_speed =
            checked_number(store.at(2), 0, max_count);
    }
    if (body.contains("limits"))
        for (const auto& [endpoint, limit] : body.at("limits").items())
            message.request_limits[{endpoint}] = decode_rate(limit);
    if (body.contains("software"))
        message.software_versions = decode_service_versions(body.at("software"));
    return message;
}

endpoint_load_message decode_endpoint_load(const json& body)
{
    endpoint_load_message message;
    message.loads = decode_endpoint_loads(body.at("counts"));
    message.sequence = optional_unsigned(body, "seq");
    if (body.contains("asks"))
        for (const auto& [endpoint, question] : body.at("asks").items())
            message.questions[{endpoint}] = {{decode_unsigned(question.at(0))},
                                             question.at(1).get<bool>()};
    return message;
}

stated_load_message decode_stated_load(const json& body)
{
    stated_load_message message;
    for (const auto& [endpoint, load] : body.at("loads").items())
        message.loads[{endpoint}] = {{decode_unsigned(load.at(0))},
                                     decode_load_count(load.at(1)),
                                     decode_load_count(load.at(2)),
                                     decode_counts(load.at(3))};
    return message;
}

inventory_message decode_inventory(const json& body)
{
    inventory_message message;
    message.endpoint = {body.at("at").get<std::string>()};
    message.token = decode_unsigned(body.at("token"));
    message.sequence = decode_unsigned(body.at("seq"));
    message.queued_loads = decode_integer(body.at("queue"));
    for (const json& entry : body.at("has"))
    {
        constexpr std::size_t fields_of_loaded = 3;
        reported_adapter adapter;
        adapter.adapter = {{entry.at(0).get<std::string>()},
                           {decode_unsigned(entry.at(1))}};
        adapter.ready_in = decode_duration(entry.at(2));
        if (entry.size() > fields_of_loaded)
        {
            adapter.loading_for = decode_duration(entry.at(3));
            adapter.concurrent_loads = decode_integer(entry.at(4));
        }
        message.adapters.push_back(adapter);
    }
    message.is_to_relay = body.value("relay", false);
    if (body.contains("load"))
    {
        message.in_flight = decode_load_count(body.at("load").at(0));
        message.pending_prefill_tokens = decode_load_count(body.at("load").at(1));
    }
    return message;
}

load_queue_message decode_load_queue(const json& body)
{
    load_queue_message message;
    message.endpoint = {body.at("at").get<std::string>()};
    message.token = decode_unsigned(body.at("token"));
    message.queued_loads = decode_integer(body.at("queue"));
    return message;
}

load_request_message decode_load_request(const json& body)
{
    load_request_message message;
    message.endpoint = {body.at("at").get<std::string>()};
    message.adapter = {body.at("adapter").get<std::string>()};
    message.urgency = decode_integer(body.at("urgency"));
    message.replica = body.at("replica").get<bool>();
    message.waiting = decode_integer(body.at("waiting"));
    message.ready_within = decode_duration(body.at("on_time"));
    if (body.contains("version"))
        message.version = adapter_version{decode_unsigned(body.at("version"))};
    return message;
}

suspects_message decode_suspects(const json& body)
{
    suspects_message message;
    for (const auto& [fingerprint, crashes] : body.at("crashes").items())
        message.crashes[fingerprint] = checked_count(crashes);
    if (!body.contains("named"))
        return message;
    for (const auto& [fingerprint, crashes] : body.at("named").items())
        for (const json& crash : crashes)
            message.named_crashes[fingerprint].push_back(
                {{crash.at(0).get<std::string>()}, decode_unsigned(crash.at(1))});
    return message;
}

prompt_parts_message decode_prompt_parts(const json& body)
{
    prompt_parts_message message;
    for (const auto& [endpoint, parts] : body.at("crashes").items())
        for (const auto& [part, position] : parts.items())
            message.crashes[{endpoint}][{part}] = decode_integer(position);
    for (const json& part : body.at("answered"))
        message.answered.push_back({part.get<std::string>()});
    for (const auto& [part, block] : body.at("blocked").items())
        message.blocked[{part}] = {decode_integer(block.at(0)),
                                   decode_duration(block.at(1))};
    return message;
}

sync_request_message decode_sync_request(const json& body)
{
    sync_request_message message;
    message.reply_to = {body.at("to").get<std::string>()};
    message.prefix = body.at("prefix").get<std::string>();
    message.after = decode_position(body, "era", "after");
    return message;
}

sync_chunk_message decode_sync_chunk(const json& body)
{
    sync_chunk_message message;
    message.prefix = body.at("prefix").get<std::string>();
    message.key = body.at("key").get<std::string>();
    message.position = decode_position(body, "era", "rev");
    message.deleted = body.at("deleted").get<bool>();
    message.value_bytes = decode_unsigned(body.at("size"));
    message.offset = decode_unsigned(body.at("offset"));
    const json::binary_t& bytes = body.at("bytes").get_binary();
    message.bytes.assign(bytes.begin(), bytes.end());
    message.item_count = decode_unsigned(body.at("items"));
    message.response_position = decode_position(body, "position_era", "position");
    return message;
}

endpoint_limit_message decode_endpoint_limit(const json& body)
{
    endpoint_limit_message message;
    message.endpoint = {body.at("at").get<std::string>()};
    message.endpoint_started_ms = decode_unsigned(body.at("born"));
    message.permit = {decode_unsigned(body.at("permit"))};
    if (body.contains("limit"))
        message.limit = decode_rate(body.at("limit"));
    return message;
}

permit_request_message decode_permit_request(const json& body)
{
    permit_request_message message;
    message.endpoint = {body.at("at").get<std::string>()};
    message.endpoint_started_ms = decode_unsigned(body.at("born"));
    message.limit = decode_rate(body.at("limit"));
    message.limit_age = decode_duration(body.at("age"));
    return message;
}

permit_message decode_permit(const json& body)
{
    permit_message message;
    message.endpoint = {body.at("at").get<std::string>()};
    message.is_limited = body.at("limited").get<bool>();
    message.number = {decode_unsigned(body.at("number"))};
    message.retry_in = decode_duration(body.at("retry"));
    return message;
}

endpoint_room_message decode_endpoint_room(const json& body)
{
    endpoint_room_message message;
    message.endpoint = {body.at("at").get<std::string>()};
    message.endpoint_started_ms = decode_unsigned(body.at("born"));
    message.accepted = decode_integer(body.at("accepted"));
    message.bearable_rejections = decode_rate(body.at("bears"));
    return message;
}

watch_news decode_watch_news(const json& body)
{
    watch_news news{body.at(0).get<std::string>(), decode_position(body.at(1)),
                    decode_position(body.at(2))};
    for (const json& entry : body.at(3))
    {
        const store_position position = decode_position(entry.at(1));
        const json::binary_t& value = entry.at(3).get_binary();
        news.items.push_back({entry.at(0).get<std::string>(),
                              {value.begin(), value.end()},
                              position.revision,
                              entry.at(2).get<bool>(),
                              position.era});
    }
    return news;
}

store_changes_message decode_store_changes(const json& body)
{
    store_changes_message message;
    for (const json& watch : body.at("watches"))
        message.watches.push_back(decode_watch_news(watch));
    return message;
}

double decode_credit(const json& value)
{
    constexpr double max_credit = 1e15;
    return checked_number(value, 0, max_credit);
}

quota_question_message decode_quota_question(const json& body)
{
    quota_question_message message;
    message.customer = {body.at("of").get<std::string>()};
    message.quota.rate = decode_credit(body.at("rate"));
    message.quota.burst = decode_credit(body.at("burst"));
    message.question = {{decode_unsigned(body.at("number"))},
                        decode_credit(body.at("needed")),
                        decode_credit(body.at("wanted")),
                        decode_credit(body.at("returned"))};
    return message;
}

quota_answer_message decode_quota_answer(const json& body)
{
    quota_answer_message message;
    message.customer = {body.at("of").get<std::string>()};
    message.answer = {{decode_unsigned(body.at("number"))},
                      decode_credit(body.at("granted")),
                      decode_duration(body.at("retry"))};
    return message;
}

stream_copies_message decode_stream_copies(const json& body)
{
    stream_copies_message message;
    message.incarnation = {body.at("start").get<std::string>()};
    for (const json& copy : body.at("copies"))
        message.copies.push_back({{copy.at(0).get<std::string>()},
                                  {copy.at(1).get<std::string>()},
                                  {decode_unsigned(copy.at(2))}});
    return message;
}

stream_copies_receipt decode_stream_receipt(const json& body)
{
    stream_copies_receipt message;
    for (const json& entry : body.at("streams"))
        message.streams.push_back(
            {{entry.at(0).get<std::string>()}, {decode_unsigned(entry.at(1))}});
    return message;
}

stream_question_message decode_stream_question(const json& body)
{
    return {{}, {body.at("stream").get<std::string>()}};
}

stream_statement_message decode_stream_statement(const json& body)
{
    stream_statement_message message;
    message.stream = {body.at("stream").get<std::string>()};
    message.statement.uptime = decode_duration(body.at("uptime"));
    if (body.contains("own"))
        message.statement.own = software_version{body.at("own").get<std::string>()};
    if (body.contains("copy"))
    {
        const json& copy = body.at("copy");
        message.statement.copy = stream_copy{{copy.at(0).get<std::string>()},
                                             {copy.at(1).get<std::string>()},
                                             {decode_unsigned(copy.at(2))},
                                             {copy.at(3).get<std::string>()}};
    }
    return message;
}

fleet_message decode_body(const json& body)
{
    const std::string kind = body.at("kind").get<std::string>();
    if (kind == "beat")
        return decode_heartbeat(body);
    if (kind == "use")
        return decode_endpoint_load(body);
    if (kind == "holds")
        return decode_inventory(body);
    if (kind == "queue")
        return decode_load_queue(body);
    if (kind == "load")
        return decode_load_request(body);
    if (kind == "suspects")
        return decode_suspects(body);
    if (kind == "parts")
        return decode_prompt_parts(body);
    if (kind == "ask")
        return decode_sync_request(body);
    if (kind == "piece")
        return decode_sync_chunk(body);
    if (kind == "limit")
        return decode_endpoint_limit(body);
    if (kind == "may")
        return decode_permit_request(body);
    if (kind == "permit")
        return decode_permit(body);
    if (kind == "room")
        return decode_endpoint_room(body);
    if (kind == "changes")
        return decode_store_changes(body);
    if (kind == "others")
        return decode_stated_load(body);
    if (kind == "credit")
        return decode_quota_question(body);
    if (kind == "granted")
        return decode_quota_answer(body);
    if (kind == "copies")
        return decode_stream_copies(body);
    if (kind == "kept")
        return decode_stream_receipt(body);
    if (kind == "whose")
        return decode_stream_question(body);
    if (kind == "begun")
        return decode_stream_statement(body);
    throw std::runtime_error("the message kind '" + kind + "' is unknown");
}

} // namespace

std::string encode(const fleet_message& message)
{
    json body = std::visit(
        [](const auto& typed_message) { return encode_body(typed_message); }, message);
    body["format"] = format_version;
    std::string bytes;
    json::to_msgpack(body, bytes);
    return bytes;
}

fleet_message decode(std::string_view bytes)
{
    const json body = parse_message_pack(bytes);
    if (!body.is_object())
        throw std::runtime_error("the message is not a MessagePack map");
    try
    {
        if (decode_integer(body.at("format")) != format_version)
            throw std::runtime_error("the message has another format version");
        fleet_message message = decode_body(body);
        std::visit([&](auto& typed_message)
                   { typed_message.sender = {body.at("from").get<std::string>()}; },
                   message);
        return message;
    }
    catch (const json::exception& error)
    {
        throw std::runtime_error(std::string("the message is malformed: ") +
                                 error.what());
    }
}

} // namespace pollenhaven
