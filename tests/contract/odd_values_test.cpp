// Values that another writer of the store, a peer, an endpoint or a caller may send.

#include "core/interfaces/caller_interface.hpp"
#include "core/json_text.hpp"
#include "core/plugin_registry.hpp"
#include "core/verdict.hpp"
#include "policy/call_claim.hpp"
#include "policy/crash_history.hpp"
#include "servers/gateway/base_versions.hpp"
#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_settings.hpp"
#include "servers/settings_error.hpp"
#include "tests/harness/fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <random>

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

// Whether the message of an error names the field and the value.
struct names_field_and_value
{
    std::string field;
    std::string value;

    bool operator()(const std::exception& error) const
    {
        const std::string text = error.what();
        const std::string written = nlohmann::json::parse(value).dump();
        return text.find("'" + field + "'") != std::string::npos &&
               text.find(written) != std::string::npos;
    }
};

// Values that no field means, each as JSON.
const std::vector<std::string> odd_json{
    "null", "true", "-1",          "1e300",      "18446744073709551616",
    "0.5",  "\"\"", "\"\\u0000\"", "\"\xff\"",   "\"" + std::string(100'000, 'x') + "\"",
    "[]",   "{}",   "[[1]]",       "{\"a\":{}}", nested_list(200),
    ""};

// Replaces a random span of the text by an odd value, or by one random byte.
std::string with_odd_span(const std::string& text, std::mt19937& random)
{
    const std::size_t from = random() % text.size();
    const std::size_t length = random() % 12;
    const std::string& odd = odd_json[random() % odd_json.size()];
    const std::string byte(1, static_cast<char>(random()));
    return std::string(text).replace(from, std::min(length, text.size() - from),
                                     random() % 2 == 0 ? odd : byte);
}

// Whether a reader accepts the text or throws the error that its callers handle.
template <class Error>
bool is_handled(const std::function<void(const std::string&)>& read,
                const std::string& text)
{
    try
    {
        read(text);
        return true;
    }
    catch (const Error&)
    {
        return true;
    }
    catch (const std::exception&)
    {
        return false;
    }
}

std::vector<std::pair<std::function<void(const std::string&)>, std::string>>
readers_of_the_platform()
{
    const platform_dialect platform = dialect();
    const std::string inventory =
        R"("models":[{"name":"base","adapters":["a1@2"]}],"pending":["base/a2@3"],)"
        R"("seq":4,"running":1,"waiting":2})";
    return {
        {[=](const std::string& text) { platform.read_endpoint(endpoint_item(text)); },
         R"({"service":"s","addr":"10.0.0.1:80","zone":"z","version":"v","slots":16,)"
         R"("state":"draining","remainingMs":500,"born":7,)" +
             inventory},
        {[=](const std::string& text) { platform.read_report(text); }, "{" + inventory},
        {[=](const std::string& text) { platform.read_routing(text); },
         R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":)"
         R"("streaming","split":[{"service":"s","weight":1}],"timeoutMs":9,)"
         R"("maxAttempts":2,"resumable":true}],"services":[{"name":"s","maxConns":9,)"
         R"("engine":{"slots":4,"adapterSlots":4,"weightsMb":9,"models":[{"name":"b"}]}}],)"
         R"("limits":{"maxHeaderBytes":9,"idleTimeoutMs":9}})"},
        {[=](const std::string& text) { platform.read_version(text); },
         R"({"model":"base","adapter":"a1","version":2})"},
        {[=](const std::string& text) { platform.read_page(text); },
         R"({"items":[{"key":"k","revision":3,"value":"e30="}],"morePages":false,)"
         R"("currentRev":9})"},
        {[=](const std::string& text) { platform.read_watch(text); },
         R"({"events":[{"key":"k","revision":3,"deleted":true}],"currentRev":9})"},
        {[=](const std::string& text) { platform.read_transaction(text); },
         R"({"revision":9})"},
        {[=](const std::string& text) { platform.read_lease(text); },
         R"({"lease":9,"ttlMs":9})"},
        {[](const std::string& text) { decode_software_version(text); },
         R"({"version":"v"})"},
        {[](const std::string& text) { decode_claim(text); },
         R"({"done":true,"attempt":"a","fingerprint":"f","claimed_ms":5,"status":200,)"
         R"("body":"b","has_length":false})"},
        {[](const std::string& text) { content_fingerprint("/chat", text); },
         R"({"model":"base","user":"u","messages":[{"content":"c"}]})"}};
}

// More cases by hand: ODD_VALUE_CASES=1000000.
int fuzz_cases()
{
    constexpr int cases_in_ci = 1000;
    const char* const stated = std::getenv("ODD_VALUE_CASES");
    return stated == nullptr ? cases_in_ci : std::atoi(stated);
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

// Guards against numbers that don't fit the type they are stored in. Such a conversion is
// undefined, and differs between processors.
BOOST_AUTO_TEST_CASE(a_number_out_of_range_in_an_entry_is_an_error_that_names_it)
{
    const platform_dialect platform = dialect();
    for (const char* const field : {"slots", "remainingMs", "seq", "running", "waiting"})
        for (const std::string value :
             {"1e300", "-1e300", "-1", "18446744073709551615", "\"7\"", "[7]", "true"})
            BOOST_CHECK_EXCEPTION(
                platform.read_endpoint(endpoint_item(entry_with(field, value))),
                dialect_error, (names_field_and_value{field, value}));
    for (const char* const field : {"slots", "seq", "running", "waiting"})
        BOOST_CHECK_EXCEPTION(
            platform.read_endpoint(endpoint_item(entry_with(field, "1.5"))),
            dialect_error, (names_field_and_value{field, "1.5"}));
    for (const char* const name :
         {"a1@99999999999999999999999", "a1@-1", "a1@1e3", "a1@"})
    {
        const std::string models =
            R"([{"name":"base","adapters":[")" + std::string(name) + "\"]}]";
        BOOST_CHECK_THROW(
            platform.read_endpoint(endpoint_item(entry_with("models", models))),
            dialect_error);
    }
}

// Guards against a check that refuses what endpoints write.
BOOST_AUTO_TEST_CASE(a_number_in_range_in_an_entry_is_read)
{
    const platform_dialect platform = dialect();
    const auto read = [&](const std::string& field, const std::string& value)
    { return platform.read_endpoint(endpoint_item(entry_with(field, value))); };
    BOOST_TEST(read("slots", "16").slots == 16);
    BOOST_TEST(read("slots", "16.0").slots == 16);
    BOOST_TEST(read("slots", "null").slots == 1);
    BOOST_TEST(read("seq", "9007199254740992").inventory.accepted_orders ==
               9007199254740992U);
    BOOST_TEST(read("remainingMs", "2500.75").remaining->count() == 2500);
    BOOST_TEST(read("remainingMs", "0").remaining->count() == 0);
    BOOST_TEST(read("models", R"([{"name":"base","adapters":["a1@7"]}])")
                   .inventory.adapters.front()
                   .version.value == 7U);
}

// Guards against a configuration whose numbers overflow where they are used. The one in
// force stays.
BOOST_AUTO_TEST_CASE(a_number_out_of_range_in_a_configuration_is_an_error_that_names_it)
{
    const platform_dialect platform = dialect();
    const auto route_with = [](const std::string& field, const std::string& value)
    {
        return R"({"version":1,"routes":[{"host":"h","pathPrefix":"/","kind":"idempotent",)"
               R"("service":"s",")" +
               field + "\":" + value + "}]}";
    };
    for (const char* const field :
         {"timeoutMs", "targetLatencyMs", "maxAttempts", "priority"})
        for (const std::string value : {"1e300", "-1", "18446744073709551615", "\"7\""})
            BOOST_CHECK_EXCEPTION(platform.read_routing(route_with(field, value)),
                                  dialect_error, (names_field_and_value{field, value}));
    const auto split_with = [&](const std::string& weight)
    { return route_with("split", R"([{"service":"s","weight":)" + weight + "}]"); };
    for (const std::string weight : {"1e300", "-1", "null"})
        BOOST_CHECK_EXCEPTION(platform.read_routing(split_with(weight)), dialect_error,
                              (names_field_and_value{"weight", weight}));
    for (const char* const field :
         {"maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"})
        for (const std::string value : {"1e300", "-1"})
            BOOST_CHECK_EXCEPTION(platform.read_routing(R"({"version":1,"limits":{")" +
                                                        std::string(field) +
                                                        "\":" + value + "}}"),
                                  dialect_error, (names_field_and_value{field, value}));
    for (const char* const field : {"slots", "adapterSlots", "weightsMb"})
        for (const std::string value : {"1e300", "-1"})
            BOOST_CHECK_EXCEPTION(
                platform.read_routing(
                    R"({"version":1,"services":[{"name":"s","engine":{")" +
                    std::string(field) + "\":" + value + "}}]}"),
                dialect_error, (names_field_and_value{field, value}));
    const route read =
        platform.read_routing(route_with("timeoutMs", "15000.5")).routes.front();
    BOOST_TEST(read.timeout.count() == 15000);
}

