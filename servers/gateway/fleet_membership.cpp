#include "servers/gateway/fleet_membership.hpp"

#include "core/json_text.hpp"
#include "policy/fleet/zone_relay.hpp"

namespace pollenhaven
{

namespace
{

constexpr const char* daemon_prefix = "pollenhaven/";
constexpr const char* member_prefix = "pollenhaven/members/";
constexpr const char* holder_prefix = "pollenhaven/orders/";
// Not the id of any daemon.
constexpr const char* unknown_holder = "(unknown)";

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr milliseconds store_timeout{900};
constexpr milliseconds write_timeout{1500};
constexpr milliseconds lease_retry{250};
// Delay of claims after a start, so that members can discover each other first. Without
// it, the daemon that starts first would claim all engines.
constexpr milliseconds first_claim_delay{1500};
// The store's limit for the entries of one transaction.
constexpr std::size_t max_transaction_entries = 32;
// Minimum time between two claims of the same engine, for example if the first one was
// not answered.
constexpr milliseconds claim_interval{2000};
// When a fleet starts, each daemon writes an entry; without a pause each of them would
// end a call of every daemon.
constexpr milliseconds member_watch_pause{200};

watch_timing member_timing()
{
    watch_timing timing;
    timing.pause = member_watch_pause;
    return timing;
}

std::string encode_holder(const gateway_context& context, const daemon_id& previous)
{
    return write_json({{"daemon", context.settings.id.value},
                       {"incarnation", context.incarnation.value},
                       {"previous", previous.value}});
}

// Returns a string field of an entry; empty if the field is missing or not a string.
std::string string_field(const nlohmann::json& entry, const char* field)
{
    if (!entry.is_object() || !entry.contains(field) || !entry[field].is_string())
        return "";
    return entry[field].get<std::string>();
}

// Returns a whole number of an entry; none if the field is missing or not one.
std::optional<int> integer_field(const nlohmann::json& entry, const char* field)
{
    if (!entry.is_object() || !entry.contains(field))
        return std::nullopt;
    try
    {
        return checked_count(entry[field]);
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

// Returns the cores that an entry states; none if it states no valid number.
std::optional<double> cores_field(const nlohmann::json& entry)
{
    constexpr double max_cores = 1024;
    if (!entry.is_object() || !entry.contains("cores"))
        return std::nullopt;
    try
    {
        return checked_number(entry["cores"], 0, max_cores);
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

std::optional<holder_record> decode_holder(const store_item& item)
{
    const nlohmann::json entry = parse_json_or_null(item.value);
    holder_record result;
    result.daemon = {string_field(entry, "daemon")};
    result.incarnation = {string_field(entry, "incarnation")};
    if (item.deleted || result.daemon.empty())
        return std::nullopt;
    result.revision = item.revision;
    result.era = item.era;
    result.previous = {string_field(entry, "previous")};
    return result;
}

// An entry of another writer doesn't tell who holds the engine. The holder that was known
// before may still send orders, so it counts as the holder until the next claim. Without
// one, the engine counts as taken over from a daemon that is gone.
holder_record holder_of_odd_entry(const holder_record* known, const store_item& item)
{
    holder_record result;
    result.daemon = {unknown_holder};
    if (known != nullptr)
        result = *known;
    result.incarnation = {};
    result.revision = item.revision;
    result.era = item.era;
    return result;
}

} // namespace

fleet_membership::fleet_membership(
    gateway_context& context, std::function<void(const endpoint_id&)> permission_changed)
    : context_(context), permission_changed_(std::move(permission_changed)),
      client_(context), watch_(context, daemon_prefix, member_timing(),
                               [this](const store_item& item) { on_item(item); }),
      started_(context.loop.now())
{
    member_view& self = context_.fleet.members[context_.settings.id];
    self.id = context_.settings.id;
    self.caller_address = context_.settings.caller_address;
    self.peer_address = context_.settings.peer_address;
    self.zone = context_.settings.zone;
    self.cores = context_.settings.cores;
    watch_.retain_items();
    watch_.on_resync(
        [this]
        {
            restart_takeover_timers(context_.fleet, boot_clock::now());
            if (!member_entry_written_ && lease_ != 0)
                send_lease_call();
        });
    renew_lease();
}

const order_permission*
fleet_membership::permission_for(const endpoint_id& endpoint) const
{
    const auto found = permissions_.find(endpoint);
    return found == permissions_.end() ? nullptr : &found->second;
}

bool fleet_membership::may_order_now(const endpoint_id& endpoint) const
{
    const order_permission* const permission = permission_for(endpoint);
    // The clock is read here, because the process may have been paused since the loop set
    // now().
    return permission != nullptr && !is_cut_off(context_.links) &&
           handled_era_ == context_.fleet.era &&
           !unconfirmed_permissions_.contains(endpoint) &&
           may_order(*permission, lease_validity_, context_.settings.lease,
                     boot_clock::now());
}

takeover_timing fleet_membership::timing() const
{
    takeover_timing result;
    result.lease_time = context_.settings.lease.time_to_live;
    result.min_order_gap = context_.settings.max_order_delay;
    return result;
}

void fleet_membership::renew_lease()
{
    context_.loop.schedule_after(context_.settings.lease_renewal_interval,
                                 [this] { renew_lease(); });
    handle_new_era();
    send_lease_call();
}

void fleet_membership::send_lease_call()
{
    if (lease_call_pending_)
        return;
    lease_call_pending_ = true;
    const instant sent = boot_clock::now();
    if (lease_ == 0)
        client_.call(context_.dialect.lease_call(context_.settings.lease.time_to_live),
                     store_timeout,
                     [this, sent](const http_result& result)
                     { on_lease_granted(result, sent); });
    else
        client_.call(context_.dialect.keep_lease_call(lease_), store_timeout,
                     [this, sent](const http_result& result)
                     { on_lease_renewed(result, sent); });
}

void fleet_membership::handle_new_era()
{
    if (handled_era_ == context_.fleet.era)
        return;
    const bool was_valid =
        handled_era_.value > 0 &&
        is_lease_valid(lease_validity_, context_.settings.lease, boot_clock::now());
    handled_era_ = context_.fleet.era;
    if (!context_.era_seen_at)
        return;
    for (const auto& [endpoint, permission] : permissions_)
        unconfirmed_permissions_.insert(endpoint);
    if (!was_valid)
        for (const endpoint_id& endpoint : std::exchange(unconfirmed_permissions_, {}))
        {
            permissions_.erase(endpoint);
            permission_changed_(endpoint);
        }
    context_.log.write(
        "lease renounced",
        {{"lease", static_cast<std::int64_t>(lease_)},
         {"era", static_cast<std::int64_t>(handled_era_.value)},
         {"permissions", static_cast<std::int64_t>(unconfirmed_permissions_.size())}});
    lease_ = 0;
    lease_validity_ = {};
    member_entry_written_ = false;
    restart_takeover_timers(context_.fleet, boot_clock::now());
}

void fleet_membership::on_lease_granted(const http_result& result, instant sent)
{
    lease_call_pending_ = false;
    handle_new_era();
    if (!result.has_response || result.status != status_ok)
        return;
    try
    {
        lease_ = context_.dialect.read_lease(result.body).id;
    }
    catch (const dialect_error& error)
    {
        context_.log.write("lease answer malformed", {{"reason", error.what()}});
        return;
    }
    record_response(context_.store, context_.loop.now());
    context_.log.write("lease granted", {{"lease", static_cast<std::int64_t>(lease_)}});
    write_member_entry(sent);
}

void fleet_membership::on_lease_renewed(const http_result& result, instant sent)
{
    lease_call_pending_ = false;
    handle_new_era();
    if (lease_ == 0)
        return send_lease_call();
    if (!result.has_response)
        return;
    if (result.status == status_ok || result.status == status_not_found)
        record_response(context_.store, context_.loop.now());
    if (result.status == status_ok)
    {
        if (member_entry_written_)
            confirm_lease(lease_validity_, sent);
        else
            write_member_entry(sent);
        return;
    }
    if (result.status == status_not_found)
        on_lease_lost();
}

// Permissions are kept, but no order may be sent until the member entry is written again.
// That transaction fails if another daemon has taken over one of the engines meanwhile.
void fleet_membership::on_lease_lost()
{
    context_.log.write("lease lost", {{"lease", static_cast<std::int64_t>(lease_)}});
    lease_ = 0;
    lease_validity_ = {};
    member_entry_written_ = false;
}

void fleet_membership::write_member_entry(instant lease_sent)
{
    // The entry that the store has must be known first, and after a restore the claims,
    // so that the entry is written on the condition that they still hold.
    if (!watch_.is_loaded() || entry_write_pending_)
        return;
    const nlohmann::json value{{"callers", context_.settings.caller_address.value},
                               {"peers", context_.settings.peer_address.value},
                               {"zone", context_.settings.zone},
                               {"cores", context_.settings.cores},
                               {"incarnation", context_.incarnation.value},
                               {"messages", message_version}};
    store_transaction transaction;
    const std::string key = member_prefix + context_.settings.id.value;
    transaction.expected.push_back({key, member_entry_revision_});
    transaction.writes.push_back({key, write_json(value), lease_});
    for (const auto& [endpoint, permission] : permissions_)
        if (transaction.expected.size() + 1 < max_transaction_entries)
            transaction.expected.push_back(
                {holder_prefix + endpoint.value, holders_.at(endpoint).revision});
    entry_write_pending_ = true;
    client_.call(context_.dialect.transaction_call(transaction), write_timeout,
                 [this, lease_sent, era = handled_era_](const http_result& result)
                 {
                     entry_write_pending_ = false;
                     handle_new_era();
                     if (handled_era_ == era)
                         on_member_entry_written(result, lease_sent);
                 });
}

void fleet_membership::on_member_entry_written(const http_result& result,
                                               instant lease_sent)
{
    member_entry_written_ = result.has_response && result.status == status_ok;
    if (result.has_response && result.status == status_not_found)
        on_lease_lost();
    if (!member_entry_written_)
        return;
    try
    {
        written_entry_revision_ = context_.dialect.read_transaction(result.body);
    }
    catch (const dialect_error& error)
    {
        context_.log.write("member entry answer malformed", {{"reason", error.what()}});
    }
    confirm_lease(lease_validity_, lease_sent);
}

void fleet_membership::on_own_entry(const store_item& item)
{
    member_entry_revision_ = item.deleted ? store_revision{} : item.revision;
    if (!item.deleted || !member_entry_written_ ||
        item.revision < written_entry_revision_)
        return;
    context_.log.write("member entry lost",
                       {{"lease", static_cast<std::int64_t>(lease_)}});
    member_entry_written_ = false;
    lease_validity_ = {};
    send_lease_call();
}

bool fleet_membership::is_engine(const endpoint_view& endpoint) const
{
    if (context_.routing == nullptr)
        return false;
    const auto service = context_.routing->services.find(endpoint.record.service);
    return service != context_.routing->services.end() && service->second.engine;
}

void fleet_membership::run_periodic_work()
{
    handle_new_era();
    const instant now = context_.loop.now();
    if (store_silence(context_) > context_.settings.lease.margin)
    {
        const std::optional<instant> confirmed_until =
            outage_confirmed_until(context_.fleet, now);
        if (confirmed_until && member_entry_written_)
            extend_during_outage(lease_validity_, context_.settings.lease,
                                 *confirmed_until, boot_clock::now());
    }
    handle_outage_end();
    if (!member_entry_written_ || !watch_.is_loaded() || context_.leaving)
        return;
    if (is_cut_off(context_.links))
        return give_up_engines();
    for (const auto& [id, endpoint] : context_.fleet.endpoints)
    {
        const auto found = holders_.find(id);
        const holder_record* const holder =
            found == holders_.end() ? nullptr : &found->second;
        if (!is_engine(endpoint) || endpoint.draining || endpoint.gone_at)
            continue;
        if (permissions_.contains(id))
        {
            // Once the permission is valid, the previous holder no longer matters, and
            // the claim is written again without it.
            if (is_taken_over(*holder) && now >= permissions_.at(id).valid_from)
                claim(id, holder);
            continue;
        }
        const bool is_own = holder != nullptr && holder->daemon == context_.settings.id;
        if (!is_own && now - started_ < first_claim_delay)
            continue;
        const auto unheld_since = unheld_since_.try_emplace(id, now).first;
        const auto member = holder == nullptr
                                ? context_.fleet.members.end()
                                : context_.fleet.members.find(holder->daemon);
        std::optional<instant> lease_ended_at;
        if (holder != nullptr)
            lease_ended_at = member == context_.fleet.members.end()
                                 ? std::optional<instant>(unheld_since->second)
                                 : member->second.lease_ended_at;
        if (should_claim(context_.fleet, id, holder, lease_ended_at, unheld_since->second,
                         timing(), now))
            claim(id, holder);
    }
}

void fleet_membership::give_up_engines()
{
    const instant now = context_.loop.now();
    if (permissions_.empty() ||
        now - *context_.links.cut_off_since < context_.settings.max_order_delay ||
        now - given_up_at_ < claim_interval)
        return;
    given_up_at_ = now;
    store_transaction transaction;
    for (const auto& [endpoint, permission] : permissions_)
    {
        if (transaction.expected.size() + transaction.removals.size() + 2 >
            max_transaction_entries)
            break;
        const std::string key = holder_prefix + endpoint.value;
        transaction.expected.push_back({key, holders_.at(endpoint).revision});
        transaction.removals.push_back(key);
    }
    context_.log.write(
        "engines given up",
        {{"engines", static_cast<std::int64_t>(transaction.removals.size())},
         {"reason", "cut off from endpoints"}});
    // The result is ignored: the watch shows which keys are gone.
    client_.call(context_.dialect.transaction_call(transaction), write_timeout,
                 [](const http_result&) {});
}

void fleet_membership::claim(const endpoint_id& endpoint, const holder_record* holder)
{
    const instant now = context_.loop.now();
    const auto last = last_claimed_at_.find(endpoint);
    if (last != last_claimed_at_.end() && now - last->second < claim_interval)
        return;
    last_claimed_at_[endpoint] = now;
    const auto permission = permissions_.find(endpoint);
    const bool permission_valid =
        permission != permissions_.end() && now >= permission->second.valid_from;
    const daemon_id previous =
        previous_holder_for_claim(context_.fleet, holder, permission_valid);
    store_transaction transaction;
    const std::string key = holder_prefix + endpoint.value;
    transaction.expected.push_back(
        {key, holder == nullptr ? store_revision{} : holder->revision});
    if (holder != nullptr && holder->daemon != context_.settings.id)
        transaction.expected.push_back({member_prefix + holder->daemon.value, {}});
    transaction.writes.push_back({key, encode_holder(context_, previous), 0});
    // The result is ignored: the watch shows who holds the key, even if the response is
    // lost.
    client_.call(context_.dialect.transaction_call(transaction), write_timeout,
                 [](const http_result&) {});
}

void fleet_membership::on_item(const store_item& item)
{
    const std::string members = member_prefix;
    const std::string holders = holder_prefix;
    if (item.key.starts_with(members))
        on_member({item.key.substr(members.size())}, item);
    else if (item.key.starts_with(holders))
        on_holder({item.key.substr(holders.size())}, item);
    else
        other_item_changed_(item);
}

void fleet_membership::on_member(const daemon_id& id, const store_item& item)
{
    if (id == context_.settings.id)
        on_own_entry(item);
    member_view& member = context_.fleet.members[id];
    member.id = id;
    if (item.deleted)
    {
        member.leased = false;
        member.lease_ended_at = boot_clock::now();
        context_.log.write("member gone", {{"member", id.value}});
        return;
    }
    const nlohmann::json entry = parse_json_or_null(item.value);
    const network_address callers{string_field(entry, "callers")};
    const network_address peers{string_field(entry, "peers")};
    try
    {
        to_socket_address(callers);
        to_socket_address(peers);
    }
    catch (const std::runtime_error& error)
    {
        context_.log.write("member entry malformed",
                           {{"key", item.key}, {"reason", error.what()}});
        return;
    }
    member.caller_address = callers;
    member.peer_address = peers;
    member.zone = string_field(entry, "zone");
    // Daemons of earlier releases state neither of these.
    member.cores = cores_field(entry).value_or(context_.settings.cores);
    member.message_version = integer_field(entry, "messages").value_or(1);
    member.leased = true;
    member.known_from_store = true;
    member.lease_ended_at.reset();
    context_.log.write("member seen", {{"member", id.value}});
}

void fleet_membership::handle_outage_end()
{
    if (context_.store.outage_ended == handled_outage_end_)
        return;
    handled_outage_end_ = context_.store.outage_ended;
    restart_takeover_timers(context_.fleet, boot_clock::now());
}

void fleet_membership::grant_own_permission(const endpoint_id& endpoint,
                                            const holder_record& holder)
{
    handle_outage_end();
    const auto member = context_.fleet.members.find(holder.previous);
    const instant now = boot_clock::now();
    // If this daemon didn't observe the end of the previous holder's lease, that lease
    // may have ended only now.
    const instant lease_ended_at =
        member != context_.fleet.members.end() && member->second.lease_ended_at
            ? *member->second.lease_ended_at
            : now;
    order_permission& permission = permissions_[endpoint];
    permission =
        make_order_permission(fencing_token({holder.era, holder.revision}),
                              is_taken_over(holder), lease_ended_at, timing(), now);
    if (context_.era_seen_at)
        delay_after_restore(permission, *context_.era_seen_at, timing());
}

void fleet_membership::on_holder(const endpoint_id& endpoint, const store_item& item)
{
    handle_new_era();
    const auto known = holders_.find(endpoint);
    std::optional<holder_record> entry = decode_holder(item);
    if (!entry && !item.deleted)
    {
        context_.log.write("holder entry malformed", {{"key", item.key}});
        entry =
            holder_of_odd_entry(known == holders_.end() ? nullptr : &known->second, item);
    }
    const std::uint64_t token = fencing_token(position_of(item));
    const bool is_own = entry && entry->daemon == context_.settings.id &&
                        entry->incarnation == context_.incarnation;
    const bool continues = unconfirmed_permissions_.erase(endpoint) > 0 && is_own &&
                           known != holders_.end() &&
                           known->second.revision == entry->revision;
    const bool had_permission = !continues && permissions_.erase(endpoint) > 0;
    if (continues)
        permissions_.at(endpoint).token = token;
    if (entry)
        holders_[endpoint] = *entry;
    else
        holders_.erase(endpoint);
    // The entry of the holder may arrive before that of the endpoint. The endpoint counts
    // as gone until its own entry arrives.
    const bool endpoint_known = context_.fleet.endpoints.contains(endpoint);
    endpoint_view& view = context_.fleet.endpoints[endpoint];
    if (!endpoint_known)
        view.gone_at = instant{};
    view.holder = entry ? entry->daemon : daemon_id{};
    view.holder_token = token;
    view.inventory_sequence = 0;
    if (is_own && !continues)
        grant_own_permission(endpoint, *entry);
    context_.log.write("holder changed",
                       {{"endpoint", endpoint.value},
                        {"holder", entry ? entry->daemon.value : "none"},
                        {"token", static_cast<std::int64_t>(token)},
                        {"own", std::int64_t{is_own}}});
    if ((is_own && !continues) || had_permission)
        permission_changed_(endpoint);
}

void fleet_membership::release_lease()
{
    lease_validity_ = {};
    if (lease_ != 0)
        client_.call(context_.dialect.end_lease_call(lease_), store_timeout,
                     [](const http_result&) {});
    lease_ = 0;
}

} // namespace pollenhaven
