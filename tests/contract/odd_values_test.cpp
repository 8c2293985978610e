// Values that another writer of the store, a peer, an endpoint or a caller may send.

#include "core/interfaces/caller_interface.hpp"
#include "core/json_text.hpp"
#include "core/plugin_registry.hpp"
#include "core/verdict.hpp"
#include "policy/call_claim.hpp"
#include "policy/crash_history.hpp"
#include "servers/gateway/base_versions.hpp"
#include "servers/gateway/fleet_messages.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;

namespace
{

platform_dialect dialect()
{
    return plugin_registry<platform_dialect>::instance().make("fleet", "");
}

store_item endpoint_item(const std::string& value)
{
    return {"servers/i-1", value, {3}, false};
}

std::string nested_list(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

// Copying or writing a value this deep needs more than a thread's stack.
const std::string deep_list = nested_list(300'000);

std::string entry_with(const std::string& field, const std::string& value)
{
    return R"({"service":"s","addr":"10.0.0.1:80","state":"ready",")" + field +
           "\":" + value + "}";
}

http_head chat_head()
{
    http_head head;
    head.method = "POST";
    head.target = "/v1/chat/completions";
    return head;
}

} // namespace

BOOST_AUTO_TEST_SUITE(odd_values)

// Guards against a bound on nesting that is off by one, or that counts brackets in texts.
BOOST_AUTO_TEST_CASE(json_is_parsed_up_to_its_bound_on_nesting)
{
    BOOST_TEST(parse_json(nested_list(max_json_depth)).is_array());
    BOOST_CHECK_THROW(parse_json(nested_list(max_json_depth + 1)), json_error);
    const std::string brackets(10 * max_json_depth, '[');
    BOOST_TEST(parse_json(R"({"a\"[":")" + brackets + "\"}")["a\"["] == brackets);
    std::string siblings = "[";
    for (std::size_t at = 0; at < 2 * max_json_depth; ++at)
        siblings += "[{}],";
    BOOST_TEST(parse_json(siblings + "1]").size() == 2 * max_json_depth + 1);
    BOOST_TEST(parse_json_or_null(deep_list).is_null());
    BOOST_TEST(parse_json_or_null("{").is_null());
}

// Guards against a parser that reads JSON differently from the library's own.
BOOST_AUTO_TEST_CASE(json_within_its_bound_is_parsed_as_by_the_library)
{
    for (const std::string text :
         {R"({"a":[1,-2,3.5,true,false,null,"x",{"b":{}}],"a2":[]})",
          R"({"a":1,"a":[2]})", "7", "\"t\"", "[[],[[]],{}]",
          R"([18446744073709551615,-9223372036854775808])"})
    {
        const nlohmann::json expected = nlohmann::json::parse(text);
        BOOST_TEST(parse_json(text) == expected, text);
        BOOST_TEST((parse_message_pack(std::string_view(
                        reinterpret_cast<const char*>(
                            nlohmann::json::to_msgpack(expected).data()),
                        nlohmann::json::to_msgpack(expected).size())) == expected),
                   text);
    }
    for (const std::string text :
         {"", "{", "[1,]", "{\"a\"}", "[1e999]", "1 2", "\"\xff\""})
        BOOST_CHECK_THROW(parse_json(text), json_error);
}

// Guards against a deeply nested value whose copy or output exhausts the stack and ends
// the process.
BOOST_AUTO_TEST_CASE(a_deeply_nested_value_is_refused_by_every_reader)
{
    const platform_dialect platform = dialect();
    for (const char* const field : {"models", "pending", "unknown", "slots"})
        BOOST_CHECK_THROW(
            platform.read_endpoint(endpoint_item(entry_with(field, deep_list))),
            dialect_error);
    BOOST_CHECK_THROW(platform.read_report(R"({"models":)" + deep_list + "}"),
                      dialect_error);
    BOOST_CHECK_THROW(
        platform.read_routing(R"({"version":1,"routes":)" + deep_list + "}"),
        dialect_error);
    BOOST_CHECK_THROW(platform.read_version(R"({"model":)" + deep_list + "}"),
                      dialect_error);
    BOOST_CHECK_THROW(platform.read_page(R"({"currentRev":1,"items":)" + deep_list + "}"),
                      dialect_error);
    BOOST_CHECK_THROW(
        platform.read_watch(R"({"currentRev":1,"events":)" + deep_list + "}"),
        dialect_error);
    BOOST_CHECK_THROW(platform.read_lease(deep_list), dialect_error);
    BOOST_CHECK_THROW(platform.read_transaction(deep_list), dialect_error);
    BOOST_TEST(!decode_software_version(R"({"version":)" + deep_list + "}").has_value());
    BOOST_TEST(decode_claim(R"({"attempt":)" + deep_list + "}").attempt.empty());
}

// Guards against a caller who ends each daemon with a deeply nested body.
BOOST_AUTO_TEST_CASE(a_deeply_nested_body_of_a_caller_is_refused_or_taken_as_text)
{
    const std::string body =
        R"({"model":"base/a1","messages":[{"content":)" + deep_list + "}]}";
    BOOST_TEST(content_fingerprint("/chat", body) == content_fingerprint("/chat", body));
    BOOST_TEST(content_fingerprint("/chat", body) !=
               content_fingerprint("/chat", body + " "));
    const caller_interface openai =
        plugin_registry<caller_interface>::instance().make("openai", "");
    BOOST_CHECK_THROW(openai.read_request(chat_head(), body), request_error);
}

// Guards against a datagram whose nesting exhausts the stack of the daemon that reads it.
BOOST_AUTO_TEST_CASE(a_deeply_nested_peer_message_is_refused)
{
    constexpr std::size_t max_datagram_bytes = 65'507;
    const std::string list_of_one = "\x91";
    const std::string map_of_one = "\x81\xa1k";
    for (const std::string& level : {list_of_one, map_of_one})
    {
        std::string bytes;
        while (bytes.size() + level.size() < max_datagram_bytes)
            bytes += level;
        BOOST_CHECK_THROW(decode(bytes + '\x01'), std::runtime_error);
    }
}

BOOST_AUTO_TEST_SUITE_END()