// Guards against a caller's numbers that wrap around to negative ones, or whose sum with
// the time of arrival overflows.
BOOST_AUTO_TEST_CASE(large_numbers_of_a_caller_are_bounded)
{
    const platform_dialect platform = dialect();
    http_head head = chat_head();
    head.fields = {{"X-Pollenhaven-Token-Count", "4294967295,9223372036854775807"},
                   {"X-Pollenhaven-Deadline-Ms", "9223372036854775807"}};
    for (const std::string deadline :
         {"9223372036854775807", "99999999999999999999999999"})
    {
        head.fields.back().value = deadline;
        const caller_request request = platform.read_request(head);
        BOOST_TEST(request.prompt_tokens >= 0);
        BOOST_TEST(request.output_tokens >= 0);
        BOOST_REQUIRE(request.deadline.has_value());
        BOOST_TEST((instant::max() - *request.deadline > boot_clock::now()));
    }
}

// Guards against numbers in the head of an endpoint's response that are negative or
// overflow.
BOOST_AUTO_TEST_CASE(odd_numbers_in_the_head_of_a_response_are_ignored)
{
    const platform_dialect platform = dialect();
    const auto read = [&](const std::string& name, const std::string& value)
    {
        http_head head;
        head.status = 200;
        head.fields = {{name, value}};
        return platform.read_response(head);
    };
    for (const std::string value : {"timeout=-5", "timeout=99999999999", "timeout=x"})
        BOOST_TEST(!read("Keep-Alive", value).idle_timeout.has_value(), value);
    BOOST_TEST(read("Keep-Alive", "timeout=5, max=7").idle_timeout->count() == 5000);
    for (const std::string value : {"-1", "1e300", "inf", "nan", "soon"})
        BOOST_TEST(!read("Retry-After", value).retry_after.has_value(), value);
    BOOST_TEST(read("Retry-After", "99999999999999999999").retry_after->count() ==
               3'600'000);
}

