#include "bench/product_daemons.hpp"

#include "policy/fleet/wait_limits.hpp"
#include "policy/rendezvous.hpp"
#include "servers/gateway/fleet_watcher.hpp"

#include <algorithm>
#include <utility>

namespace pollenhaven::bench
{

namespace
{

// The same intervals as in the gateway.
constexpr milliseconds load_request_interval{120};
constexpr milliseconds replica_request_interval{500};
constexpr milliseconds periodic_work_interval{15};
constexpr milliseconds queue_broadcast_delay{40};
// All daemons hear of each change of a load after this time. In the product they ask the
// endpoint's keeper, which takes about as long.
constexpr milliseconds endpoint_load_interval{5};
// Network latency between availability zones, of datagrams and of calls.
constexpr milliseconds network_latency{1};
// Time from an engine's receipt of a report request until its holder has the report.
constexpr milliseconds report_latency{100};

constexpr const char* service_name = "assistant";

daemon_id daemon_name(int number)
{
    return {"daemon-" + std::to_string(number)};
}

endpoint_id engine_name(int number)
{
    return {"i-" + std::to_string(number)};
}

int number_of(const std::string& name)
{
    return std::stoi(name.substr(name.rfind('-') + 1));
}

endpoint_view new_view(const deployment_profile& deployment, int engine)
{
    endpoint_view view;
    view.record.id = engine_name(engine);
    view.record.service = {service_name};
    view.record.zone = "zone";
    view.record.slots = deployment.max_batch_size;
    view.record.inventory.models = {{"base"}};
    view.holder = daemon_name(engine % deployment.daemons);
    return view;
}

milliseconds max_wait_of(const traffic_class& kind)
{
    route matched_route;
    matched_route.kind = route_kind::streaming;
    matched_route.timeout = kind.deadline;
    matched_route.target_latency = kind.target_latency;
    return max_wait_time(matched_route, kind.deadline);
}

} // namespace

product_daemons::product_daemons(emulation& emulated)
    : emulated_(emulated), profile_(emulated.profile()),
      views_(static_cast<std::size_t>(profile_.daemons)),
      observations_(static_cast<std::size_t>(profile_.daemons)),
      engines_(static_cast<std::size_t>(profile_.engines)),
      tracked_(static_cast<std::size_t>(emulated.request_count())),
      waiting_(static_cast<std::size_t>(profile_.daemons)),
      changed_endpoints_(static_cast<std::size_t>(profile_.daemons)),
      started_requests_(static_cast<std::size_t>(profile_.daemons))
{
    for (int daemon = 0; daemon < profile_.daemons; ++daemon)
    {
        view(daemon).self = daemon_name(daemon);
        view(daemon).zone = "zone";
        for (int engine = 0; engine < profile_.engines; ++engine)
            view(daemon).endpoints[engine_name(engine)] = new_view(profile_, engine);
        for (int member = 0; member < profile_.daemons; ++member)
            view(daemon).members[daemon_name(member)].leased = true;
    }
    for (int engine = 0; engine < profile_.engines; ++engine)
    {
        engine_state& state = engines_[static_cast<std::size_t>(engine)].state;
        state.endpoint = engine_name(engine);
        state.model = {"base"};
        state.slot_count = profile_.adapter_slots;
    }
    emulated.arrival_handler = [this](int request) { on_arrival(request); };
    emulated.first_token_handler = [this](int request) { on_first_token(request); };
    emulated.finished_handler = [this](int request) { on_finished(request); };
    emulated.schedule_at(instant{}, [this] { run_periodic_work(); });
    emulated.schedule_at(instant{}, [this] { broadcast_endpoint_load(); });
    emulated.schedule_at(instant{}, [this] { broadcast_heartbeats(); });
}

void product_daemons::on_arrival(int request)
{
    tracked_request& tracked = tracked_[static_cast<std::size_t>(request)];
    tracked.is_waiting = true;
    tracked.wait_deadline =
        emulated_.now() + max_wait_of(*emulated_.request(request).kind);
    waiting_[static_cast<std::size_t>(emulated_.request(request).daemon)].insert(request);
    try_dispatch(request);
}

dispatch_query product_daemons::dispatch_query_for(int request) const
{
    const emulated_request& details = emulated_.request(request);
    dispatch_query query;
    query.service = {service_name};
    query.model = {"base"};
    query.adapter = details.adapter;
    query.prompt_tokens = details.prompt_tokens;
    query.request_hash = rendezvous_weight(std::to_string(request), "draw");
    return query;
}

void product_daemons::try_dispatch(int request)
{
    tracked_request& tracked = tracked_[static_cast<std::size_t>(request)];
    if (!tracked.is_waiting)
        return;
    const instant now = emulated_.now();
    fleet_view& fleet = view(emulated_.request(request).daemon);
    const dispatch_query query = dispatch_query_for(request);
    const dispatch_decision decision = choose_endpoint(fleet, query, now);
    if (decision.needs_load || decision.needs_replica)
        request_adapter_load(request, query, !decision.needs_load);
    if (decision.endpoint && send(request, *decision.endpoint))
        return;
    const bool too_late =
        decision.needs_load && tracked.load_engine &&
        now + expected_load_time(fleet, *tracked.load_engine) > tracked.wait_deadline;
    if (too_late || now >= tracked.wait_deadline)
        emulated_.refuse(request);
}

void product_daemons::request_adapter_load(int request, const dispatch_query& query,
                                           bool replica)
{
    tracked_request& tracked = tracked_[static_cast<std::size_t>(request)];
    const emulated_request& details = emulated_.request(request);
    const instant now = emulated_.now();
    const milliseconds interval =
        replica ? replica_request_interval : load_request_interval;
    if (tracked.load_requested_at != instant{} &&
        now - tracked.load_requested_at < interval)
        return;
    fleet_view& fleet = view(details.daemon);
    const std::optional<endpoint_id> engine = choose_engine_for_load(fleet, query, now);
    if (!engine)
        return;
    const bool repeated = tracked.load_engine == engine;
    tracked.load_requested_at = now;
    tracked.load_engine = engine;
    load_request_message message;
    message.sender = daemon_name(details.daemon);
    message.endpoint = *engine;
    message.adapter = details.adapter;
    message.urgency = details.kind->urgency;
    message.replica = replica;
    message.waiting = 1;
    if (replica)
        message.waiting = replica_benefit(fleet, details.adapter, now);
    message.ready_within =
        std::max(details.kind->target_latency - to_milliseconds(now - details.at),
                 milliseconds(0));
    if (!replica && !repeated)
        record_load_request(fleet.endpoints.at(*engine), now);
    emulated_.schedule_after(network_latency, [this, message] { request_load(message); });
}

bool product_daemons::send(int request, const endpoint_id& endpoint)
{
    tracked_request& tracked = tracked_[static_cast<std::size_t>(request)];
    const emulated_request& details = emulated_.request(request);
    const auto daemon = static_cast<std::size_t>(details.daemon);
    const int engine = number_of(endpoint.value);
    endpoint_view& sender_view = view(details.daemon).endpoints.at(endpoint);
    if (!emulated_.send(request, engine))
    {
        const auto missing = sender_view.adapters.find(details.adapter);
        const std::optional<load_observation> observed =
            missing == sender_view.adapters.end()
                ? std::nullopt
                : observed_load(missing->second, emulated_.now(), false);
        if (observed)
            record_observation(details.daemon, *observed);
        record_missing_adapter(sender_view, details.adapter, emulated_.now());
        return false;
    }
    tracked.is_waiting = false;
    tracked.engine = engine;
    tracked.sent_at = emulated_.now();
    tracked.prefill_pending = true;
    waiting_[daemon].erase(request);
    sender_view.in_flight += 1;
    sender_view.pending_prefill_tokens += details.prompt_tokens;
    sender_view.in_flight_by_adapter[details.adapter] += 1;
    started_requests_[daemon][endpoint][details.adapter] += 1;
    changed_endpoints_[daemon].insert(endpoint);
    return true;
}

void product_daemons::on_first_token(int request)
{
    tracked_request& tracked = tracked_[static_cast<std::size_t>(request)];
    const emulated_request& details = emulated_.request(request);
    const endpoint_id endpoint = engine_name(*tracked.engine);
    endpoint_view& sender_view = view(details.daemon).endpoints.at(endpoint);
    tracked.prefill_pending = false;
    sender_view.pending_prefill_tokens -= details.prompt_tokens;
    const auto held = sender_view.adapters.find(details.adapter);
    if (held != sender_view.adapters.end())
    {
        const std::optional<load_observation> observed =
            observed_load(held->second, tracked.sent_at, true);
        if (observed)
            record_observation(details.daemon, *observed);
        held->second.confirmed = true;
    }
    changed_endpoints_[static_cast<std::size_t>(details.daemon)].insert(endpoint);
}

void product_daemons::on_finished(int request)
{
    tracked_request& tracked = tracked_[static_cast<std::size_t>(request)];
    const emulated_request& details = emulated_.request(request);
    const auto daemon = static_cast<std::size_t>(details.daemon);
    tracked.is_waiting = false;
    waiting_[daemon].erase(request);
    if (!tracked.engine)
        return;
    const endpoint_id endpoint = engine_name(*tracked.engine);
    endpoint_view& sender_view = view(details.daemon).endpoints.at(endpoint);
    sender_view.in_flight -= 1;
    if (tracked.prefill_pending)
        sender_view.pending_prefill_tokens -= details.prompt_tokens;
    if (--sender_view.in_flight_by_adapter[details.adapter] == 0)
        sender_view.in_flight_by_adapter.erase(details.adapter);
    changed_endpoints_[daemon].insert(endpoint);
}

void product_daemons::dispatch_waiting(int daemon)
{
    const std::set<int>& waiting = waiting_[static_cast<std::size_t>(daemon)];
    std::vector<int> by_urgency(waiting.begin(), waiting.end());
    std::stable_sort(by_urgency.begin(), by_urgency.end(),
                     [this](int left, int right)
                     {
                         return emulated_.request(left).kind->urgency <
                                emulated_.request(right).kind->urgency;
                     });
    for (const int request : by_urgency)
        try_dispatch(request);
}

void product_daemons::request_load(const load_request_message& request)
{
    const int engine = number_of(request.endpoint.value);
    held_engine& held = engines_[static_cast<std::size_t>(engine)];
    pending_load requested_load;
    requested_load.urgency = request.urgency;
    requested_load.replica = request.replica;
    requested_load.waiting[request.sender] = {request.waiting,
                                              emulated_.now() + request.ready_within};
    add_pending_load(held.state, request.adapter, requested_load, emulated_.now());
    send_next_action(engine);
    if (held.queue_broadcast_pending)
        return;
    held.queue_broadcast_pending = true;
    emulated_.schedule_after(queue_broadcast_delay,
                             [this, engine] { broadcast_queue_length(engine); });
}

engine_timing product_daemons::timing_at(int engine)
{
    engine_timing timing;
    timing.load_times = view(holder_of(engine)).load_times;
    return timing;
}

void product_daemons::record_observation(int daemon, const load_observation& observed)
{
    if (!is_informative(view(daemon).load_times, observed))
        return;
    observe_load(view(daemon).load_times, observed);
    observations_[static_cast<std::size_t>(daemon)].push_back(observed);
}

void product_daemons::send_next_action(int engine)
{
    held_engine& held = engines_[static_cast<std::size_t>(engine)];
    const int holder = holder_of(engine);
    const fleet_view& fleet = view(holder);
    const endpoint_view& holder_view = fleet.endpoints.at(engine_name(engine));
    const instant now = emulated_.now();
    remove_loads_served_elsewhere(
        held.state, [&](const adapter_id& adapter)
        { return is_loaded_elsewhere(fleet, holder_view, adapter, now); });
    const adapter_usage usage = [&](const adapter_id& adapter)
    { return adapter_requests_in_flight(holder_view, adapter, now); };
    const engine_action action =
        next_action(held.state, usage, fleet.loads_in_progress, timing_at(engine), now);
    if (std::holds_alternative<report_request>(action))
        emulated_.schedule_after(network_latency,
                                 [this, engine] { request_report(engine); });
    else if (const auto* order = std::get_if<engine_order>(&action))
        emulated_.schedule_after(network_latency, [this, engine, order = *order]
                                 { execute_order(engine, order); });
    const std::optional<instant> next = next_completion(held.state, now);
    if (!next || held.state.pending_loads.empty() || held.next_wakeup == *next)
        return;
    held.next_wakeup = *next;
    emulated_.schedule_at(*next, [this, engine] { send_next_action(engine); });
}

void product_daemons::execute_order(int engine, const engine_order& order)
{
    const bool is_load = order.action == order_action::load;
    const bool done = is_load
                          ? emulated_.engine(engine).load(order.adapter, emulated_.now())
                          : emulated_.engine(engine).unload(order.adapter);
    const order_outcome accepted =
        is_load ? order_outcome::accepted : order_outcome::done;
    record_order_result(engines_[static_cast<std::size_t>(engine)].state,
                        done ? accepted : order_outcome::conflict,
                        view(holder_of(engine)).loads_in_progress, timing_at(engine),
                        emulated_.now());
    broadcast_inventory(engine);
    send_next_action(engine);
}

void product_daemons::request_report(int engine)
{
    const instant requested_at = emulated_.now();
    const engine_inventory inventory = emulated_.engine(engine).inventory(requested_at);
    emulated_.schedule_after(report_latency,
                             [this, engine, requested_at, inventory]
                             {
                                 engine_state& state =
                                     engines_[static_cast<std::size_t>(engine)].state;
                                 for (const load_observation& observed :
                                      completed_loads(state, inventory, requested_at))
                                     record_observation(holder_of(engine), observed);
                                 apply_report(state, inventory, timing_at(engine),
                                              requested_at, emulated_.now());
                                 broadcast_inventory(engine);
                                 send_next_action(engine);
                             });
}

void product_daemons::broadcast_inventory(int engine)
{
    held_engine& held = engines_[static_cast<std::size_t>(engine)];
    const instant now = emulated_.now();
    inventory_message message;
    message.sender = daemon_name(holder_of(engine));
    message.endpoint = engine_name(engine);
    message.token = 1;
    message.sequence = ++held.inventory_sequence;
    message.queued_loads = static_cast<int>(held.state.pending_loads.size());
    for (const auto& [adapter, slot] : held.state.slots)
        if (slot.state != slot_state::unloading)
        {
            const bool is_loading = slot.state == slot_state::loading && slot.from_store;
            message.adapters.push_back(
                {{adapter, slot.version},
                 to_milliseconds(
                     std::max(slot.ready_at - now, instant::duration::zero())),
                 is_loading ? to_milliseconds(now - slot.changed_at) : milliseconds(0),
                 is_loading ? slot.concurrent_loads : 0});
        }
    receive(holder_of(engine), message);
    broadcast(holder_of(engine), message);
}

void product_daemons::broadcast_queue_length(int engine)
{
    held_engine& held = engines_[static_cast<std::size_t>(engine)];
    held.queue_broadcast_pending = false;
    const load_queue_message message{daemon_name(holder_of(engine)), engine_name(engine),
                                     1,
                                     static_cast<int>(held.state.pending_loads.size())};
    receive(holder_of(engine), message);
    broadcast(holder_of(engine), message);
}

void product_daemons::broadcast_endpoint_load()
{
    emulated_.schedule_after(endpoint_load_interval,
                             [this] { broadcast_endpoint_load(); });
    for (int daemon = 0; daemon < profile_.daemons; ++daemon)
    {
        endpoint_load_message message;
        message.sender = daemon_name(daemon);
        for (const endpoint_id& endpoint :
             std::exchange(changed_endpoints_[static_cast<std::size_t>(daemon)], {}))
        {
            const endpoint_view& sender_view = view(daemon).endpoints.at(endpoint);
            message.loads[endpoint] = {sender_view.in_flight,
                                       sender_view.pending_prefill_tokens,
                                       sender_view.in_flight_by_adapter,
                                       {}};
        }
        if (!message.loads.empty())
            broadcast(daemon, message);
    }
}

void product_daemons::broadcast_heartbeats()
{
    emulated_.schedule_after(heartbeat_interval, [this] { broadcast_heartbeats(); });
    for (int daemon = 0; daemon < profile_.daemons; ++daemon)
        broadcast_heartbeat(daemon);
    for (int daemon = 0; daemon < profile_.daemons; ++daemon)
        for (const auto& [endpoint, adapters] :
             std::exchange(started_requests_[static_cast<std::size_t>(daemon)], {}))
            for (const auto& [adapter, requests] : adapters)
                record_adapter_usage(
                    engines_[static_cast<std::size_t>(number_of(endpoint.value))].state,
                    adapter, requests, emulated_.now());
}

void product_daemons::broadcast_heartbeat(int daemon)
{
    heartbeat_message message;
    message.sender = daemon_name(daemon);
    message.ready = true;
    message.load_times = view(daemon).load_times;
    message.load_observations =
        std::exchange(observations_[static_cast<std::size_t>(daemon)], {});
    broadcast(daemon, message);
}

void product_daemons::run_periodic_work()
{
    emulated_.schedule_after(periodic_work_interval, [this] { run_periodic_work(); });
    for (fleet_view& fleet : views_)
        count_loads_in_progress(fleet, emulated_.now());
    for (int engine = 0; engine < profile_.engines; ++engine)
        send_next_action(engine);
    for (int daemon = 0; daemon < profile_.daemons; ++daemon)
        dispatch_waiting(daemon);
}

void product_daemons::broadcast(int sender, const fleet_message& message)
{
    emulated_.schedule_after(network_latency,
                             [this, sender, message]
                             {
                                 for (int daemon = 0; daemon < profile_.daemons; ++daemon)
                                     if (daemon != sender)
                                         receive(daemon, message);
                             });
}

void product_daemons::receive(int daemon, const fleet_message& message)
{
    const instant now = emulated_.now();
    if (const auto* inventory = std::get_if<inventory_message>(&message))
    {
        apply_inventory(view(daemon), *inventory, now);
        dispatch_waiting(daemon);
    }
    else if (const auto* queue = std::get_if<load_queue_message>(&message))
        apply_load_queue(view(daemon), *queue, now);
    else if (const auto* load = std::get_if<endpoint_load_message>(&message))
        apply_endpoint_load(view(daemon), *load, now);
    else if (const auto* heartbeat = std::get_if<heartbeat_message>(&message))
        apply_heartbeat(view(daemon), *heartbeat, now);
}

} // namespace pollenhaven::bench
