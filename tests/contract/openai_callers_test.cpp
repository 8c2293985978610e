#include "core/interfaces/caller_interface.hpp"
#include "core/plugin_registry.hpp"
#include "core/verdict.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace pollenhaven;

namespace
{

caller_interface openai()
{
    return plugin_registry<caller_interface>::instance().make("openai", "");
}

http_head head_of(const std::string& method, const std::string& target,
                  std::vector<http_field> fields = {})
{
    http_head head;
    head.method = method;
    head.target = target;
    head.fields = std::move(fields);
    return head;
}

const std::string chat_path = "/v1/chat/completions";

caller_request read(const std::string& body, std::vector<http_field> fields = {},
                    const std::string& target = chat_path)
{
    return openai().read_request(head_of("POST", target, std::move(fields)), body);
}

std::string chat_with_model(const std::string& model)
{
    return R"({"model":")" + model + R"(","messages":[{"content":"who?"}]})";
}

} // namespace

BOOST_AUTO_TEST_SUITE(openai_callers)

BOOST_AUTO_TEST_CASE(only_paths_of_the_interface_are_classified)
{
    const caller_interface callers = openai();
    const auto kind = [&](const std::string& method, const std::string& target)
    { return callers.classify(head_of(method, target)); };
    BOOST_TEST((kind("POST", chat_path) == request_type::forward));
    BOOST_TEST((kind("POST", "/v1/completions?x=1") == request_type::forward));
    BOOST_TEST((kind("POST", "/v1/services/booking/x") == request_type::forward));
    BOOST_TEST((kind("GET", "/v1/entry") == request_type::directory));
    for (const char* other : {"/", "/v1/chat", "/orders/1", "/v1/readyz"})
        BOOST_TEST(!kind("POST", other).has_value(), other);
    BOOST_TEST(!kind("GET", chat_path).has_value());
}

BOOST_AUTO_TEST_CASE(a_chat_request_is_parsed)
{
    const caller_request request =
        read(R"({"model":"base/a1@3","max_tokens":7,"stream":true,
                 "messages":[{"content":"12345678"},
                             {"content":[{"type":"text","text":"1234"},{"type":"image"}]}]})",
             {{"Host", "h:80"}, {"X-Request-Id", "mine"}, {"Last-Event-Id", "4"}});
    BOOST_TEST(request.id.value == "mine");
    BOOST_TEST(request.host == "h");
    BOOST_TEST(request.model.value == "base");
    BOOST_TEST(request.adapter.value == "base/a1");
    BOOST_TEST(request.version->value == 3U);
    BOOST_TEST(request.prompt_tokens == 4);
    BOOST_TEST(request.output_tokens == 7);
    BOOST_TEST(request.last_event_id == "4");
    BOOST_TEST(!request.has_platform_fields);
    const caller_request base = read(chat_with_model("base"));
    BOOST_TEST(base.adapter.empty());
    BOOST_TEST(!base.version.has_value());
    BOOST_TEST(read(R"({"model":"b/a","prompt":"12345678"})", {}, "/v1/completions")
                   .prompt_tokens == 3);
}

BOOST_AUTO_TEST_CASE(a_request_id_that_is_no_valid_header_value_is_replaced)
{
    for (const std::string& id :
         {std::string(), std::string("a b"), std::string("a\x01"), std::string(200, 'x')})
    {
        const caller_request request =
            read(chat_with_model("b/a"), {{"X-Request-Id", id}});
        BOOST_TEST(request.id.value != id);
        BOOST_TEST(request.id.value.size() == 24U);
    }
}

BOOST_AUTO_TEST_CASE(malformed_requests_are_rejected_as_not_run)
{
    const std::vector<std::string> bodies{
        "",
        "{",
        "[]",
        "{}",
        R"({"model":7,"messages":[{"content":"x"}]})",
        R"({"model":"","messages":[{"content":"x"}]})",
        R"({"model":"b/a"})",
        R"({"model":"b/a","messages":[]})",
        R"({"model":"b/a","messages":"x"})",
        R"({"model":"b/a","messages":["x"]})",
        R"({"model":"b/a","messages":[{"role":"user"}]})",
        R"({"model":"b/a","max_tokens":0,"messages":[{"content":"x"}]})",
        R"({"model":"b/a","max_tokens":"9","messages":[{"content":"x"}]})",
        R"({"model":"b/a","max_tokens":99999999999,"messages":[{"content":"x"}]})",
        chat_with_model("b/a@v1"),
        chat_with_model("b/a@"),
        chat_with_model("b/a@-1"),
        chat_with_model("b@1")};
    for (const std::string& body : bodies)
    {
        const auto is_rejected_as_not_run = [](const request_error& error)
        {
            return error.reason().execution == verdict::not_run &&
                   error.reason().http_status == 400 &&
                   error.reason().code == "invalid_request";
        };
        BOOST_CHECK_EXCEPTION(read(body), request_error, is_rejected_as_not_run);
    }
}

BOOST_AUTO_TEST_CASE(a_service_call_requires_an_idempotency_key)
{
    const std::string target = "/v1/services/booking/x";
    BOOST_TEST(read("", {{"Idempotency-Key", "k"}}, target).caller_idempotency_key ==
               "k");
    BOOST_CHECK_THROW(read("", {}, target), request_error);
    BOOST_CHECK_THROW(read("", {{"Idempotency-Key", std::string(600, 'k')}}, target),
                      request_error);
}

BOOST_AUTO_TEST_CASE(the_directory_lists_one_address_and_its_alternatives)
{
    const nlohmann::json directory = nlohmann::json::parse(
        openai().write_directory({{"1.1.1.1:1"}, {"2.2.2.2:2"}}, seconds(5)));
    BOOST_TEST(directory["address"] == "1.1.1.1:1");
    BOOST_TEST(directory["others"].size() == 1U);
    BOOST_TEST(directory["lifetime_s"] == 5);
}

BOOST_AUTO_TEST_SUITE_END()
