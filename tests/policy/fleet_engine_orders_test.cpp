#include "policy/fleet/engine_orders.hpp"

#include "tests/policy/property.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace pollenhaven;

namespace
{

const base_model_id base{"base"};
const endpoint_id engine_name{"engine"};

adapter_id adapter(int number)
{
    return {"base/a" + std::to_string(number)};
}

int unused(const adapter_id& /*adapter*/)
{
    return 0;
}

engine_state engine_with_report(int slots)
{
    engine_state engine;
    engine.endpoint = engine_name;
    engine.model = base;
    engine.has_model = true;
    engine.slot_count = slots;
    engine.accepted_orders = 0;
    engine.report_due = instant(std::chrono::hours(1));
    return engine;
}

pending_load waiting_load(int waiting, instant ready_deadline)
{
    pending_load load;
    load.waiting[{"daemon"}] = {waiting, ready_deadline};
    return load;
}

const engine_order* order_of(const engine_action& action)
{
    return std::get_if<engine_order>(&action);
}

struct engine_fixture
{
    engine_timing timing;
    instant now = instant(seconds(1000));
    engine_state engine = engine_with_report(2);

    void request_load(int number, int waiting = 1)
    {
        add_pending_load(engine, adapter(number),
                         waiting_load(waiting, now + seconds(10)), now);
    }
    engine_action send_next(const adapter_usage& use = unused)
    {
        return next_action(engine, use, 0, timing, now);
    }
    void end_order(order_outcome outcome)
    {
        record_order_result(engine, outcome, 0, timing, now);
    }
    // Has an adapter loaded and advances the time until it is ready and no longer counts
    // as recently used.
    void load_adapter(int number)
    {
        request_load(number);
        BOOST_REQUIRE(order_of(send_next()) != nullptr);
        end_order(order_outcome::accepted);
        now += seconds(2);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_engine_orders)

BOOST_FIXTURE_TEST_CASE(a_full_engine_unloads_before_it_loads, engine_fixture)
{
    load_adapter(1);
    load_adapter(2);
    request_load(3);
    const engine_action unload = send_next();
    BOOST_REQUIRE(order_of(unload) != nullptr);
    BOOST_TEST((order_of(unload)->action == order_action::unload));
    end_order(order_outcome::done);
    const engine_action load = send_next();
    BOOST_REQUIRE(order_of(load) != nullptr);
    BOOST_TEST((order_of(load)->action == order_action::load));
    BOOST_TEST(order_of(load)->adapter.value == adapter(3).value);
}

BOOST_FIXTURE_TEST_CASE(an_adapter_in_use_is_never_unloaded, engine_fixture)
{
    load_adapter(1);
    load_adapter(2);
    request_load(3);
    const engine_action no_action = send_next([](const adapter_id&) { return 1; });
    BOOST_TEST(std::holds_alternative<std::monostate>(no_action));
}

BOOST_FIXTURE_TEST_CASE(an_adapter_that_is_being_unloaded_keeps_its_slot, engine_fixture)
{
    load_adapter(1);
    load_adapter(2);
    request_load(3);
    send_next();
    end_order(order_outcome::accepted);
    request_load(3);
    const engine_action next = send_next();
    BOOST_TEST(
        (order_of(next) == nullptr || order_of(next)->action != order_action::load));
}

BOOST_FIXTURE_TEST_CASE(the_load_with_most_waiting_requests_is_ordered_first,
                        engine_fixture)
{
    request_load(1, 1);
    request_load(2, 5);
    request_load(3, 2);
    const engine_action load = send_next();
    BOOST_REQUIRE(order_of(load) != nullptr);
    BOOST_TEST(order_of(load)->adapter.value == adapter(2).value);
}

BOOST_FIXTURE_TEST_CASE(loads_for_requests_that_can_be_on_time_are_ordered_first,
                        engine_fixture)
{
    add_pending_load(engine, adapter(1), waiting_load(2, now), now);
    add_pending_load(engine, adapter(2), waiting_load(1, now + seconds(5)), now);
    const engine_action load = send_next();
    BOOST_REQUIRE(order_of(load) != nullptr);
    BOOST_TEST(order_of(load)->adapter.value == adapter(2).value);
}

BOOST_FIXTURE_TEST_CASE(an_unanswered_order_is_repeated_with_the_same_count,
                        engine_fixture)
{
    request_load(1);
    const engine_action first = send_next();
    end_order(order_outcome::unanswered);
    const engine_action second = send_next();
    BOOST_REQUIRE(order_of(first) != nullptr);
    BOOST_REQUIRE(order_of(second) != nullptr);
    BOOST_TEST(*order_of(first)->expected_orders == *order_of(second)->expected_orders);
}

BOOST_FIXTURE_TEST_CASE(an_unresponsive_engine_gets_orders_less_often, engine_fixture)
{
    int orders = 0;
    for (int round = 0; round < 100; ++round)
    {
        request_load(1);
        if (order_of(send_next()) != nullptr)
        {
            ++orders;
            end_order(order_outcome::unanswered);
        }
        now += milliseconds(10);
    }
    BOOST_TEST(orders < 12);
}

BOOST_FIXTURE_TEST_CASE(a_conflict_pauses_orders_until_a_report, engine_fixture)
{
    request_load(1);
    send_next();
    end_order(order_outcome::conflict);
    request_load(1);
    BOOST_TEST(std::holds_alternative<std::monostate>(send_next()));
    now += timing.report_lag;
    BOOST_TEST(std::holds_alternative<report_request>(send_next()));
    engine_inventory report;
    report.models = {base};
    report.accepted_orders = 7;
    apply_report(engine, report, timing, now, now);
    request_load(1);
    const engine_action load = send_next();
    BOOST_REQUIRE(order_of(load) != nullptr);
    BOOST_TEST(*order_of(load)->expected_orders == 7U);
}

BOOST_FIXTURE_TEST_CASE(a_report_older_than_the_last_order_is_ignored, engine_fixture)
{
    load_adapter(1);
    engine_inventory report;
    report.models = {base};
    report.accepted_orders = 0;
    engine.accepted_at = now;
    apply_report(engine, report, timing, now, now);
    BOOST_TEST(engine.slots.contains(adapter(1)));
    BOOST_TEST(*engine.accepted_orders == 1U);
}

BOOST_FIXTURE_TEST_CASE(pending_loads_that_are_not_renewed_expire, engine_fixture)
{
    request_load(1);
    now += seconds(1);
    BOOST_TEST(std::holds_alternative<std::monostate>(send_next()));
}

BOOST_FIXTURE_TEST_CASE(concurrent_store_loads_are_limited_by_engine_and_fleet,
                        engine_fixture)
{
    engine.slot_count = 10;
    request_load(1);
    request_load(2);
    request_load(3);
    BOOST_REQUIRE(order_of(send_next()) != nullptr);
    end_order(order_outcome::accepted);
    BOOST_TEST(std::holds_alternative<std::monostate>(next_action(
        engine, unused, static_cast<int>(timing.load_times.loads_at_full_speed), timing,
        now)));
    BOOST_REQUIRE(order_of(send_next()) != nullptr);
    end_order(order_outcome::accepted);
    BOOST_TEST(std::holds_alternative<std::monostate>(send_next()));
}

// Guards against requests that are sent, and refused three times, long before a new
// version is loaded: an engine's own memory has only the versions that it loaded before.
BOOST_FIXTURE_TEST_CASE(a_new_version_of_an_adapter_is_loaded_from_the_weight_store,
                        engine_fixture)
{
    load_adapter(1);
    pending_load new_version = waiting_load(1, now + seconds(10));
    new_version.version = adapter_version{2};
    add_pending_load(engine, adapter(1), new_version, now);
    BOOST_REQUIRE(order_of(send_next()) != nullptr);
    end_order(order_outcome::accepted);
    const adapter_slot& slot = engine.slots.at(adapter(1));
    BOOST_TEST(slot.from_store);
    BOOST_TEST((slot.ready_at - now >= expected_load_duration(timing.load_times, 1)));
}

BOOST_FIXTURE_TEST_CASE(an_empty_engine_gets_its_base_model_first, engine_fixture)
{
    engine.has_model = false;
    request_load(1);
    const engine_action load = send_next();
    BOOST_REQUIRE(order_of(load) != nullptr);
    BOOST_TEST(order_of(load)->adapter.empty());
}

// Guards against an engine that gets no further adapters. After engines had been
// replaced, an engine answered a second order to load its base model with "already
// loaded" and did not count it. The holder's order count was then too high, and each
// conflict made the engine's reports look outdated, so that they never corrected the
// count.
BOOST_FIXTURE_TEST_CASE(an_order_count_that_is_too_high_is_corrected_by_a_report,
                        engine_fixture)
{
    engine.accepted_orders = 2;
    engine_inventory report;
    report.models = {base};
    report.accepted_orders = 1;
    const instant limit = now + seconds(3);
    bool is_corrected = false;
    while (!is_corrected && now < limit)
    {
        request_load(1);
        const engine_action next = send_next();
        if (std::holds_alternative<report_request>(next))
            apply_report(engine, report, timing, now, now);
        else if (const engine_order* const order = order_of(next))
        {
            is_corrected = *order->expected_orders == 1;
            if (!is_corrected)
                end_order(order_outcome::conflict);
        }
        now += milliseconds(10);
    }
    BOOST_TEST(is_corrected);
}

BOOST_FIXTURE_TEST_CASE(a_load_of_a_resident_adapter_is_not_counted, engine_fixture)
{
    request_load(1);
    send_next();
    end_order(order_outcome::done);
    BOOST_TEST(*engine.accepted_orders == 0U);
    now += 2 * timing.report_lag;
    BOOST_TEST(std::holds_alternative<report_request>(send_next()));
}

BOOST_FIXTURE_TEST_CASE(a_base_model_that_is_being_loaded_is_not_ordered_again,
                        engine_fixture)
{
    engine.has_model = false;
    BOOST_REQUIRE(order_of(send_next()) != nullptr);
    end_order(order_outcome::accepted);
    engine_inventory report;
    report.accepted_orders = 1;
    for (const instant until = now + seconds(2); now < until; now += milliseconds(100))
    {
        request_load(1);
        const engine_action next = send_next();
        BOOST_TEST(order_of(next) == nullptr);
        if (std::holds_alternative<report_request>(next))
            apply_report(engine, report, timing, now, now);
    }
    // A load that is not complete after this time has failed.
    now += seconds(10);
    apply_report(engine, report, timing, now, now);
    const engine_action again = send_next();
    BOOST_REQUIRE(order_of(again) != nullptr);
    BOOST_TEST(order_of(again)->adapter.empty());
}

// The simulated engine executes some orders late, provided that its order count still
// matches the expected one. The orders must never make it load more adapters than it has
// slots.
BOOST_AUTO_TEST_CASE(late_orders_never_exceed_the_adapter_slots)
{
    check_property(
        "late orders never exceed the adapter slots",
        []
        {
            const int slots = *rc::gen::inRange(1, 5);
            engine_timing timing;
            engine_state engine = engine_with_report(slots);
            instant now(seconds(1000));
            std::set<std::string> loaded;
            std::uint64_t accepted = 0;
            struct late_order
            {
                engine_order order;
                instant when;
            };
            std::deque<late_order> late;
            const auto execute = [&](const engine_order& order)
            {
                if (order.expected_orders && *order.expected_orders != accepted)
                    return false;
                ++accepted;
                if (order.action == order_action::load)
                    loaded.insert(order.adapter.value);
                else
                    loaded.erase(order.adapter.value);
                RC_ASSERT(static_cast<int>(loaded.size()) <= slots);
                return true;
            };
            for (int round = 0; round < 120; ++round)
            {
                now += milliseconds(*rc::gen::inRange(1, 400));
                while (!late.empty() && late.front().when <= now)
                {
                    execute(late.front().order);
                    late.pop_front();
                }
                add_pending_load(engine, adapter(*rc::gen::inRange(0, 8)),
                                 waiting_load(1, now + seconds(1)), now);
                const engine_action action = next_action(engine, unused, 0, timing, now);
                if (std::holds_alternative<report_request>(action))
                {
                    engine_inventory report;
                    report.models = {base};
                    report.accepted_orders = accepted;
                    for (const std::string& name : loaded)
                        report.adapters.push_back({{name}, {1}});
                    apply_report(engine, report, timing, now, now);
                }
                const engine_order* const order = order_of(action);
                if (order == nullptr)
                    continue;
                const int delivery_case = *rc::gen::inRange(0, 3);
                if (delivery_case == 0)
                {
                    late.push_back({*order, now + seconds(*rc::gen::inRange(2, 12))});
                    record_order_result(engine, order_outcome::unanswered, 0, timing,
                                        now);
                }
                else if (delivery_case == 1)
                {
                    execute(*order);
                    record_order_result(engine, order_outcome::unanswered, 0, timing,
                                        now);
                }
                else
                {
                    const bool done = execute(*order);
                    const bool load = order->action == order_action::load;
                    record_order_result(engine,
                                        !done  ? order_outcome::conflict
                                        : load ? order_outcome::accepted
                                               : order_outcome::done,
                                        0, timing, now);
                }
            }
        });
}

BOOST_AUTO_TEST_SUITE_END()
