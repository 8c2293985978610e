// The OpenAI-compatible interface for callers, which uses the same request path as the
// platform's interface.

#define BOOST_TEST_MODULE callers
#include "tests/harness/fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven::harness;

BOOST_AUTO_TEST_CASE(chats_and_bookings_are_served_through_each_daemon)
{
    const fleet deployment;
    const std::string model = "base/a3";
    for (int daemon = 0; daemon < deployment.daemon_count(); ++daemon)
    {
        const nlohmann::json entry =
            get(deployment.caller_address(daemon), "/v1/entry").parsed();
        BOOST_REQUIRE(entry["address"].is_string());
        BOOST_TEST(entry["others"].size() == 2U);
        const http_response complete =
            deployment.send_openai_chat(daemon, model, "a pillow", 8);
        BOOST_TEST(complete.status == 200);
        const nlohmann::json response = complete.parsed();
        BOOST_TEST(response["model"] == model);
        BOOST_TEST(response["choices"][0]["message"]["content"] ==
                   expected_text(model, "a pillow", 8));
        BOOST_TEST(complete.headers.at("X-Adapter") == model);
        const stream_response streamed =
            stream_chat(entry["address"], model, "kapok?", 12);
        BOOST_TEST(streamed.done);
        BOOST_TEST(streamed.text == expected_text(model, "kapok?", 12));
    }
    const http_response first = deployment.send_booking_request(0, "booking-1");
    BOOST_TEST(first.status == 200);
    // Until the answer is recorded, a duplicate learns only that the call may have run.
    http_response repeated;
    const bool answered = fleet::wait_for(
        [&]
        {
            repeated = deployment.send_booking_request(1, "booking-1");
            BOOST_TEST(
                (repeated.status == 200 ||
                 (repeated.status == 409 && repeated.verdict() == "may_have_run")));
            return repeated.status == 200;
        },
        std::chrono::seconds(2));
    BOOST_TEST(answered);
    BOOST_TEST(repeated.body == first.body);
    BOOST_TEST(deployment.booking_executions().at("booking-1") == 1);
}

BOOST_AUTO_TEST_CASE(only_the_current_adapter_version_can_be_requested)
{
    const fleet deployment;
    const auto status_of = [&](const std::string& model)
    { return deployment.send_openai_chat(0, model, "which?", 2).status; };
    BOOST_TEST(status_of("base/a1@1") == 200);
    BOOST_TEST(status_of("base/a1@2") == 404);
    deployment.put_store_item("op/version/base.a1",
                              {{"model", "base"}, {"adapter", "a1"}, {"version", 2}});
    BOOST_TEST(fleet::wait_for([&] { return status_of("base/a1@2") == 200; },
                               std::chrono::seconds(5)));
    BOOST_TEST(status_of("base/a1@1") == 404);
}

BOOST_AUTO_TEST_CASE(invalid_requests_get_an_error_code_and_run_nothing)
{
    fleet_options options;
    options.daemons = 1;
    options.engines = 1;
    const fleet deployment(options);
    const std::string& address = deployment.caller_address(0);
    const int runs = deployment.engine_total("runs");
    const auto expect =
        [&](const http_response& response, int status, const std::string& code)
    {
        BOOST_TEST(response.status == status);
        BOOST_TEST(response.error_code() == code);
        BOOST_TEST(response.verdict() == "not_run");
    };
    const auto send = [&](const std::string& path, const std::string& body) {
        return post(address, path, body, {{"Host", fleet_host}});
    };
    const std::string chat = "/v1/chat/completions";
    expect(send(chat, chat_body("nobody", "x", 4)), 404, "unknown_model");
    expect(send(chat, chat_body("base/a1@9", "x", 4)), 404, "unknown_model");
    expect(send(chat, chat_body("base/a1@v1", "x", 4)), 400, "invalid_request");
    expect(send(chat, "{"), 400, "invalid_request");
    expect(send(chat, R"({"model":"base/a1"})"), 400, "invalid_request");
    expect(send(chat, chat_body("base/a1", std::string(5U << 20U, 'x'), 4)), 413,
           "body_too_large");
    expect(send("/v1/services/booking/x", "{}"), 400, "missing_idempotency_key");
    expect(post(address, "/v1/services/laundry/x", "{}",
                {{"Host", fleet_host}, {"Idempotency-Key", "k"}}),
           404, "unknown_route");
    expect(get(address, "/v2/nothing"), 404, "unknown_route");
    BOOST_TEST(deployment.engine_total("runs") == runs);
    BOOST_TEST(deployment.booking_executions().empty());
}
