// What the engine and service clients owe to their callers, against the stand-ins.

#include "core/interfaces/engine_client.hpp"
#include "core/interfaces/service_client.hpp"
#include "core/plugin_registry.hpp"
#include "tests/harness/cluster.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace pollenhaven;
using harness::control;
using harness::standin;

namespace
{

const model_ref model{"m@v1"};
constexpr int wanted_tokens = 6;

engine_client open_engine(const std::string& address)
{
    return plugin_registry<engine_client>::instance().make("openai", address);
}

generate_request ask(const std::string& prompt)
{
    generate_request request;
    request.id = {"request"};
    request.adapter = model;
    request.fencing = {5};
    request.body = harness::chat_body(model.value, prompt, wanted_tokens);
    return request;
}

// A fault of an engine, and what a generation then has to say.
struct engine_fault
{
    const char* name;
    nlohmann::json fault;
    bool loaded;
    std::uint64_t fencing_before;
    verdict run;
    const char* code;
};

std::ostream& operator<<(std::ostream& out, const engine_fault& row)
{
    return out << row.name;
}

const std::vector<engine_fault> engine_faults = {
    {"none", {{"wrong_adapter", false}}, true, 0, verdict::completed, ""},
    {"adapter not loaded",
     {{"wrong_adapter", false}},
     false,
     0,
     verdict::not_run,
     "adapter_not_loaded"},
    {"newer owner",
     {{"wrong_adapter", false}},
     true,
     9,
     verdict::not_run,
     "old_fencing_number"},
    {"another adapter answers",
     {{"wrong_adapter", true}},
     true,
     0,
     verdict::may_have_run,
     "wrong_adapter"},
    {"crash",
     {{"crash_marker", "x"}},
     true,
     0,
     verdict::may_have_run,
     "endpoint_crashed"}};

// How a plain service behaves, and what a call then has to say.
struct service_fault
{
    const char* name;
    nlohmann::json fault;
    bool listening;
    verdict run;
    int carried_out;
};

std::ostream& operator<<(std::ostream& out, const service_fault& row)
{
    return out << row.name;
}

const std::vector<service_fault> service_faults = {
    {"none", {{"refuse", false}}, true, verdict::completed, 1},
    {"refuses", {{"refuse", true}}, true, verdict::not_run, 0},
    {"reply lost", {{"lose_replies", 1}}, true, verdict::may_have_run, 1},
    {"too slow", {{"delay_ms", 3000}}, true, verdict::may_have_run, 1},
    {"nobody listens", {{"refuse", false}}, false, verdict::not_run, 0}};

} // namespace

BOOST_AUTO_TEST_SUITE(engine)

BOOST_DATA_TEST_CASE(a_generation_says_whether_it_ran,
                     boost::unit_test::data::make(engine_faults), row)
{
    const standin program("engine", {"--check-fencing=1", "--step-ms=5"});
    const engine_client engine = open_engine(program.address());
    if (row.loaded)
        BOOST_TEST((engine.load({model, {1}}) == order_status::done));
    if (row.fencing_before > 0)
        BOOST_TEST((engine.raise_fencing({row.fencing_before}) == order_status::done));
    control(program.address(), row.fault);
    std::string text;
    const generate_result result = engine.generate(ask("x"),
                                                   [&](const generated_token& token)
                                                   {
                                                       text += token.text;
                                                       return true;
                                                   });
    BOOST_TEST((result.run == row.run));
    BOOST_TEST(result.error.code == row.code);
    const std::string whole = harness::expected_text(model.value, "x", wanted_tokens);
    BOOST_TEST(text == (row.run == verdict::completed ? whole : ""));
}

BOOST_AUTO_TEST_CASE(orders_tell_refusal_from_failure)
{
    const standin program("engine", {"--check-fencing=1"});
    const engine_client engine = open_engine(program.address());
    BOOST_TEST((engine.load({model, {4}}) == order_status::done));
    BOOST_TEST((engine.unload({model, {3}}) == order_status::refused_fencing));
    control(program.address(), {{"fail_loads", 1}});
    BOOST_TEST((engine.load({{"n@v1"}, {4}}) == order_status::failed));
    BOOST_TEST((engine.unload({model, {4}}) == order_status::done));
    control(program.address(), {{"down", true}});
    BOOST_TEST((engine.load({model, {4}}) == order_status::unknown));
}

BOOST_AUTO_TEST_CASE(reports_lag_and_tell_of_restarts)
{
    const standin program("engine", {"--report-lag-ms=400", "--slots=3"});
    const engine_client engine = open_engine(program.address());
    const std::string first_start = engine.report().start_id;
    BOOST_TEST(engine.report().slots == 3);
    engine.load({model, {1}});
    BOOST_TEST(engine.report().resident.empty());
    BOOST_TEST(
        harness::eventually([&] { return engine.report().resident.count(model) == 1; }));
    control(program.address(), {{"restart", true}});
    BOOST_TEST(
        harness::eventually([&] { return engine.report().start_id != first_start; }));
    BOOST_TEST(engine.report().resident.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(service)

BOOST_DATA_TEST_CASE(a_call_says_whether_it_ran,
                     boost::unit_test::data::make(service_faults), row)
{
    standin program("service");
    const std::string free_address = "127.0.0.1:" + std::to_string(harness::free_port());
    const std::string& address = row.listening ? program.address() : free_address;
    control(program.address(), row.fault);
    service_call call;
    call.id = {"r"};
    call.key = {"k"};
    call.path = "/book";
    call.timeout = milliseconds(1000);
    const service_answer answer =
        plugin_registry<service_client>::instance().make("http", address).call(call);
    BOOST_TEST((answer.run == row.run));
    BOOST_TEST(harness::counts(program.address()).value("k", 0) == row.carried_out);
}

BOOST_AUTO_TEST_SUITE_END()
