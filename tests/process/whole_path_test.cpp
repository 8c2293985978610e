#define BOOST_TEST_MODULE whole_path
#include "tests/harness/cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven::harness;

BOOST_AUTO_TEST_CASE(requests_cross_every_process)
{
    cluster deployment({});
    deployment.wait_ready();
    const std::string model = deployment.model(3);
    for (const running_daemon& daemon : deployment.daemons)
    {
        const nlohmann::json entry = get(daemon.caller_address, "/v1/entry").parsed();
        BOOST_TEST(entry["address"].is_string());
        const std::string address = entry["address"];
        const http_answer whole =
            post(address, "/v1/chat/completions", chat_body(model, "a pillow", 8));
        BOOST_TEST(whole.status == 200);
        const nlohmann::json answer = whole.parsed();
        BOOST_TEST(answer["model"] == model);
        BOOST_TEST(answer["choices"][0]["message"]["content"] ==
                   expected_text(model, "a pillow", 8));
        const stream_answer streamed = stream_chat(address, model, "kapok?", 12);
        BOOST_TEST(streamed.done);
        BOOST_TEST(streamed.text == expected_text(model, "kapok?", 12));
    }
    const http_answer booked =
        post(deployment.daemons[0].caller_address, "/v1/services/booking/refill", "{}",
             {{"Idempotency-Key", "booking-1"}});
    BOOST_TEST(booked.status == 200);
    const http_answer again =
        post(deployment.daemons[1].caller_address, "/v1/services/booking/refill", "{}",
             {{"Idempotency-Key", "booking-1"}});
    BOOST_TEST(again.status == 200);
    BOOST_TEST(again.body == booked.body);
    BOOST_TEST(deployment.carried_out().at("booking-1") == 1);
}

BOOST_AUTO_TEST_CASE(bad_input_gets_a_clear_error_and_runs_nothing)
{
    cluster deployment({.daemons = 1, .engines = 1});
    deployment.wait_ready();
    const std::string address = deployment.daemons[0].caller_address;
    const auto expect =
        [&](const http_answer& answer, int status, const std::string& code)
    {
        BOOST_TEST(answer.status == status);
        BOOST_TEST(answer.error_code() == code);
        BOOST_TEST(answer.verdict() == "not_run");
    };
    const std::string chat = "/v1/chat/completions";
    expect(post(address, chat, chat_body("nobody@v1", "x", 4)), 404, "unknown_model");
    expect(post(address, chat, chat_body("suva-1@v9", "x", 4)), 404, "unknown_model");
    expect(post(address, chat, "{"), 400, "invalid_request");
    expect(post(address, chat, R"({"model":"suva-1@v1"})"), 400, "invalid_request");
    expect(post(address, chat, chat_body("suva-1@v1", std::string(2U << 20U, 'x'), 4)),
           413, "body_too_large");
    expect(post(address, "/v1/services/laundry/x", "{}"), 404, "unknown_service");
    expect(post(address, "/v1/services/booking/x", "{}"), 400, "missing_idempotency_key");
    expect(get(address, "/v2/nothing"), 404, "not_found");
    BOOST_TEST(deployment.engine_total("generations") == 0);
    BOOST_TEST(deployment.carried_out().empty());
}
