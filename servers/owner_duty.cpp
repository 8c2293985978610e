#include "servers/owner_duty.hpp"

#include "core/log.hpp"
#include "core/plugin_registry.hpp"
#include "core/random_id.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pollenhaven
{

namespace
{

constexpr std::size_t ring_capacity = 16384;
constexpr milliseconds tick_interval{50};
constexpr milliseconds report_interval{500};
// Streams that break within this time after a crash belong to it.
constexpr milliseconds crash_window{3000};
// How long a request whose receiver's connection was lost is kept for it to come back.
constexpr milliseconds resume_patience{10000};
constexpr int service_concurrency = 32;
constexpr int order_attempts = 3;
constexpr milliseconds claim_patience{4000};
// How long an answer waits to be recorded, so that a resend that follows it finds it.
constexpr milliseconds record_patience{500};
constexpr std::size_t recorded_body_limit = 64UL * 1024;
constexpr std::size_t attempt_id_bytes = 8;

// Plain services have no adapters: all their requests name this one, always ready.
const model_ref no_adapter{};

execute_event final_event(const failure& reason)
{
    execute_event event;
    event.final = true;
    event.run = reason.run;
    event.error = reason;
    return event;
}

failure not_run(const std::string& code, const std::string& message)
{
    constexpr milliseconds retry_after{500};
    return {verdict::not_run, 503, code, message, retry_after};
}

queued_request to_queued(const execute_request& request, const patience_limits& patience,
                         instant now)
{
    queued_request queued;
    queued.id = request.id;
    queued.model = request.service.empty() ? request.model : no_adapter;
    queued.partner = request.partner;
    queued.priority = request.priority;
    queued.tokens = request.tokens;
    queued.arrived = now;
    queued.start_by = now + patience_for(request.priority, request.time_left, patience);
    return queued;
}

endpoint_digest to_digest(const endpoint_scheduler& scheduler, bool ready, instant now)
{
    endpoint_digest digest;
    digest.id = scheduler.endpoint;
    digest.ready = ready;
    digest.stalled = stalled_requests(scheduler);
    // Rounded, so that the slow decay alone is no news.
    digest.victim_heat = std::round(next_victim_heat(scheduler, now));
    digest.queued = queued_by_partner(scheduler);
    digest.running = static_cast<int>(scheduler.running.size());
    digest.max_batch = scheduler.max_batch;
    digest.busy_slots = busy_slots(scheduler);
    digest.slots = scheduler.slots;
    for (const auto& [adapter, slot] : scheduler.residents)
    {
        if (slot.state == slot_state::unloading)
            continue;
        digest.adapters[adapter] =
            slot.state == slot_state::ready ? residency::resident : residency::loading;
    }
    return digest;
}

} // namespace

owner_duty::owner_duty(daemon_context& context, store_duty& store, claim_duty& claims,
                       std::function<void()> on_news)
    : context_(context), store_(store), claims_(claims), on_news_(std::move(on_news)),
      events_(ring_capacity), jobs_(context.settings.dispatch_threads),
      thread_([this] { run(); })
{
}

owner_duty::~owner_duty()
{
    events_.close();
    thread_.join();
    ended_ = true;
}

void owner_duty::submit(const execute_request& request, const event_sink& sink)
{
    ++open_count_;
    if (events_.try_push(request_event{request, sink}))
        return;
    --open_count_;
    sink(final_event(not_run("owner_overloaded", "the owner's event ring is full")));
}

void owner_duty::cancel(const request_id& request)
{
    post(cancel_event{request});
}

void owner_duty::receiver_lost(const request_id& request)
{
    post(receiver_lost_event{request});
}

std::vector<endpoint_digest> owner_duty::digests() const
{
    const std::lock_guard lock(published_mutex_);
    return digests_;
}

std::map<partner_id, double> owner_duty::served() const
{
    const std::lock_guard lock(published_mutex_);
    return served_;
}

std::map<endpoint_id, bool> owner_duty::idle_endpoints() const
{
    const std::lock_guard lock(published_mutex_);
    return idle_;
}

std::vector<crash_note> owner_duty::crash_notes() const
{
    const std::lock_guard lock(published_mutex_);
    std::vector<crash_note> notes;
    for (const auto& [fingerprint, suspect] : published_crashes_.suspects)
        notes.push_back({fingerprint, suspect.crashes});
    return notes;
}

void owner_duty::merge_crashes(const std::vector<crash_note>& notes)
{
    const std::lock_guard lock(published_mutex_);
    for (const crash_note& note : notes)
        merge(published_crashes_, note.fingerprint, note.crashes, boot_clock::now());
}

// Events from jobs and other duties must not be lost, so they wait for room in the ring.
void owner_duty::post(const event& next)
{
    while (!events_.try_push(next) && !ended_)
        std::this_thread::sleep_for(milliseconds(1));
}

void owner_duty::run()
{
    while (!events_.closed())
    {
        std::optional<event> next = events_.pop(tick_interval);
        while (next)
        {
            std::visit([this](auto& single) { handle(single); }, *next);
            next = events_.pop(milliseconds(0));
        }
        const instant now = boot_clock::now();
        if (now - last_tick_ >= tick_interval)
            tick(now);
        publish();
    }
}

void owner_duty::tick(instant now)
{
    last_tick_ = now;
    const std::shared_ptr<const cluster_snapshot> known = context_.cluster.snapshot();
    follow_cluster(*known, now);
    charge_peers();
    give_up_lost_receivers(now);
    {
        const std::lock_guard lock(published_mutex_);
        forget_old(published_crashes_, now);
        for (const auto& [fingerprint, suspect] : published_crashes_.suspects)
            merge(crashes_, fingerprint, suspect.crashes, now);
    }
    for (auto& [id, owned] : owned_)
    {
        follow_handover(*known, owned);
        if (owned.entry.kind == endpoint_kind::engine)
            request_report(owned, now);
        carry_out(owned, on_tick(owned.scheduler, shares_, now));
    }
}

void owner_duty::follow_cluster(const cluster_snapshot& known, instant now)
{
    for (const auto& [id, partner] : known.document->partners)
        shares_.weights[id] = partner.weight;
    for (auto owned = owned_.begin(); owned != owned_.end();)
    {
        const auto record = known.ownership.endpoints.find(owned->first);
        const bool ours = record != known.ownership.endpoints.end() &&
                          record->second.owner == context_.settings.id &&
                          record->second.incarnation == context_.incarnation &&
                          record->second.epoch == owned->second.epoch;
        if (ours)
        {
            ++owned;
            continue;
        }
        give_up(owned->second);
        owned = owned_.erase(owned);
    }
    for (const auto& [id, record] : known.ownership.endpoints)
    {
        const auto entry = known.document->endpoints.find(id);
        const bool ours = record.owner == context_.settings.id &&
                          record.incarnation == context_.incarnation;
        if (ours && owned_.count(id) == 0 && entry != known.document->endpoints.end())
            take(entry->second, record.epoch, now);
    }
}

void owner_duty::take(const endpoint_entry& entry, ownership_epoch epoch, instant now)
{
    owned_endpoint owned;
    owned.entry = entry;
    owned.epoch = epoch;
    owned.owned_since = now;
    owned.scheduler.endpoint = entry.id;
    const std::string& address = entry.address.value;
    const daemon_settings& settings = context_.settings;
    if (entry.kind == endpoint_kind::engine)
        owned.engine = plugin_registry<engine_client>::instance().make(
            settings.engine_module, address);
    else
        owned.service = plugin_registry<service_client>::instance().make(
            settings.service_module, address);
    log_line(log_level::info, "endpoint taken over",
             {{"endpoint", entry.id.value}, {"epoch", std::to_string(epoch.value)}});
    owned_endpoint& placed = owned_[entry.id] = std::move(owned);
    if (entry.kind == endpoint_kind::service)
        on_reconciled(placed.scheduler, shares_, 1, service_concurrency,
                      {{no_adapter, 0}}, now);
    news_ = true;
}

void owner_duty::give_up(owned_endpoint& owned)
{
    log_line(log_level::info, "endpoint given up",
             {{"endpoint", owned.entry.id.value},
              {"epoch", std::to_string(owned.epoch.value)}});
    carry_out(owned, on_drain(owned.scheduler));
    news_ = true;
}

void owner_duty::follow_handover(const cluster_snapshot& known, owned_endpoint& owned)
{
    const bool leaves = known.handing_over.count(owned.entry.id) > 0 ||
                        is_leaving_instance(known, owned.entry.id.value);
    if (leaves && !owned.scheduler.draining)
    {
        log_line(log_level::info, "endpoint takes no new work",
                 {{"endpoint", owned.entry.id.value}});
        carry_out(owned, on_drain(owned.scheduler));
        news_ = true;
    }
    else if (!leaves && owned.scheduler.draining)
        owned.scheduler.draining = false;
}

// Work that partners received on other owners counts against their shares here too.
void owner_duty::charge_peers()
{
    std::map<partner_id, double> total;
    for (const auto& [id, peer] : context_.peers.all())
    {
        if (id == context_.settings.id)
            continue;
        for (const auto& [partner, tokens] : peer.served)
            total[partner] += tokens;
    }
    for (const auto& [partner, tokens] : total)
    {
        double& counted = peer_work_counted_[partner];
        if (tokens > counted)
            charge(shares_, partner, tokens - counted);
        counted = tokens;
    }
}

void owner_duty::request_report(owned_endpoint& owned, instant now)
{
    if (owned.report_pending || now - owned.last_report < report_interval)
        return;
    owned.report_pending = true;
    owned.last_report = now;
    const endpoint_id endpoint = owned.entry.id;
    const ownership_epoch epoch = owned.epoch;
    const engine_client engine = owned.engine;
    const bool raise = !owned.fencing_raised;
    const bool started = jobs_.run(
        [this, endpoint, epoch, engine, raise]
        {
            report_event reported{endpoint, epoch, !raise, std::nullopt};
            if (raise && context_.guard.may_act_on(endpoint, epoch))
                reported.fencing_raised =
                    engine.raise_fencing(epoch) == order_status::done;
            try
            {
                reported.report = engine.report();
            }
            catch (const request_error&)
            {
                reported.report.reset();
            }
            post(std::move(reported));
        });
    if (!started)
        owned.report_pending = false;
}

void owner_duty::publish()
{
    const bool news = std::exchange(news_, false);
    {
        const std::lock_guard lock(published_mutex_);
        digests_.clear();
        idle_.clear();
        for (const auto& [id, owned] : owned_)
        {
            const bool ready = owned.scheduler.reconciled && !owned.scheduler.draining;
            digests_.push_back(to_digest(owned.scheduler, ready, boot_clock::now()));
            idle_[id] = is_idle(owned.scheduler);
        }
        for (const auto& [fingerprint, suspect] : crashes_.suspects)
            merge(published_crashes_, fingerprint, suspect.crashes, boot_clock::now());
    }
    if (news)
        on_news_();
}

// Replaces an earlier reader of the same request, whose connection was lost.
owner_duty::open_request& owner_duty::open_for(const execute_request& request,
                                               event_sink sink, instant now)
{
    const auto earlier = open_.find(request.id);
    if (earlier != open_.end())
    {
        *earlier->second.superseded = true;
        *earlier->second.cancelled = true;
        --open_count_;
    }
    open_request& open = open_[request.id] = open_request{};
    open.request = request;
    open.sink = std::move(sink);
    open.arrived = now;
    open.reader = ++last_reader_;
    open.cancelled = std::make_shared<std::atomic<bool>>(false);
    open.superseded = std::make_shared<std::atomic<bool>>(false);
    open.queue_span = start_span("owner.queue", request.id.value,
                                 context_from_header(request.trace_parent));
    return open;
}

void owner_duty::handle(request_event& arrived)
{
    const instant now = boot_clock::now();
    const execute_request& request = arrived.request;
    open_for(request, std::move(arrived.sink), now);
    merge(crashes_, request.fingerprint, request.crashes, now);
    const auto found = owned_.find(request.endpoint);
    if (found == owned_.end())
    {
        reject(request.id, not_run("not_owner", "endpoint " + request.endpoint.value +
                                                    " is not owned by " +
                                                    context_.settings.id.value));
        return;
    }
    owned_endpoint& owned = found->second;
    if (request.resume)
    {
        attach(owned, request.id);
        return;
    }
    const std::set<std::string> running = running_fingerprints(owned);
    if (!may_run_beside(crashes_, request.fingerprint, running, now))
    {
        const bool blocked =
            judge(crashes_, request.fingerprint, now) == containment::blocked;
        failure reason =
            not_run("suspect_busy", "another request under suspicion is running");
        if (blocked)
            reason = {verdict::not_run, 422, "request_blocked",
                      "this request has crashed the endpoints that ran it", std::nullopt};
        reject(request.id, reason);
        return;
    }
    carry_out(owned,
              on_request(owned.scheduler, shares_,
                         to_queued(request, context_.settings.patience, now), now));
}

// Follows a generation that runs already; it holds its place in the scheduler, if it is
// ours.
void owner_duty::attach(owned_endpoint& owned, const request_id& id)
{
    open_request& open = open_[id];
    open.dispatched = true;
    dispatch(owned, open);
}

void owner_duty::handle(const cancel_event& cancelled)
{
    const auto found = open_.find(cancelled.request);
    if (found == open_.end())
        return;
    open_request& open = found->second;
    *open.cancelled = true;
    if (open.dispatched)
        return;
    const auto owned = owned_.find(open.request.endpoint);
    const request_id id = cancelled.request;
    reject(id, not_run("cancelled", "the caller gave the request up"));
    if (owned != owned_.end())
        carry_out(owned->second,
                  on_cancelled(owned->second.scheduler, shares_, id, boot_clock::now()));
}

void owner_duty::handle(const receiver_lost_event& lost)
{
    const auto found = open_.find(lost.request);
    if (found != open_.end())
        found->second.receiver_lost_at = boot_clock::now();
}

void owner_duty::give_up_lost_receivers(instant now)
{
    std::vector<request_id> given_up;
    for (const auto& [id, open] : open_)
    {
        if (open.receiver_lost_at && now - *open.receiver_lost_at > resume_patience)
            given_up.push_back(id);
    }
    for (const request_id& id : given_up)
        handle(cancel_event{id});
}

void owner_duty::handle(ended_event& ended)
{
    const instant now = boot_clock::now();
    owned_endpoint* owned = find(ended.endpoint, ended.epoch);
    const auto open = open_.find(ended.request);
    // A later reader follows the same generation.
    if (open != open_.end() && open->second.reader != ended.reader)
        return;
    if (owned == nullptr || open == open_.end())
    {
        finish(ended.request, ended.result);
        return;
    }
    if (ended.result.error.code == "adapter_not_loaded")
    {
        open->second.dispatched = false;
        carry_out(*owned,
                  on_adapter_missing(owned->scheduler, shares_, ended.request, now));
        return;
    }
    note_outcome(*owned, open->second.request, ended.result, now);
    {
        const std::lock_guard lock(published_mutex_);
        served_[open->second.request.partner] += ended.result.tokens;
    }
    const auto running = owned->scheduler.running.find(ended.request);
    if (running != owned->scheduler.running.end())
    {
        const double estimate = static_cast<double>(running->second.tokens.value);
        charge(shares_, running->second.partner, ended.result.tokens - estimate);
    }
    const scheduler_actions actions =
        on_finished(owned->scheduler, shares_, ended.request, now);
    finish(ended.request, ended.result);
    carry_out(*owned, actions);
}

// Keeps the crash ledger before the caller learns of the failure, so that the request
// can't come back before it is suspected.
void owner_duty::note_outcome(owned_endpoint& owned, const execute_request& request,
                              execute_event& result, instant now)
{
    if (result.run == verdict::completed)
        note_completed(crashes_, request.fingerprint);
    if (result.error.code != "endpoint_crashed")
        return;
    if (now - owned.last_crash > crash_window)
    {
        owned.last_crash = now;
        note_crash(crashes_, running_fingerprints(owned), now);
        context_.metrics.add("pollenhaven_endpoint_crashes_total");
        log_line(log_level::warning, "endpoint crashed",
                 {{"endpoint", owned.entry.id.value}});
        news_ = true;
        publish();
    }
    const auto suspect = crashes_.suspects.find(request.fingerprint);
    if (suspect != crashes_.suspects.end())
        result.crashes = suspect->second.crashes;
}

void owner_duty::handle(const permit_event& granted)
{
    owned_endpoint* owned = find(granted.endpoint, granted.epoch);
    if (owned == nullptr)
        return;
    carry_out(*owned,
              on_permit(owned->scheduler, shares_, granted.adapter, boot_clock::now()));
}

void owner_duty::handle(const order_event& ended)
{
    owned_endpoint* owned = find(ended.endpoint, ended.epoch);
    if (owned == nullptr)
        return;
    const instant now = boot_clock::now();
    const bool done = ended.status == order_status::done;
    if (!done)
    {
        // What the slots hold is not certain any more: a later report has to tell.
        owned->resync_at = now + context_.settings.report_lag;
        log_line(log_level::warning, ended.is_load ? "load failed" : "unload failed",
                 {{"endpoint", owned->entry.id.value}, {"adapter", ended.adapter.value}});
    }
    context_.metrics.add(ended.is_load ? "pollenhaven_loads_total"
                                       : "pollenhaven_unloads_total");
    carry_out(*owned,
              ended.is_load
                  ? on_load_ended(owned->scheduler, shares_, ended.adapter, done, now)
                  : on_unload_ended(owned->scheduler, shares_, ended.adapter, done, now));
}

void owner_duty::handle(const report_event& reported)
{
    owned_endpoint* owned = find(reported.endpoint, reported.epoch);
    if (owned == nullptr)
        return;
    const instant now = boot_clock::now();
    owned->report_pending = false;
    owned->fencing_raised = reported.fencing_raised;
    if (!reported.report || !owned->fencing_raised)
        return;
    const engine_report& report = *reported.report;
    endpoint_scheduler& scheduler = owned->scheduler;
    const bool restarted = !owned->start_id.empty() && owned->start_id != report.start_id;
    owned->start_id = report.start_id;
    if (restarted)
    {
        log_line(log_level::warning, "engine restarted empty",
                 {{"endpoint", owned->entry.id.value}});
        carry_out(*owned, on_restarted(scheduler, shares_, now));
        owned->resync_at = now + context_.settings.report_lag;
    }
    // Until then the report may describe a moment before we became the owner.
    if (now - owned->owned_since < context_.settings.report_lag)
        return;
    const bool resync = owned->resync_at && now >= *owned->resync_at;
    if (!scheduler.reconciled || resync)
    {
        owned->resync_at.reset();
        carry_out(*owned, on_reconciled(scheduler, shares_, report.slots,
                                        report.max_batch, report.resident, now));
        news_ = true;
    }
    on_report(scheduler, report.resident);
}

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
            execute_event result = is_engine
                                       ? generate(engine, endpoint, epoch, request, sink,
                                                  cancelled, superseded)
                                       : call_service(service, endpoint, epoch, request);
            work.attributes = {{"endpoint", endpoint.value},
                               {"verdict", to_string(result.run)},
                               {"code", result.error.code},
                               {"tokens", std::to_string(result.tokens)}};
            context_.spans.record(std::move(work));
            post(ended_event{endpoint, epoch, request.id, reader, std::move(result)});
        });
    if (!queued)
        post(ended_event{endpoint, epoch, request.id, reader,
                         final_event(not_run("owner_overloaded", "too many jobs wait"))});
}