// Guards against a claim of another writer whose status or time can't be one.
BOOST_AUTO_TEST_CASE(a_claim_with_numbers_out_of_range_is_no_answer)
{
    for (const std::string status : {"0", "-200", "1e300", "99999", "\"200\"", "null"})
        BOOST_TEST((decode_claim(R"({"done":true,"attempt":"a","status":)" + status + "}")
                        .state == claim_state::claimed),
                   status);
    for (const std::string at : {"1e300", "-9223372036854775808", "\"1\""})
        BOOST_TEST(decode_claim(R"({"attempt":"a","claimed_ms":)" + at + "}")
                           .claimed_at.count() == 0,
                   at);
}

// Guards against numbers of a peer that don't fit their type, or overflow a time.
BOOST_AUTO_TEST_CASE(a_peer_message_with_a_number_out_of_range_is_refused)
{
    const auto with = [](const std::string& fields)
    {
        const nlohmann::json body = nlohmann::json::parse(
            R"({"format":1,"from":"daemon-2","at":"i-1",)" + fields + "}");
        const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(body);
        return std::string(bytes.begin(), bytes.end());
    };
    BOOST_CHECK_NO_THROW(decode(with(R"("kind":"queue","token":1,"queue":3)")));
    for (const std::string value : {"1e300", "-1e300", "1.5", "18446744073709551615",
                                    "9223372036854775807", "true"})
    {
        BOOST_CHECK_THROW(decode(with(R"("kind":"queue","token":1,"queue":)" + value)),
                          std::runtime_error);
        BOOST_CHECK_THROW(
            decode(with(R"("kind":"permit","limited":true,"number":1,"retry":)" + value)),
            std::runtime_error);
        BOOST_CHECK_THROW(
            decode(with(R"("kind":"holds","token":1,"seq":1,"queue":0,"has":[["a",1,)" +
                        value + "]]")),
            std::runtime_error);
        BOOST_CHECK_THROW(
            decode(with(R"("kind":"suspects","crashes":{"a":)" + value + "}")),
            std::runtime_error);
        // The start of a run may take all 64 bits.
        if (value != "18446744073709551615" && value != "9223372036854775807")
            BOOST_CHECK_THROW(
                decode(
                    with(R"("kind":"suspects","crashes":{"a":1},"named":{"a":[["i-1",)" +
                         value + "]]}")),
                std::runtime_error);
    }
}

