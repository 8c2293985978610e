#include "modules/etcd_key_value/etcd_key_value.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <utility>

namespace pollenhaven
{

namespace
{

using nlohmann::json;

constexpr milliseconds connect_timeout{1000};
constexpr milliseconds call_timeout{3000};
// A watch that sends nothing for this long may have gone silent and is made anew.
constexpr seconds watch_silence_limit{10};
constexpr int base64_group_in = 3;
constexpr int base64_group_out = 4;

std::string to_base64(const std::string& plain)
{
    std::string encoded((plain.size() + 2) / base64_group_in * base64_group_out + 1,
                        '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                        reinterpret_cast<const unsigned char*>(plain.data()),
                        static_cast<int>(plain.size()));
    encoded.resize(static_cast<std::size_t>(length));
    return encoded;
}

std::string from_base64(const std::string& encoded)
{
    std::string plain(encoded.size() / base64_group_out * base64_group_in + 1, '\0');
    const int length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(plain.data()),
                        reinterpret_cast<const unsigned char*>(encoded.data()),
                        static_cast<int>(encoded.size()));
    if (length < 0)
        throw key_value_error("the key-value service sent malformed base64", true);
    std::size_t padding = 0;
    while (padding < 2 && padding < encoded.size() &&
           encoded[encoded.size() - 1 - padding] == '=')
        ++padding;
    plain.resize(static_cast<std::size_t>(length) - padding);
    return plain;
}

// The end of the range of all keys with the prefix: the prefix with its last byte raised.
std::string prefix_end(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xffU)
        prefix.pop_back();
    if (prefix.empty())
        return std::string(1, '\0');
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
    return prefix;
}

// The gateway writes 64-bit numbers as strings and leaves zeros out.
std::uint64_t number_in(const json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return 0;
    if (found->is_string())
        return std::stoull(found->get<std::string>());
    return found->get<std::uint64_t>();
}

httplib::Client connect_client(const std::string& address)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(call_timeout);
    client.set_write_timeout(call_timeout);
    return client;
}

bool never_sent(httplib::Error error)
{
    return error == httplib::Error::Connection ||
           error == httplib::Error::ConnectionTimeout;
}

json post(const std::string& address, const std::string& path, const json& body)
{
    httplib::Client client = connect_client(address);
    const httplib::Result result = client.Post(path, body.dump(), "application/json");
    if (!result)
        throw key_value_error("key-value service " + address + path + ": " +
                                  httplib::to_string(result.error()),
                              !never_sent(result.error()));
    if (result->status != 200)
        throw key_value_error("key-value service " + address + path +
                                  " answered status " + std::to_string(result->status),
                              false);
    json answer = json::parse(result->body, nullptr, false);
    if (answer.is_discarded())
        throw key_value_error(
            "key-value service " + address + path + " sent malformed JSON", true);
    return answer;
}

stored_value to_stored_value(const json& entry)
{
    stored_value value;
    value.key = from_base64(entry.value("key", ""));
    value.value = from_base64(entry.value("value", ""));
    value.modified = {number_in(entry, "mod_revision")};
    return value;
}

std::vector<stored_value> to_stored_values(const json& answer)
{
    std::vector<stored_value> values;
    for (const json& entry : answer.value("kvs", json::array()))
        values.push_back(to_stored_value(entry));
    return values;
}

store_revision revision_of(const json& answer)
{
    return {number_in(answer.value("header", json::object()), "revision")};
}

range_result read_range(const std::string& address, const std::string& prefix)
{
    const json answer =
        post(address, "/v3/kv/range",
             {{"key", to_base64(prefix)}, {"range_end", to_base64(prefix_end(prefix))}});
    return {to_stored_values(answer), revision_of(answer)};
}

json to_compare(const revision_check& check)
{
    return {{"key", to_base64(check.key)},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"mod_revision", std::to_string(check.expected.value)}};
}

json to_put(const put_operation& put)
{
    json request = {{"key", to_base64(put.key)}, {"value", to_base64(put.value)}};
    if (put.lease)
        request["lease"] = std::to_string(put.lease->value);
    return {{"request_put", request}};
}

json to_request(const transaction& change)
{
    json request = {{"compare", json::array()},
                    {"success", json::array()},
                    {"failure", json::array()}};
    for (const revision_check& check : change.checks)
    {
        request["compare"].push_back(to_compare(check));
        request["failure"].push_back(
            {{"request_range", {{"key", to_base64(check.key)}}}});
    }
    for (const put_operation& put : change.puts)
        request["success"].push_back(to_put(put));
    for (const std::string& key : change.deletes)
        request["success"].push_back(
            {{"request_delete_range", {{"key", to_base64(key)}}}});
    return request;
}

transaction_result commit_transaction(const std::string& address,
                                      const transaction& change)
{
    const json answer = post(address, "/v3/kv/txn", to_request(change));
    transaction_result result;
    result.succeeded = answer.value("succeeded", false);
    result.revision = revision_of(answer);
    if (result.succeeded)
        return result;
    for (const json& response : answer.value("responses", json::array()))
    {
        for (stored_value& value :
             to_stored_values(response.value("response_range", json::object())))
            result.current.push_back(std::move(value));
    }
    return result;
}

lease_id grant(const std::string& address, seconds time_to_live)
{
    const json answer =
        post(address, "/v3/lease/grant", {{"TTL", std::to_string(time_to_live.count())}});
    return {number_in(answer, "ID")};
}

bool renew(const std::string& address, lease_id lease)
{
    const json answer =
        post(address, "/v3/lease/keepalive", {{"ID", std::to_string(lease.value)}});
    return number_in(answer.value("result", json::object()), "TTL") > 0;
}

bool watch_once(const std::string& address, const std::string& prefix,
                store_revision after, const std::atomic<bool>& stop)
{
    httplib::Client client = connect_client(address);
    client.set_read_timeout(watch_silence_limit);
    const json create = {{"create_request",
                          {{"key", to_base64(prefix)},
                           {"range_end", to_base64(prefix_end(prefix))},
                           {"start_revision", std::to_string(after.value + 1)}}}};
    httplib::Request request;
    request.method = "POST";
    request.path = "/v3/watch";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = create.dump();
    bool changed = false;
    std::string received;
    request.content_receiver =
        [&](const char* data, std::size_t length, std::uint64_t, std::uint64_t)
    {
        received.append(data, length);
        changed = received.find("\"events\"") != std::string::npos;
        return !changed && !stop;
    };
    const httplib::Result result = client.send(request);
    if (!changed && !result && never_sent(result.error()))
        throw key_value_error("key-value service " + address +
                                  "/v3/watch: " + httplib::to_string(result.error()),
                              false);
    return changed;
}

} // namespace

key_value_store make_etcd_key_value(const std::string& address)
{
    key_value_store store;
    store.range = [address](const std::string& prefix)
    { return read_range(address, prefix); };
    store.commit = [address](const transaction& change)
    { return commit_transaction(address, change); };
    store.grant_lease = [address](seconds time_to_live)
    { return grant(address, time_to_live); };
    store.keep_alive = [address](lease_id lease) { return renew(address, lease); };
    store.wait_for_change = [address](const std::string& prefix, store_revision after,
                                      const std::atomic<bool>& stop)
    { return watch_once(address, prefix, after, stop); };
    return store;
}

} // namespace pollenhaven
