#include "servers/gateway/engine_controller.hpp"

#include "servers/gateway/load_observations.hpp"

#include <algorithm>
#include <utility>

namespace pollenhaven
{

namespace
{

// Engines respond to an order within 1 or 2 ms; after this time the order counts as
// unanswered. Sending it again is safe, since both copies carry the same count of
// expected orders.
constexpr milliseconds order_timeout{80};
constexpr milliseconds report_timeout{300};
// Changes are collected for this long before they are sent to the peers.
constexpr milliseconds inventory_broadcast_delay{4};
constexpr milliseconds queue_report_delay{40};

order_outcome outcome_of(const http_result& result)
{
    constexpr int done = 200;
    constexpr int accepted = 202;
    constexpr int conflict = 409;
    if (!result.has_response)
        return order_outcome::unanswered;
    if (result.status == accepted)
        return order_outcome::accepted;
    if (result.status == done)
        return order_outcome::done;
    if (result.status == conflict)
        return order_outcome::conflict;
    return order_outcome::refused;
}

// Returns the number of adapter slots, limited by the memory that the first base model
// leaves free.
int slots_that_fit(const engine_capacity& engine)
{
    if (engine.models.empty() || engine.models.front().adapter_mb <= 0)
        return engine.adapter_slots;
    const double free_mb = engine.weights_mb - engine.models.front().weights_mb;
    return std::min(engine.adapter_slots,
                    static_cast<int>(free_mb / engine.models.front().adapter_mb));
}

reported_adapter report_of(const adapter_id& adapter, const adapter_slot& slot,
                           instant now)
{
    reported_adapter result;
    result.adapter = {adapter, slot.version};
    result.ready_in = std::chrono::ceil<milliseconds>(
        std::max(slot.ready_at - now, instant::duration::zero()));
    if (slot.state == slot_state::loading && slot.from_store)
    {
        result.loading_for = to_milliseconds(now - slot.changed_at);
        result.concurrent_loads = slot.concurrent_loads;
    }
    return result;
}

} // namespace

engine_controller::engine_controller(gateway_context& context,
                                     inventory_function send_inventory,
                                     queue_function send_queue)
    : context_(context), send_inventory_(std::move(send_inventory)),
      send_queue_(std::move(send_queue))
{
}

void engine_controller::init_engine(held_engine& engine, const endpoint_view& view)
{
    engine.state.endpoint = view.record.id;
    engine.state.previously_loaded = view.previously_loaded;
    engine.client = std::make_unique<http_client>(context_.loop, view.record.address);
}

void engine_controller::permission_changed(const endpoint_id& endpoint)
{
    engines_.erase(endpoint);
    const auto view = context_.fleet.endpoints.find(endpoint);
    if (membership_->permission_for(endpoint) == nullptr ||
        view == context_.fleet.endpoints.end() || view->second.record.address.empty())
        return;
    init_engine(engines_[endpoint], view->second);
}

void engine_controller::request_load(const load_request_message& request)
{
    const auto found = engines_.find(request.endpoint);
    if (found == engines_.end())
        return;
    pending_load load;
    load.version = request.version;
    load.urgency = request.urgency;
    load.replica = request.replica;
    load.waiting[request.sender] = {request.waiting,
                                    context_.loop.now() + request.ready_within};
    add_pending_load(found->second.state, request.adapter, load, context_.loop.now());
    found->second.load_requesters.insert(request.sender);
    send_next_action(request.endpoint);
    schedule_queue_report(request.endpoint);
}

void engine_controller::record_adapter_usage(const endpoint_id& endpoint,
                                             const endpoint_load& load)
{
    const auto found = engines_.find(endpoint);
    if (found == engines_.end())
        return;
    const instant now = context_.loop.now();
    for (const auto& [adapter, count] : load.started_by_adapter)
        pollenhaven::record_adapter_usage(found->second.state, adapter, count, now);
}

void engine_controller::run_periodic_work()
{
    std::vector<endpoint_id> ids;
    for (const auto& [id, engine] : engines_)
        ids.push_back(id);
    for (const endpoint_id& id : ids)
        send_next_action(id);
}

void engine_controller::send_next_action(const endpoint_id& id)
{
    const auto found = engines_.find(id);
    const auto view = context_.fleet.endpoints.find(id);
    if (found == engines_.end() || view == context_.fleet.endpoints.end() ||
        context_.routing == nullptr || !membership_->may_order_now(id))
        return;
    const auto service = context_.routing->services.find(view->second.record.service);
    if (service == context_.routing->services.end() || !service->second.engine ||
        view->second.draining)
        return;
    if (context_.loop.now() < view->second.refused_until)
        return;
    held_engine& engine = found->second;
    engine.state.slot_count = slots_that_fit(*service->second.engine);
    if (!service->second.engine->models.empty())
        engine.state.model = service->second.engine->models.front().id;
    const instant now = context_.loop.now();
    remove_loads_served_elsewhere(
        engine.state, [&](const adapter_id& adapter)
        { return is_loaded_elsewhere(context_.fleet, view->second, adapter, now); });
    const adapter_usage usage = [&](const adapter_id& adapter)
    { return adapter_requests_in_flight(view->second, adapter, now); };
    const engine_action action = next_action(
        engine.state, usage, context_.fleet.loads_in_progress, current_timing(), now);
    if (std::holds_alternative<report_request>(action))
        send_report_request(id, engine);
    else if (const engine_order* order = std::get_if<engine_order>(&action))
        send_order(id, engine, *order);
    schedule_load_completion(id, engine);
}

void engine_controller::schedule_load_completion(const endpoint_id& id,
                                                 held_engine& engine)
{
    const instant now = context_.loop.now();
    const std::optional<instant> next = next_completion(engine.state, now);
    if (!next || engine.state.pending_loads.empty() || engine.next_wakeup == *next)
        return;
    engine.next_wakeup = *next;
    context_.loop.schedule(*next, [this, id] { send_next_action(id); });
}

void engine_controller::send_report_request(const endpoint_id& id, held_engine& engine)
{
    const instant sent = context_.loop.now();
    engine.client->call(
        context_.dialect.report_call(id).bytes, report_timeout,
        [this, id, sent](const http_result& result)
        {
            held_engine& queried = engines_.at(id);
            const instant now = context_.loop.now();
            constexpr int status_ok = 200;
            try
            {
                if (!result.has_response || result.status != status_ok)
                    throw dialect_error("the report request failed, status " +
                                        std::to_string(result.status));
                const engine_inventory report = context_.dialect.read_report(result.body);
                for (const load_observation& observed :
                     completed_loads(queried.state, report, sent))
                    record_load_observation(context_, observed);
                apply_report(queried.state, report, current_timing(), sent, now);
            }
            catch (const dialect_error& error)
            {
                context_.log.write("report failed",
                                   {{"endpoint", id.value}, {"reason", error.what()}});
                report_failed(queried.state, current_timing(), now);
            }
            schedule_inventory_broadcast(id);
            send_next_action(id);
        });
}

void engine_controller::send_order(const endpoint_id& id, held_engine& engine,
                                   engine_order order)
{
    order.holder = context_.settings.id;
    order.fencing_token = membership_->permission_for(id)->token;
    context_.log.write(
        "order", {{"endpoint", id.value},
                  {"action", order.action == order_action::load ? "load" : "unload"},
                  {"adapter", order.adapter.value},
                  {"version", static_cast<std::int64_t>(
                                  order.version.value_or(adapter_version{}).value)},
                  {"expected_orders",
                   static_cast<std::int64_t>(order.expected_orders.value_or(0))},
                  {"slots", static_cast<std::int64_t>(engine.state.slots.size())}});
    if (order.action == order_action::unload)
        broadcast_inventory(id);
    engine.client->call(context_.dialect.order_call(order).bytes, order_timeout,
                        [this, id](const http_result& result)
                        { on_order_response(id, result); });
}

void engine_controller::on_order_response(const endpoint_id& id,
                                          const http_result& result)
{
    held_engine& engine = engines_.at(id);
    const order_outcome outcome = outcome_of(result);
    const bool succeeded =
        outcome == order_outcome::accepted || outcome == order_outcome::done;
    if (!succeeded)
        context_.log.write(
            "order failed",
            {{"endpoint", id.value},
             {"adapter", engine.state.outstanding_order->adapter.value},
             {"status", std::int64_t{result.status}},
             {"reason", outcome == order_outcome::unanswered ? "no answer" : "refused"}});
    const std::string action =
        engine.state.outstanding_order->action == order_action::load ? "load" : "unload";
    context_.metrics.add("pollenhaven_orders_total{action=\"" + action + "\",status=\"" +
                         std::to_string(result.status) + "\"}");
    const adapter_id adapter = engine.state.outstanding_order->adapter;
    count_loads_in_progress(context_.fleet, context_.loop.now());
    const int other_loads = context_.fleet.loads_in_progress;
    record_order_result(engine.state, outcome, other_loads, current_timing(),
                        context_.loop.now());
    if (outcome == order_outcome::accepted && action == "load")
        log_load_started(id, adapter, other_loads);
    schedule_inventory_broadcast(id);
    send_next_action(id);
}

void engine_controller::log_load_started(const endpoint_id& id, const adapter_id& adapter,
                                         int loads_in_progress)
{
    const engine_state& state = engines_.at(id).state;
    const auto slot = state.slots.find(adapter);
    if (slot == state.slots.end())
        return;
    const auto expected =
        to_milliseconds(slot->second.ready_at - slot->second.changed_at);
    context_.log.write("load started",
                       {{"endpoint", id.value},
                        {"adapter", adapter.value},
                        {"source", slot->second.from_store ? "store" : "memory"},
                        {"loads_in_progress", std::int64_t{loads_in_progress}},
                        {"expected_ms", std::int64_t{expected.count()}}});
    context_.metrics.observe_seconds("pollenhaven_expected_load_seconds",
                                     to_seconds(expected));
}

void engine_controller::schedule_inventory_broadcast(const endpoint_id& id)
{
    held_engine& engine = engines_.at(id);
    if (engine.inventory_broadcast_scheduled)
        return;
    engine.inventory_broadcast_scheduled = true;
    context_.loop.schedule_after(inventory_broadcast_delay,
                                 [this, id] { broadcast_inventory(id); });
}

void engine_controller::schedule_queue_report(const endpoint_id& id)
{
    held_engine& engine = engines_.at(id);
    if (std::exchange(engine.queue_report_scheduled, true))
        return;
    context_.loop.schedule_after(queue_report_delay, [this, id] { report_queue(id); });
}

void engine_controller::report_queue(const endpoint_id& id)
{
    const auto found = engines_.find(id);
    const order_permission* const permission = membership_->permission_for(id);
    if (found == engines_.end() || permission == nullptr)
        return;
    held_engine& engine = found->second;
    engine.queue_report_scheduled = false;
    const std::set<daemon_id> requesters = std::exchange(engine.load_requesters, {});
    send_queue_({requesters.begin(), requesters.end()},
                {context_.settings.id, id, permission->token,
                 static_cast<int>(engine.state.pending_loads.size())});
}

engine_timing engine_controller::current_timing() const
{
    engine_timing timing = context_.settings.load_timing;
    timing.load_times = context_.fleet.load_times;
    timing.engines = context_.fleet.held_engines;
    return timing;
}

void engine_controller::broadcast_inventory(const endpoint_id& id)
{
    const auto found = engines_.find(id);
    const order_permission* const permission = membership_->permission_for(id);
    if (found == engines_.end() || permission == nullptr ||
        !found->second.state.accepted_orders)
        return;
    held_engine& engine = found->second;
    engine.inventory_broadcast_scheduled = false;
    const instant now = context_.loop.now();
    inventory_message message;
    message.sender = context_.settings.id;
    message.endpoint = id;
    message.token = permission->token;
    message.sequence = ++engine.inventory_sequence;
    message.queued_loads = static_cast<int>(engine.state.pending_loads.size());
    const auto view = context_.fleet.endpoints.find(id);
    if (view != context_.fleet.endpoints.end())
    {
        message.in_flight = total_in_flight(view->second, now);
        message.pending_prefill_tokens = total_pending_prefill_tokens(view->second, now);
    }
    for (const auto& [adapter, slot] : engine.state.slots)
        if (slot.state != slot_state::unloading)
            message.adapters.push_back(report_of(adapter, slot, now));
    send_inventory_(message);
}

} // namespace pollenhaven