execute_event owner_duty::generate(const engine_client& engine,
                                   const endpoint_id& endpoint, ownership_epoch epoch,
                                   const execute_request& request, const event_sink& sink,
                                   const shared_flag& cancelled,
                                   const shared_flag& superseded)
{
    // The last moment before the request reaches the endpoint's socket.
    if (!context_.guard.may_act_on(endpoint, epoch))
        return final_event(not_run("ownership_lapsed", "the owner's lease has lapsed"));
    generate_request order;
    order.id = request.id;
    order.adapter = request.model;
    order.fencing = epoch;
    order.body = request.body;
    order.resume = request.resume;
    order.from_token = request.from_token;
    order.trace_parent = request.trace_parent;
    const generate_result made =
        engine.generate(order,
                        [&](const generated_token& token)
                        {
                            execute_event made_token;
                            made_token.position = token.position;
                            made_token.text = token.text;
                            return !*cancelled && sink(made_token);
                        });
    if (made.run == verdict::may_have_run && !*superseded)
        engine.cancel(request.id);
    execute_event result = final_event(made.error);
    result.run = made.run;
    result.adapter = made.adapter;
    result.finish_reason = made.finish_reason;
    result.tokens = made.tokens;
    return result;
}

execute_event owner_duty::call_service(const service_client& service,
                                       const endpoint_id& endpoint, ownership_epoch epoch,
                                       const execute_request& request)
{
    claim_wish wish;
    claim_decision claimed;
    if (!request.idempotent)
    {
        wish.key = call_key(context_.settings.region, request.service, request.key);
        wish.record.attempt = random_hex(attempt_id_bytes);
        wish.record.fingerprint = request.fingerprint;
        claimed = claims_.claim(wish, claim_patience);
        if (claimed.outcome == claim_outcome::answered_before)
        {
            execute_event recorded = final_event({verdict::completed, 200, "", "", {}});
            recorded.status = claimed.existing.status;
            recorded.body = claimed.existing.body;
            return recorded;
        }
        if (claimed.outcome != claim_outcome::granted)
            return final_event(refusal_for(claimed));
    }
    if (!context_.guard.may_act_on(endpoint, epoch))
    {
        if (!request.idempotent)
            claims_.release(wish.key, claimed.revision, record_patience);
        return final_event(not_run("ownership_lapsed", "the owner's lease has lapsed"));
    }
    service_call call;
    call.id = request.id;
    call.key = request.key;
    call.path = request.path;
    call.body = request.body;
    call.fencing = epoch;
    call.trace_parent = request.trace_parent;
    call.timeout = std::max(milliseconds(1000), request.time_left);
    const service_answer answer = service.call(call);
    if (!request.idempotent && answer.run == verdict::not_run)
        claims_.release(wish.key, claimed.revision, record_patience);
    if (!request.idempotent && answer.run == verdict::completed)
    {
        claim_record record = wish.record;
        record.state = claim_state::done;
        record.status = answer.status;
        record.body = answer.body.substr(0, recorded_body_limit);
        claims_.record_answer(wish.key, claimed.revision, record, record_patience);
    }
    execute_event result = final_event(answer.error);
    result.run = answer.run;
    result.status = answer.status;
    result.body = answer.body;
    return result;
}

