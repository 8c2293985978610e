#include "servers/owner_duty.hpp"

#include "core/log.hpp"
#include "policy/adapter_slots.hpp"
#include "servers/endpoint_digests.hpp"

#include <algorithm>
#include <utility>

namespace pollenhaven
{

namespace
{

constexpr std::size_t ring_capacity = 16384;
constexpr milliseconds tick_interval{50};
// Streams that break within this time after a crash belong to it.
constexpr milliseconds crash_window{3000};
// How long a request whose receiver's connection was lost is kept for it to come back.
constexpr milliseconds resume_patience{10000};

queued_request to_queued(const execute_request& request, const patience_limits& patience,
                         instant now)
{
    queued_request queued;
    queued.id = request.id;
    // Plain services have no adapters: their requests name the empty one, always ready.
    queued.model = request.service.empty() ? request.model : model_ref{};
    queued.partner = request.partner;
    queued.priority = request.priority;
    queued.tokens = request.tokens;
    queued.arrived = now;
    queued.start_by = now + patience_for(request.priority, request.time_left, patience);
    return queued;
}

} // namespace

owner_duty::owner_duty(daemon_context& context, store_duty& store, claim_duty& claims,
                       std::function<void()> on_news)
    : context_(context), store_(store), on_news_(std::move(on_news)),
      events_(ring_capacity), caller_(context, claims),
      jobs_(context.settings.dispatch_threads), thread_([this] { run(); })
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
    sink(final_event(
        not_run_failure("owner_overloaded", "the owner's event ring is full")));
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
        const bool due = now - last_tick_ >= tick_interval;
        if (due)
            tick(now);
        // Others read what is published a few times a second; news can't wait.
        if (due || news_)
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

// Work that partners received on other owners counts against their shares here too.
void owner_duty::charge_peers()
{
    const std::map<partner_id, double> total =
        context_.peers.served_by_others(context_.settings.id);
    for (const auto& [partner, tokens] : total)
    {
        double& counted = peer_work_counted_[partner];
        if (tokens > counted)
            charge(shares_, partner, tokens - counted);
        counted = tokens;
    }
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
        reject(request.id,
               not_run_failure("not_owner", "endpoint " + request.endpoint.value +
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
            not_run_failure("suspect_busy", "another request under suspicion is running");
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
    reject(id, not_run_failure("cancelled", "the caller gave the request up"));
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
