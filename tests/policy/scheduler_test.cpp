#include "policy/endpoint_scheduler.hpp"

#include "tests/policy/property.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace pollenhaven;

namespace
{

struct engine_model
{
    std::set<model_ref> resident;
    std::map<model_ref, int> serving;
    std::set<request_id> running;
    std::set<request_id> answered;
    std::vector<model_ref> asked;
    std::vector<model_ref> loading;
    std::vector<model_ref> unloading;
    std::map<request_id, model_ref> models;
};

endpoint_scheduler make_scheduler(int slots, int batch)
{
    endpoint_scheduler scheduler;
    scheduler.endpoint = {"engine"};
    scheduler.slots = slots;
    scheduler.max_batch = batch;
    scheduler.reconciled = true;
    scheduler.settings.max_queue = 16;
    return scheduler;
}

// Applies actions to the model and fails on any that must not happen.
struct action_check
{
    engine_model& model;
    const endpoint_scheduler& scheduler;

    void operator()(const dispatch_action& action) const
    {
        RC_ASSERT(model.resident.count(action.request.model) == 1U);
        RC_ASSERT(model.running.insert(action.request.id).second);
        RC_ASSERT(static_cast<int>(model.running.size()) <= scheduler.max_batch);
        ++model.serving[action.request.model];
    }
    void operator()(const ask_permit_action& action) const
    {
        model.asked.push_back(action.adapter);
    }
    void operator()(const withdraw_permit_action& action) const
    {
        std::erase(model.asked, action.adapter);
    }
    void operator()(const load_action& action) const
    {
        model.loading.push_back(action.adapter);
    }
    void operator()(const unload_action& action) const
    {
        RC_ASSERT(model.serving[action.adapter] == 0);
        RC_ASSERT(model.resident.count(action.adapter) == 1U);
        model.resident.erase(action.adapter);
        model.unloading.push_back(action.adapter);
    }
    void operator()(const reject_action& action) const
    {
        RC_ASSERT(model.running.count(action.request.id) == 0U);
        RC_ASSERT(action.reason.run == verdict::not_run);
        RC_ASSERT(model.answered.insert(action.request.id).second);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler)

// Random requests, permits, load results, ends, restarts and time: nothing is evicted in
// use, dispatched without its adapter, run twice, or answered twice, and the slots are
// kept.
BOOST_AUTO_TEST_CASE(keeps_its_promises_under_random_schedules)
{
    check_property(
        "scheduler",
        []
        {
            const int slots = *rc::gen::inRange(1, 4);
            endpoint_scheduler scheduler = make_scheduler(slots, *rc::gen::inRange(1, 5));
            fair_share shares;
            engine_model model;
            instant now{seconds(1)};
            const auto apply = [&](const scheduler_actions& actions)
            {
                for (const scheduler_action& action : actions)
                    std::visit(action_check{model, scheduler}, action);
                RC_ASSERT(static_cast<int>(scheduler.residents.size()) <= slots);
            };
            const int steps = *rc::gen::inRange(20, 120);
            for (int step = 0; step < steps; ++step)
            {
                now += milliseconds(*rc::gen::inRange(0, 400));
                const int choice = *rc::gen::inRange(0, 8);
                if (choice <= 2)
                {
                    queued_request request;
                    request.id = {std::to_string(step)};
                    request.model = {"m" + std::to_string(*rc::gen::inRange(0, 6))};
                    request.partner = {"p" + std::to_string(*rc::gen::inRange(0, 2))};
                    request.priority = *rc::gen::arbitrary<bool>()
                                           ? work_class::interactive
                                           : work_class::overnight;
                    request.arrived = now;
                    request.start_by = now + seconds(5);
                    model.models[request.id] = request.model;
                    apply(on_request(scheduler, shares, request, now));
                }
                else if (choice == 3 && !model.asked.empty())
                {
                    const model_ref adapter = model.asked.front();
                    model.asked.erase(model.asked.begin());
                    apply(on_permit(scheduler, shares, adapter, now));
                }
                else if (choice == 4 && !model.loading.empty())
                {
                    const model_ref adapter = model.loading.front();
                    model.loading.erase(model.loading.begin());
                    const bool loaded = *rc::gen::inRange(0, 4) > 0;
                    if (loaded)
                        model.resident.insert(adapter);
                    apply(on_load_ended(scheduler, shares, adapter, loaded, now));
                }
                else if (choice == 5 && !model.unloading.empty())
                {
                    const model_ref adapter = model.unloading.front();
                    model.unloading.erase(model.unloading.begin());
                    apply(on_unload_ended(scheduler, shares, adapter, true, now));
                }
                else if (choice == 6 && !model.running.empty())
                {
                    const request_id ended = *model.running.begin();
                    model.running.erase(ended);
                    model.answered.insert(ended);
                    --model.serving[model.models[ended]];
                    apply(on_finished(scheduler, shares, ended, now));
                }
                else
                    apply(on_tick(scheduler, shares, now));
            }
        });
}

BOOST_AUTO_TEST_CASE(requests_for_the_same_cold_adapter_wait_on_one_load)
{
    endpoint_scheduler scheduler = make_scheduler(2, 8);
    fair_share shares;
    const instant now{seconds(1)};
    int permits = 0;
    for (int i = 0; i < 5; ++i)
    {
        queued_request request{{std::to_string(i)}, {"cold@v1"}, {"suva"}};
        request.start_by = now + seconds(10);
        for (const scheduler_action& action : on_request(scheduler, shares, request, now))
            permits += std::holds_alternative<ask_permit_action>(action) ? 1 : 0;
    }
    // Asked again for the same id: the store budget counts it once.
    BOOST_TEST(scheduler.residents.size() == 1U);
    on_permit(scheduler, shares, {"cold@v1"}, now);
    const scheduler_actions loaded =
        on_load_ended(scheduler, shares, {"cold@v1"}, true, now);
    BOOST_TEST(loaded.size() == 5U);
    BOOST_TEST(permits >= 1);
}

BOOST_AUTO_TEST_CASE(a_previous_owners_requests_keep_their_adapter)
{
    endpoint_scheduler scheduler = make_scheduler(1, 8);
    scheduler.reconciled = false;
    fair_share shares;
    const instant now{seconds(1)};
    queued_request request{{"r"}, {"new@v1"}, {"suva"}};
    request.start_by = now + seconds(10);
    BOOST_TEST(on_request(scheduler, shares, request, now).empty());
    BOOST_TEST(on_reconciled(scheduler, shares, 1, 8, {{{"old@v1"}, 2}}, now).empty());
    on_report(scheduler, {{{"old@v1"}, 0}});
    const scheduler_actions after = on_tick(scheduler, shares, now);
    BOOST_REQUIRE(after.size() == 1U);
    BOOST_TEST(std::holds_alternative<unload_action>(after.front()));
}

BOOST_AUTO_TEST_CASE(a_failed_load_answers_its_waiters_at_once_and_backs_off)
{
    endpoint_scheduler scheduler = make_scheduler(1, 8);
    fair_share shares;
    const instant now{seconds(1)};
    queued_request request{{"r"}, {"bad@v1"}, {"suva"}};
    request.start_by = now + seconds(10);
    on_request(scheduler, shares, request, now);
    on_permit(scheduler, shares, {"bad@v1"}, now);
    const scheduler_actions failed =
        on_load_ended(scheduler, shares, {"bad@v1"}, false, now);
    BOOST_REQUIRE(failed.size() == 1U);
    BOOST_TEST(std::holds_alternative<reject_action>(failed.front()));
    request.id = {"s"};
    const scheduler_actions again = on_request(scheduler, shares, request, now);
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(std::holds_alternative<reject_action>(again.front()));
    const instant later = now + scheduler.settings.load_backoff;
    BOOST_TEST(!std::holds_alternative<reject_action>(
        on_request(scheduler, shares, request, later).front()));
}

BOOST_AUTO_TEST_SUITE_END()