// Guards against settings that no connection can use, and against a number that compares
// as neither too small nor too large.
BOOST_AUTO_TEST_CASE(settings_that_are_no_number_or_no_address_are_refused)
{
    const std::string listen = "[daemon]\nid = \"d\"\nzone = \"z\"\n[listen]\n"
                               "callers = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\n"
                               "directory = \"127.0.0.1:3\"\npeers = \"127.0.0.1:4\"\n";
    const std::string store = "[store]\naddress = ";
    const std::string retries = "\"127.0.0.1:5\"\n[retries]\nratio = ";
    const std::string path = harness::make_temp_directory() + "/settings.toml";
    const auto read = [&](const std::string& rest)
    {
        std::ofstream(path) << listen << store << rest << "\n";
        return read_gateway_settings(path);
    };
    BOOST_CHECK_NO_THROW(read(retries + "0.5"));
    for (const char* const ratio : {"nan", "-nan", "inf", "-1.0", "1e300"})
        BOOST_CHECK_THROW(read(retries + ratio), settings_error);
    for (const char* const address :
         {"\"host.name:80\"", "\"127.0.0.1:65536\"", "\"127.0.0.1:99999999999\"",
          "\"127.0.0.1:-1\"", "\"127.0.0.1:0\"", "\"127.0.0.256:80\"",
          "\"127.0.0.1:80 \"", "\"\""})
        BOOST_CHECK_THROW(read(address), settings_error);
}

// Guards against one odd item for which the whole page is refused, and asked for again
// for ever: nobody follows the list any more.
BOOST_AUTO_TEST_CASE(one_odd_item_of_a_page_leaves_the_others_readable)
{
    const platform_dialect platform = dialect();
    const std::string good = R"({"key":"servers/i-1","revision":3,"value":"e30="})";
    for (const std::string odd :
         {R"({"key":"servers/i-2","revision":4,"value":"!!"})",
          R"({"key":"servers/i-2","revision":4,"value":"***"})",
          R"({"key":"servers/i-2","revision":4,"value":7})",
          R"({"key":"servers/i-2","revision":4})",
          R"({"key":"servers/i-2","revision":4,"value":"","deleted":"yes"})"})
        for (const std::string list : {"items", "events"})
        {
            std::string body = "{\"currentRev\":9,\"" + list;
            body.append("\":[").append(odd).append(",").append(good).append("]}");
            const store_page page =
                list == "items" ? platform.read_page(body) : platform.read_watch(body);
            BOOST_REQUIRE_MESSAGE(page.items.size() == 2U, odd);
            // The key names nothing that can be used.
            BOOST_TEST(page.items.front().key == "servers/i-2", odd);
            BOOST_TEST(page.items.front().revision.value == 4U, odd);
            BOOST_TEST(page.items.front().value.empty(), odd);
            BOOST_TEST(!page.items.front().deleted, odd);
            BOOST_TEST(page.items.back().value == "{}", odd);
            BOOST_TEST(page.faults.size() == 1U, odd);
        }
    for (const std::string odd :
         {R"({"key":7,"revision":4,"value":"e30="})", R"({"key":"servers/i-2"})",
          R"({"revision":4,"value":"e30="})",
          R"({"key":"servers/i-2","revision":-4,"value":"e30="})",
          R"({"key":"servers/i-2","revision":1e300,"value":"e30="})", "7", "null", "[]",
          "{}"})
    {
        const store_page page = platform.read_page(R"({"currentRev":9,"items":[)" +
                                                   std::string(odd) + "," + good + "]}");
        BOOST_REQUIRE_MESSAGE(page.items.size() == 1U, odd);
        BOOST_TEST(page.items.front().key == "servers/i-1", odd);
        BOOST_TEST(page.faults.size() == 1U, odd);
    }
}

