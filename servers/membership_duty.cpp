#include "servers/membership_duty.hpp"

#include "core/log.hpp"
#include "core/random_id.hpp"

#include <algorithm>
#include <utility>

namespace pollenhaven
{

namespace
{

constexpr milliseconds step_interval{500};
constexpr milliseconds instance_list_interval{1000};
// The lease is renewed this many times within its time to live.
constexpr int renewals_per_lifetime = 5;
// Peers asked at once to renew a lease that this daemon can't renew itself.
constexpr std::size_t renewal_peers = 3;
constexpr std::size_t write_id_bytes = 8;

bool starts_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

membership_duty::membership_duty(
    daemon_context& context, peer_transport& transport,
    std::function<std::map<endpoint_id, bool>()> idle_endpoints)
    : context_(context), transport_(transport),
      idle_endpoints_(std::move(idle_endpoints)), thread_([this] { run(); })
{
}

membership_duty::~membership_duty()
{
    context_.stopping = true;
    thread_.join();
}

void membership_duty::run()
{
    while (!context_.stopping)
    {
        const instant started = boot_clock::now();
        try
        {
            step();
        }
        catch (const key_value_error& error)
        {
            log_line(log_level::warning, "key-value service gave no answer",
                     {{"error", error.what()}});
            view_.service_answering_since = instant{};
            view_.lease_missing_since.clear();
            context_.cluster.update([](cluster_snapshot& known)
                                    { known.key_value_answering = false; });
            ask_peers_to_renew();
        }
        catch (const std::runtime_error& error)
        {
            log_line(log_level::error, "membership step failed",
                     {{"error", error.what()}});
        }
        read_instances();
        std::this_thread::sleep_until(started + step_interval);
    }
}

void membership_duty::step()
{
    const instant sent = boot_clock::now();
    const bool kept = keep_lease(sent);
    read_cluster();
    if (view_.service_answering_since == instant{})
        view_.service_answering_since = sent;
    // The ownership was read after the lease was confirmed, so a daemon that woke from a
    // long pause learns that its endpoints went to others before it may act again.
    if (kept)
        context_.guard.confirm(sent);
    const instant now = boot_clock::now();
    note_missing_leases(now);
    claim_store_holder();
    change_ownership(now);
}

bool membership_duty::keep_lease(instant sent)
{
    const lease_timing& timing = context_.settings.lease;
    const bool due =
        sent - last_keep_alive_ >= timing.time_to_live / renewals_per_lifetime;
    const bool alive = lease_ && due && context_.key_value.keep_alive(*lease_);
    if (lease_ && !due)
        return false;
    if (!alive)
    {
        const seconds time_to_live =
            std::chrono::duration_cast<seconds>(timing.time_to_live);
        lease_ = context_.key_value.grant_lease(std::max(seconds(1), time_to_live));
        lease_number_ = lease_->value;
        written_ = {};
    }
    last_keep_alive_ = sent;
    register_member();
    return true;
}

member_record membership_duty::self_record() const
{
    member_record self;
    self.id = context_.settings.id;
    self.incarnation = context_.incarnation;
    self.caller_address = context_.settings.caller_address;
    self.peer_address = context_.settings.advertised_peer_address;
    self.zone = context_.settings.zone;
    self.leaving = context_.cluster.snapshot()->self_leaving;
    return self;
}

void membership_duty::register_member()
{
    const member_record self = self_record();
    if (written_.incarnation == self.incarnation && written_.leaving == self.leaving)
        return;
    transaction write;
    write.puts.push_back(
        {member_key(context_.settings, self.id), encode_member(self), lease_});
    context_.key_value.commit(write);
    written_ = self;
    log_line(log_level::info, "member record written",
             {{"leaving", self.leaving ? "true" : "false"}});
}

void membership_duty::read_cluster()
{
    const std::string prefix = cluster_prefix(context_.settings);
    const std::string members = prefix + "members/";
    const range_result range = context_.key_value.range(prefix);
    std::map<daemon_id, member_record> found;
    std::optional<ownership_document> ownership;
    store_revision ownership_revision;
    daemon_id holder;
    for (const stored_value& value : range.values)
    {
        if (starts_with(value.key, members))
        {
            const member_record member = decode_member(value.value);
            found[member.id] = member;
        }
        else if (value.key == ownership_key(context_.settings))
        {
            ownership = decode_ownership(value.value);
            ownership_revision = value.modified;
        }
        else if (value.key == store_holder_key(context_.settings))
            holder = {value.value};
    }
    context_.cluster.update(
        [&](cluster_snapshot& known)
        {
            known.members = found;
            std::erase_if(
                known.known_members, [&](const auto& entry)
                { return !context_.peers.is_heard(entry.first, boot_clock::now()); });
            for (const auto& [id, member] : found)
                known.known_members[id] = member;
            known.store_holder = holder;
            known.key_value_answering = true;
            if (ownership)
                adopt_ownership(known, *ownership, ownership_revision);
        });
}

void membership_duty::note_missing_leases(instant now)
{
    const std::shared_ptr<const cluster_snapshot> known = context_.cluster.snapshot();
    for (const auto& [endpoint, record] : known->ownership.endpoints)
    {
        if (record.owner.empty())
            continue;
        if (known->members.count(record.owner) > 0)
            view_.lease_missing_since.erase(record.owner);
        else
            view_.lease_missing_since.emplace(record.owner, now);
    }
}

void membership_duty::claim_store_holder()
{
    const std::shared_ptr<const cluster_snapshot> known = context_.cluster.snapshot();
    if (!known->store_holder.empty() || known->self_leaving || !lease_)
        return;
    const std::string key = store_holder_key(context_.settings);
    transaction write;
    write.checks.push_back({key, {0}});
    write.puts.push_back({key, context_.settings.id.value, lease_});
    context_.key_value.commit(write);
}

ownership_view membership_duty::make_view() const
{
    const std::shared_ptr<const cluster_snapshot> known = context_.cluster.snapshot();
    ownership_view view = view_;
    view.self = context_.settings.id;
    view.self_incarnation = context_.incarnation;
    view.self_leaving = known->self_leaving;
    view.self_started = started_;
    view.members = known->members;
    view.endpoints = known->document->endpoints;
    view.current = known->ownership;
    view.instances = known->instances;
    view.idle = idle_endpoints_();
    view.take_over_delay = context_.settings.take_over_delay;
    return view;
}

void membership_duty::change_ownership(instant now)
{
    const ownership_view view = make_view();
    std::set<endpoint_id> handing_over;
    for (const auto& [endpoint, successor] : handovers(view))
        handing_over.insert(endpoint);
    if (handing_over != context_.cluster.snapshot()->handing_over)
        context_.cluster.update([&](cluster_snapshot& known)
                                { known.handing_over = handing_over; });
    std::optional<ownership_document> planned = plan_ownership(view, now);
    if (!planned)
        return;
    planned->write_id = random_hex(write_id_bytes);
    write_ownership(*planned);
}

void membership_duty::write_ownership(const ownership_document& planned)
{
    const std::string key = ownership_key(context_.settings);
    transaction write;
    write.checks.push_back({key, context_.cluster.snapshot()->ownership_revision});
    write.puts.push_back({key, encode_ownership(planned), std::nullopt});
    // If the reply is lost, the next read tells what the service holds; the incarnation
    // and epoch in it say whether this write took effect.
    const transaction_result result = context_.key_value.commit(write);
    context_.metrics.add(result.succeeded ? "pollenhaven_ownership_writes_total"
                                          : "pollenhaven_ownership_conflicts_total");
    if (!result.succeeded)
        return;
    context_.cluster.update([&](cluster_snapshot& known)
                            { adopt_ownership(known, planned, result.revision); });
}

void membership_duty::read_instances()
{
    const instant now = boot_clock::now();
    const std::shared_ptr<const cluster_snapshot> before = context_.cluster.snapshot();
    const bool is_listed =
        before->instances && before->instances->count(context_.settings.id.value) > 0;
    if (is_listed && now - last_instances_ < instance_list_interval)
        return;
    last_instances_ = now;
    std::optional<std::map<std::string, instance_state>> listed;
    try
    {
        listed = context_.instances.fetch();
    }
    catch (const std::runtime_error& error)
    {
        log_line(log_level::warning, "instance list gave no answer",
                 {{"error", error.what()}});
    }
    context_.cluster.update([&](cluster_snapshot& known) { known.instances = listed; });
    note_absent_owners(listed, now);
}

void membership_duty::note_absent_owners(
    const std::optional<std::map<std::string, instance_state>>& listed, instant now)
{
    // A list that lacks this daemon too is not complete and proves nothing.
    if (!listed || listed->count(context_.settings.id.value) == 0)
    {
        view_.absent_since.clear();
        return;
    }
    const std::shared_ptr<const cluster_snapshot> known = context_.cluster.snapshot();
    for (const auto& [endpoint, record] : known->ownership.endpoints)
    {
        if (listed->count(record.owner.value) > 0)
            view_.absent_since.erase(record.owner);
        else
            view_.absent_since.emplace(record.owner, now);
    }
}

void membership_duty::ask_peers_to_renew()
{
    const std::shared_ptr<const cluster_snapshot> known = context_.cluster.snapshot();
    const instant sent = boot_clock::now();
    const renew_request question{{lease_number_}, known->ownership_revision};
    const store_revision ours = known->ownership_revision;
    std::size_t asked = 0;
    for (const auto& [id, member] : known->known_members)
    {
        if (id == context_.settings.id || !context_.peers.is_heard(id, sent))
            continue;
        if (++asked > renewal_peers)
            break;
        transport_.call(member.peer_address, renew_path, encode(question),
                        [this, sent, ours](const peer_event& event)
                        {
                            if (event.what != peer_event::kind::message)
                                return;
                            const renew_answer answer =
                                decode_renew_answer(event.message);
                            // A peer that knows newer ownership vouches for nothing.
                            if (answer.ownership_revision > ours)
                                return;
                            if (answer.service_answered && answer.lease_alive)
                                context_.guard.confirm(sent);
                            if (!answer.service_answered)
                                context_.guard.attest(sent);
                        });
    }
}

renew_answer membership_duty::renew_for_peer(const renew_request& request)
{
    renew_answer answer;
    try
    {
        answer.lease_alive = context_.key_value.keep_alive(request.lease);
        answer.service_answered = true;
    }
    catch (const key_value_error&)
    {
        answer.service_answered = false;
    }
    answer.ownership_revision = context_.cluster.snapshot()->ownership_revision;
    return answer;
}

void membership_duty::deregister()
{
    transaction write;
    write.deletes.push_back(member_key(context_.settings, context_.settings.id));
    if (context_.cluster.snapshot()->store_holder == context_.settings.id)
        write.deletes.push_back(store_holder_key(context_.settings));
    try
    {
        context_.key_value.commit(write);
    }
    catch (const key_value_error& error)
    {
        log_line(log_level::warning, "member record not removed; its lease will lapse",
                 {{"error", error.what()}});
    }
}

} // namespace pollenhaven
