#include "policy/fleet/engine_orders.hpp"
#include "policy/fleet/store_load_admission.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;

namespace
{

constexpr instant start{seconds(1000)};

// The engines of a fleet whose holders see each other's loads, with the order that each
// may send.
struct engine_fleet
{
    std::vector<engine_state> engines;
    engine_timing timing;
    int loads_in_progress = 0;
    instant now = start;

    explicit engine_fleet(std::size_t count) : engines(count)
    {
        timing.engines = static_cast<int>(count);
        timing.load_times = {288, 8, 1, true};
        for (std::size_t number = 0; number < count; ++number)
        {
            engine_state& engine = engines[number];
            engine.endpoint = {"i-" + std::to_string(number)};
            engine.has_model = true;
            engine.slot_count = 8;
            engine.accepted_orders = 0;
            engine.report_due = start + seconds(100);
        }
    }

    void request(std::size_t engine, const std::string& adapter, int waiting)
    {
        pending_load pending;
        pending.waiting[{"d"}] = {waiting, now + milliseconds(600)};
        add_pending_load(engines[engine], {adapter}, pending, now);
    }

    // Lets each holder send what it may. Returns the adapters whose loads begin.
    std::vector<std::string> begin_loads()
    {
        std::vector<std::string> begun;
        for (engine_state& engine : engines)
        {
            const engine_action action = next_action(
                engine, [](const adapter_id&) { return 0; }, loads_in_progress, timing,
                now);
            const auto* order = std::get_if<engine_order>(&action);
            if (order == nullptr)
                continue;
            begun.push_back(order->adapter.value);
            record_order_result(engine, order_outcome::accepted, loads_in_progress,
                                timing, now);
            ++loads_in_progress;
        }
        return begun;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_load_admissions)

// Guards against loads that slow each other down until none is in time: demand moves to
// 90 other adapters at once, at 90 engines.
BOOST_AUTO_TEST_CASE(loads_of_single_requests_are_complete_in_time)
{
    engine_fleet fleet(90);
    for (std::size_t engine = 0; engine < 90; ++engine)
        fleet.request(engine, "cold-" + std::to_string(engine), 1);
    fleet.begin_loads();
    BOOST_TEST(fleet.loads_in_progress >= 8);
    BOOST_TEST(expected_load_duration(fleet.timing.load_times, fleet.loads_in_progress)
                   .count() <= 500);
    // An adapter that many wait for doesn't wait for the others.
    fleet.request(80, "hot", 5);
    const std::vector<std::string> begun = fleet.begin_loads();
    BOOST_REQUIRE(begun.size() == 1U);
    BOOST_TEST(begun.front() == "hot");
}

// Guards against adapters that are never served because others always have more requests.
BOOST_AUTO_TEST_CASE(an_adapter_that_is_asked_for_again_gets_its_turn)
{
    engine_fleet fleet(90);
    fleet.loads_in_progress = 14;
    std::size_t attempts = 0;
    for (bool is_begun = false; !is_begun && attempts < 10; ++attempts)
    {
        fleet.request(0, "rare", 1);
        is_begun = !fleet.begin_loads().empty();
        fleet.now += milliseconds(700);
        fleet.begin_loads();
    }
    BOOST_TEST(attempts <= 2U);
}

// Guards against a change for fleets whose engines can't overload the store.
BOOST_AUTO_TEST_CASE(few_engines_have_no_common_bound)
{
    engine_fleet fleet(9);
    fleet.loads_in_progress = 14;
    fleet.request(0, "cold", 1);
    BOOST_TEST(fleet.begin_loads().size() == 1U);
    BOOST_TEST(!needs_common_bound(fleet.timing.load_times, 9, 1));
    BOOST_TEST(needs_common_bound(fleet.timing.load_times, 60, 1));
}

// A store that turns slower or faster moves the bound.
BOOST_AUTO_TEST_CASE(the_bound_follows_what_is_learned_of_the_store)
{
    BOOST_TEST(!may_begin_store_load({288, 8}, 12, 1));
    BOOST_TEST(may_begin_store_load({288, 16}, 12, 1));
    BOOST_TEST(!may_begin_store_load({288, 4}, 6, 1));
    BOOST_TEST(may_begin_store_load({288, 8}, 19, 2));
    BOOST_TEST(!may_begin_store_load({288, 8}, 20, 2));
    BOOST_TEST(may_begin_store_load({288, 8}, 39, 3));
}

BOOST_AUTO_TEST_SUITE_END()