// Guards against a listing that reads the same page again, because the last item of a
// page can't be read.
BOOST_AUTO_TEST_CASE(the_next_page_is_read_after_the_last_key_also_of_an_odd_item)
{
    const platform_dialect platform = dialect();
    BOOST_TEST(platform
                   .read_page(R"({"currentRev":9,"morePages":true,"items":[)"
                              R"({"key":"a","revision":3,"value":""},)"
                              R"({"key":"b","revision":-1,"value":""}]})")
                   .last_key == "b");
}

// Guards against a key of another writer that ends the call in which it is named, so that
// the list is never read to its end.
BOOST_AUTO_TEST_CASE(an_odd_key_is_encoded_in_a_call_of_the_store)
{
    const platform_dialect platform = dialect();
    const std::string plain = "servers/i-1_a.b~c:d@e=f,g";
    BOOST_TEST(
        platform.range_call("servers/", plain).bytes.find("after=" + plain + " ") !=
        std::string::npos);
    const std::string bytes =
        platform.range_call("servers/", "servers/a b&c=d\r\nX: 1\xc3\xa9%#+").bytes;
    BOOST_TEST(
        bytes.find("after=servers/a%20b%26c=d%0D%0AX:%201%C3%A9%25%23%2B HTTP/1.1") !=
            std::string::npos,
        bytes);
}

// Guards against an id of another writer that adds header fields to the requests sent to
// the endpoint.
BOOST_AUTO_TEST_CASE(an_endpoint_whose_id_is_no_header_value_is_refused)
{
    store_item item = endpoint_item(entry_with("slots", "1"));
    BOOST_CHECK_NO_THROW(dialect().read_endpoint(item));
    for (const std::string id :
         {"", "i 1", "i\r\nX-Other: 1", "i\x7f", "\xc3\xa9", "i\t"})
    {
        item.key = "servers/" + id;
        BOOST_CHECK_THROW(dialect().read_endpoint(item), dialect_error);
    }
}

// Guards against an odd value for which a reader throws an error that its callers don't
// handle, so that the process ends.
BOOST_AUTO_TEST_CASE(readers_accept_an_odd_value_or_throw_the_error_that_is_handled)
{
    constexpr unsigned seed = 20261205;
    std::mt19937 random(seed);
    for (const auto& [read, valid] : readers_of_the_platform())
    {
        BOOST_CHECK_NO_THROW(read(valid));
        for (int number = 0; number < fuzz_cases(); ++number)
        {
            const std::string text = with_odd_span(valid, random);
            BOOST_REQUIRE_MESSAGE(is_handled<dialect_error>(read, text),
                                  text.substr(0, 300));
        }
    }
}

// The same for the bodies of callers.
BOOST_AUTO_TEST_CASE(an_odd_body_of_a_caller_is_read_or_refused)
{
    constexpr unsigned seed = 20261206;
    std::mt19937 random(seed);
    const caller_interface openai =
        plugin_registry<caller_interface>::instance().make("openai", "");
    const std::string valid =
        R"({"model":"base/a1@2","max_tokens":7,"messages":[{"content":[{"text":"t"}]}]})";
    const auto read = [&](const std::string& body)
    { openai.read_request(chat_head(), body); };
    BOOST_CHECK_NO_THROW(read(valid));
    for (int number = 0; number < fuzz_cases(); ++number)
    {
        const std::string body = with_odd_span(valid, random);
        BOOST_REQUIRE_MESSAGE(is_handled<request_error>(read, body), body.substr(0, 300));
    }
}

BOOST_AUTO_TEST_SUITE_END()