void owner_duty::finish(const request_id& id, const execute_event& result)
{
    const auto found = open_.find(id);
    if (found == open_.end())
        return;
    const event_sink sink = std::move(found->second.sink);
    open_.erase(found);
    --open_count_;
    sink(result);
}

void owner_duty::reject(const request_id& id, const failure& reason)
{
    const auto found = open_.find(id);
    if (found == open_.end())
        return;
    span& waited = found->second.queue_span;
    waited.attributes = {{"refused", reason.code}};
    waited.end_ns = wall_clock_nanoseconds();
    context_.spans.record(waited);
    context_.metrics.add("pollenhaven_rejected_total{code=\"" + reason.code + "\"}");
    finish(id, final_event(reason));
}

owner_duty::owned_endpoint* owner_duty::find(const endpoint_id& endpoint,
                                             ownership_epoch epoch)
{
    const auto found = owned_.find(endpoint);
    if (found == owned_.end() || found->second.epoch != epoch)
        return nullptr;
    return &found->second;
}

std::set<std::string> owner_duty::running_fingerprints(const owned_endpoint& owned) const
{
    std::set<std::string> fingerprints;
    for (const auto& [id, queued] : owned.scheduler.running)
    {
        const auto open = open_.find(id);
        if (open != open_.end())
            fingerprints.insert(open->second.request.fingerprint);
    }
    return fingerprints;
}

std::string owner_duty::permit_id(const owned_endpoint& owned,
                                  const model_ref& adapter) const
{
    return context_.settings.id.value + "/" + owned.entry.id.value + "/" + adapter.value;
}

} // namespace pollenhaven
