// Our own interface for callers, carried by the same data path as the platform's.

#define BOOST_TEST_MODULE callers
#include "tests/harness/fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven::harness;

BOOST_AUTO_TEST_CASE(requests_cross_every_process)
{
    const fleet deployment;
    const std::string model = "base/a3";
    for (int daemon = 0; daemon < deployment.daemon_count(); ++daemon)
    {
        const nlohmann::json entry =
            get(deployment.caller_address(daemon), "/v1/entry").parsed();
        BOOST_REQUIRE(entry["address"].is_string());
        BOOST_TEST(entry["others"].size() == 2U);
        const http_response whole =
            deployment.send_openai_chat(daemon, model, "a pillow", 8);
        BOOST_TEST(whole.status == 200);
        const nlohmann::json answer = whole.parsed();
        BOOST_TEST(answer["model"] == model);
        BOOST_TEST(answer["choices"][0]["message"]["content"] ==
                   expected_text(model, "a pillow", 8));
        BOOST_TEST(whole.headers.at("X-Adapter") == model);
        const stream_response streamed =
            stream_chat(entry["address"], model, "kapok?", 12);
        BOOST_TEST(streamed.done);
        BOOST_TEST(streamed.text == expected_text(model, "kapok?", 12));
    }
    const http_response booked = deployment.send_booking_request(0, "booking-1");
    BOOST_TEST(booked.status == 200);
    const http_response again = deployment.send_booking_request(1, "booking-1");
    BOOST_TEST(again.status == 200);
    BOOST_TEST(again.body == booked.body);
    BOOST_TEST(deployment.booking_executions().at("booking-1") == 1);
}

BOOST_AUTO_TEST_CASE(a_named_version_is_the_one_that_runs)
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

BOOST_AUTO_TEST_CASE(bad_input_gets_a_clear_error_and_runs_nothing)
{
    fleet_options options;
    options.daemons = 1;
    options.engines = 1;
    const fleet deployment(options);
    const std::string& address = deployment.caller_address(0);
    const int runs = deployment.engine_total("runs");
    const auto expect =
        [&](const http_response& answer, int status, const std::string& code)
    {
        BOOST_TEST(answer.status == status);
        BOOST_TEST(answer.error_code() == code);
        BOOST_TEST(answer.verdict() == "not_run");
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
