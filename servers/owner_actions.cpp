// Carries out what the scheduler decides: the part of the owner that reaches out to
// endpoints and to the weight store.

#include "servers/owner_duty.hpp"

#include <utility>

namespace pollenhaven
{

namespace
{

constexpr int order_attempts = 3;

} // namespace

void owner_duty::carry_out(owned_endpoint& owned, const scheduler_actions& actions)
{
    for (const scheduler_action& action : actions)
        std::visit([&](const auto& single) { carry_out(owned, single); }, action);
}

void owner_duty::carry_out(owned_endpoint& owned, const dispatch_action& action)
{
    const auto open = open_.find(action.request.id);
    if (open == open_.end())
    {
        on_finished(owned.scheduler, shares_, action.request.id, boot_clock::now());
        return;
    }
    open->second.dispatched = true;
    dispatch(owned, open->second);
}

void owner_duty::carry_out(owned_endpoint& owned, const ask_permit_action& action)
{
    const endpoint_id endpoint = owned.entry.id;
    const ownership_epoch epoch = owned.epoch;
    const model_ref adapter = action.adapter;
    store_.ask(permit_id(owned, adapter), action.priority,
               [this, endpoint, epoch, adapter] {
                   post(permit_event{endpoint, epoch, adapter});
               });
}

void owner_duty::carry_out(owned_endpoint& owned, const withdraw_permit_action& action)
{
    store_.end(permit_id(owned, action.adapter));
}

void owner_duty::carry_out(owned_endpoint& owned, const load_action& action)
{
    run_order(owned, action.adapter, true);
}

void owner_duty::carry_out(owned_endpoint& owned, const unload_action& action)
{
    run_order(owned, action.adapter, false);
}

void owner_duty::carry_out(owned_endpoint&, const reject_action& action)
{
    reject(action.request.id, action.reason);
}

void owner_duty::run_order(owned_endpoint& owned, const model_ref& adapter, bool is_load)
{
    const endpoint_id endpoint = owned.entry.id;
    const ownership_epoch epoch = owned.epoch;
    const engine_client engine = owned.engine;
    const std::string permit = permit_id(owned, adapter);
    const instant started = boot_clock::now();
    const bool queued = jobs_.run(
        [=, this]
        {
            engine_order order{adapter, epoch, seconds(30)};
            order_status status = order_status::unknown;
            for (int attempt = 0; attempt < order_attempts; ++attempt)
            {
                if (!context_.guard.may_act_on(endpoint, epoch))
                {
                    status = order_status::failed;
                    break;
                }
                status = is_load ? engine.load(order) : engine.unload(order);
                if (status != order_status::unknown)
                    break;
            }
            if (is_load)
            {
                store_.end(permit);
                context_.metrics.observe_seconds("pollenhaven_load_seconds",
                                                 to_seconds(boot_clock::now() - started));
            }
            post(order_event{endpoint, epoch, adapter, is_load, status});
        });
    if (!queued)
        post(order_event{endpoint, epoch, adapter, is_load, order_status::failed});
}

void owner_duty::dispatch(owned_endpoint& owned, open_request& open)
{
    const instant now = boot_clock::now();
    const std::string wait_class =
        open.request.priority == work_class::interactive ? "interactive" : "overnight";
    context_.metrics.observe_seconds("pollenhaven_queue_seconds_" + wait_class,
                                     to_seconds(now - open.arrived));
    open.queue_span.attributes = {{"endpoint", owned.entry.id.value},
                                  {"epoch", std::to_string(owned.epoch.value)},
                                  {"adapter", open.request.model.value}};
    open.queue_span.end_ns = wall_clock_nanoseconds();
    context_.spans.record(open.queue_span);
    const endpoint_id endpoint = owned.entry.id;
    const ownership_epoch epoch = owned.epoch;
    const execute_request request = open.request;
    const event_sink sink = open.sink;
    const shared_flag cancelled = open.cancelled;
    const shared_flag superseded = open.superseded;
    const int reader = open.reader;
    const bool is_engine = owned.entry.kind == endpoint_kind::engine;
    const engine_client engine = owned.engine;
    const service_client service = owned.service;
    const bool queued = jobs_.run(
        [=, this]
        {
            span work = start_span("endpoint.call", request.id.value,
                                   context_from_header(request.trace_parent));
            execute_event result =
                is_engine ? caller_.generate(engine, endpoint, epoch, request, sink,
                                             *cancelled, *superseded)
                          : caller_.call_service(service, endpoint, epoch, request);
            work.attributes = {{"endpoint", endpoint.value},
                               {"verdict", to_string(result.run)},
                               {"code", result.error.code},
                               {"tokens", std::to_string(result.tokens)}};
            context_.spans.record(std::move(work));
            post(ended_event{endpoint, epoch, request.id, reader, std::move(result)});
        });
    if (!queued)
        post(ended_event{
            endpoint, epoch, request.id, reader,
            final_event(not_run_failure("owner_overloaded", "too many jobs wait"))});
}

} // namespace pollenhaven
