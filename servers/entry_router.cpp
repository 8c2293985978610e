#include "servers/entry_router.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <utility>

namespace pollenhaven
{

namespace
{

// More events than any answer may have tokens, so that the owner never waits for a
// caller.
constexpr std::size_t event_ring_capacity = 16384;
constexpr milliseconds event_wait{500};
constexpr milliseconds no_endpoint_retry_after{1000};

using event_ring = bounded_ring<execute_event>;

execute_event lost_peer(bool sent, const daemon_id& owner)
{
    execute_event event;
    event.final = true;
    event.run = sent ? verdict::may_have_run : verdict::not_run;
    event.error = {event.run, 502, "peer_lost",
                   "the connection to daemon " + owner.value + " was lost", std::nullopt};
    return event;
}

execute_event failed(const failure& reason)
{
    execute_event event;
    event.final = true;
    event.run = reason.run;
    event.error = reason;
    return event;
}

peer_event_handler forward_to(const std::shared_ptr<event_ring>& events,
                              const daemon_id& owner)
{
    return [events, owner](const peer_event& event)
    {
        try
        {
            if (event.what == peer_event::kind::message)
                events->try_push(decode_execute_event(event.message));
            else
                events->try_push(lost_peer(event.sent, owner));
        }
        catch (const message_error& error)
        {
            log_line(log_level::warning, "malformed answer from a peer",
                     {{"peer", owner.value}, {"error", error.what()}});
            events->try_push(lost_peer(true, owner));
        }
    };
}

} // namespace

entry_call::entry_call(entry_router& router, execute_request request)
    : router_(router), request_(std::move(request)),
      caller_(context_from_header(request_.trace_parent)),
      last_failure_(nothing_to_choose())
{
    history_.idempotent = request_.idempotent;
    history_.deadline = boot_clock::now() + request_.time_left;
    const std::lock_guard lock(router_.budget_mutex);
    count_request(router_.budget);
}

entry_call::~entry_call()
{
    if (events_)
        give_up();
}

std::vector<placement_candidate> entry_call::candidates() const
{
    const std::shared_ptr<const cluster_snapshot> known =
        router_.context.cluster.snapshot();
    const instant now = boot_clock::now();
    fair_share shares;
    for (const auto& [id, partner] : known->document->partners)
        shares.weights[id] = partner.weight;
    std::vector<placement_candidate> found;
    for (const auto& [id, entry] : known->document->endpoints)
    {
        const bool right_kind = request_.service.empty()
                                    ? entry.kind == endpoint_kind::engine
                                    : entry.service == request_.service;
        if (!right_kind || !serves(entry, request_.partner) ||
            is_leaving_instance(*known, id.value))
            continue;
        const auto record = known->ownership.endpoints.find(id);
        if (record == known->ownership.endpoints.end())
            continue;
        const std::optional<endpoint_digest> digest =
            router_.context.peers.endpoint(record->second.owner, id, now);
        if (!digest || !digest->ready)
            continue;
        placement_candidate candidate;
        candidate.endpoint = id;
        const auto adapter = digest->adapters.find(request_.model);
        if (adapter != digest->adapters.end())
            candidate.state = adapter->second;
        candidate.queued = requests_ahead(shares, digest->queued, request_.partner);
        candidate.stalled = digest->stalled;
        candidate.victim_heat = digest->victim_heat;
        candidate.loading = static_cast<int>(std::count_if(
            digest->adapters.begin(), digest->adapters.end(),
            [](const auto& held) { return held.second == residency::loading; }));
        candidate.running = digest->running;
        candidate.max_batch = digest->max_batch;
        candidate.busy_slots = digest->busy_slots;
        candidate.slots = digest->slots;
        candidate.excluded = history_.excluded.count(id) > 0;
        found.push_back(candidate);
    }
    return found;
}

// Sets the failure if the request is refused for now.
std::optional<endpoint_id> entry_call::choose()
{
    const store_limits& store = router_.context.cluster.snapshot()->document->store;
    placement_costs costs;
    costs.load_time = store.load_time;
    costs.loads_per_second = store.loads_per_second;
    const std::optional<placement> chosen =
        choose_endpoint(request_.model, candidates(), costs);
    if (!chosen)
        return std::nullopt;
    const std::optional<milliseconds> come_back =
        refuse_for_now(*chosen, request_.priority, request_.time_left,
                       router_.context.settings.patience);
    if (!come_back)
        return chosen->endpoint;
    last_failure_ = {verdict::not_run, 503, "overloaded",
                     "the expected wait is longer than is useful; come back later",
                     come_back};
    return std::nullopt;
}

execute_event entry_call::next()
{
    for (;;)
    {
        if (!events_ && !begin_attempt())
            return failed(last_failure_);
        execute_event event = wait_for_event();
        if (!event.final)
        {
            // Each token once and in order, whatever the way it came.
            if (event.position != history_.tokens_delivered)
                continue;
            ++history_.tokens_delivered;
            return event;
        }
        // An answer that lacks tokens is not whole, whatever its end says.
        if (event.run == verdict::completed && request_.service.empty() &&
            event.tokens != history_.tokens_delivered)
            event = lost_peer(true, owner_);
        if (!end_attempt(event))
            return event;
    }
}

bool entry_call::begin_attempt()
{
    if (!request_.resume)
    {
        const std::optional<endpoint_id> chosen = choose();
        if (!chosen)
            return false;
        request_.endpoint = *chosen;
    }
    const std::shared_ptr<const cluster_snapshot> known =
        router_.context.cluster.snapshot();
    const auto record = known->ownership.endpoints.find(request_.endpoint);
    owner_ =
        record == known->ownership.endpoints.end() ? daemon_id{} : record->second.owner;
    request_.time_left =
        std::chrono::duration_cast<milliseconds>(history_.deadline - boot_clock::now());
    hop_ = start_span("entry.attempt", request_.id.value, caller_);
    request_.trace_parent = to_header(hop_.context);
    ++history_.attempts;
    events_ = std::make_shared<event_ring>(event_ring_capacity);
    send_to_owner();
    return true;
}

void entry_call::send_to_owner()
{
    daemon_context& context = router_.context;
    context.peers.count_sent(request_.endpoint, request_.model, request_.partner,
                             boot_clock::now());
    call_.reset();
    if (owner_ == context.settings.id)
    {
        const std::shared_ptr<event_ring> events = events_;
        router_.owner.submit(request_, [events](const execute_event& event)
                             { return events->try_push(event); });
        return;
    }
    const std::shared_ptr<const cluster_snapshot> known = context.cluster.snapshot();
    const auto member = known->known_members.find(owner_);
    if (member == known->known_members.end())
    {
        events_->try_push(lost_peer(false, owner_));
        return;
    }
    call_ = router_.transport.call(member->second.peer_address, execute_path,
                                   encode(request_), forward_to(events_, owner_));
}

execute_event entry_call::wait_for_event()
{
    for (;;)
    {
        const std::optional<execute_event> event = events_->pop(event_wait);
        if (event)
            return *event;
        if (boot_clock::now() < history_.deadline)
            continue;
        give_up();
        return failed({verdict::may_have_run, 504, "deadline_exceeded",
                       "the answer did not arrive before the deadline", std::nullopt});
    }
}

// Returns true if another attempt is to be made.
bool entry_call::end_attempt(const execute_event& last)
{
    daemon_context& context = router_.context;
    hop_.attributes = {{"endpoint", request_.endpoint.value},
                       {"owner", owner_.value},
                       {"attempt", std::to_string(history_.attempts)},
                       {"verdict", to_string(last.run)},
                       {"code", last.error.code}};
    context.spans.record(hop_);
    events_.reset();
    if (last.run == verdict::completed)
        return false;
    if (last.error.code == "peer_lost")
        context.peers.mark_silent(owner_);
    last_failure_ = last.error;
    request_.crashes = std::max(request_.crashes, last.crashes);
    next_step next = next_step::give_up;
    {
        const std::lock_guard lock(router_.budget_mutex);
        next = decide_next(history_, last_failure_, router_.budget, boot_clock::now());
    }
    if (next == next_step::give_up)
        return false;
    history_.excluded.insert(request_.endpoint);
    request_.resume = next == next_step::resume;
    request_.from_token = history_.tokens_delivered;
    context.metrics.add("pollenhaven_retries_total");
    return true;
}

void entry_call::give_up()
{
    if (call_)
        router_.transport.cancel(*call_);
    else if (owner_ == router_.context.settings.id)
        router_.owner.cancel(request_.id);
    events_.reset();
}

failure entry_call::nothing_to_choose() const
{
    const std::string what = request_.service.empty()
                                 ? "model " + request_.model.value
                                 : "service " + request_.service.value;
    return {verdict::not_run, 503, "no_endpoint",
            "no endpoint can serve " + what + " now", no_endpoint_retry_after};
}

} // namespace pollenhaven
