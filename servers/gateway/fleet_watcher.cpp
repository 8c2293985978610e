#include "servers/gateway/fleet_watcher.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pollenhaven
{

namespace
{

// Endpoints whose entries expired during a store outage register again within 2 s of its
// end; the rest covers the delay of the watch.
constexpr milliseconds registration_grace{2300};
// Endpoint entries change often. A change is detected after at most this pause and the
// time of one call, well within the 2 s in which requests to a draining endpoint must
// stop.
constexpr milliseconds endpoint_watch_pause{1200};
// How long the record of a removed endpoint is kept, for requests that are still running
// there.
constexpr milliseconds removed_record_lifetime{20000};
// The store removes the entry of a silent endpoint after three of its heartbeats, which
// are about 1.2 s apart. An entry that outlives this time in a restored store is of an
// endpoint that is up.
constexpr milliseconds restored_entry_wait{5000};

watch_timing endpoint_timing()
{
    watch_timing timing;
    timing.pause = endpoint_watch_pause;
    return timing;
}

watch_timing operator_timing()
{
    watch_timing timing;
    timing.leading_wait = leading_watch_wait;
    return timing;
}

bool differs(const endpoint_record& left, const endpoint_record& right)
{
    const auto compared = [](const endpoint_record& record)
    {
        return std::tie(record.id, record.service, record.address, record.zone,
                        record.software, record.slots, record.draining, record.started_ms,
                        record.inventory.models);
    };
    return compared(left) != compared(right) ||
           left.remaining.has_value() != right.remaining.has_value();
}

void apply_entry_adapters(endpoint_view& view, const endpoint_record& record, instant now)
{
    view.adapters.clear();
    for (const versioned_adapter& held : record.inventory.adapters)
        view.adapters[held.adapter] = {held.version, now, {}, 0, true};
}

} // namespace

fleet_watcher::fleet_watcher(gateway_context& context, endpoint_handler restarted,
                             endpoint_handler gone)
    : context_(context), restarted_(std::move(restarted)), gone_(std::move(gone)),
      operator_watch_(context, context.dialect.layout.operator_prefix, operator_timing(),
                      [this](const store_item& item) { on_operator_item(item); }),
      endpoint_watch_(context, context.dialect.layout.endpoint_prefix, endpoint_timing(),
                      [this](const store_item& item) { on_endpoint(item); })
{
    for (store_watch* watch : watches())
        watch->retain_items();
    endpoint_watch_.pass_on([this](const store_item& item)
                            { return is_new_entry(item); });
}

bool fleet_watcher::is_new_entry(const store_item& item)
{
    if (item.deleted)
    {
        passed_on_.erase(item.key);
        return true;
    }
    try
    {
        const endpoint_record record = context_.dialect.read_endpoint(item);
        const auto before = passed_on_.find(item.key);
        const bool is_new = before == passed_on_.end() || differs(before->second, record);
        passed_on_[item.key] = record;
        return is_new;
    }
    catch (const std::runtime_error&)
    {
        // The receivers log it as well.
        passed_on_.erase(item.key);
        return true;
    }
}

void fleet_watcher::on_operator_item(const store_item& item)
{
    const store_layout& layout = context_.dialect.layout;
    try
    {
        if (item.deleted)
            return;
        if (item.key == layout.configuration_key)
            on_configuration(item);
        else if (item.key.starts_with(layout.version_prefix))
            on_version(item);
    }
    catch (const dialect_error& error)
    {
        context_.log.write("operator entry malformed",
                           {{"key", item.key}, {"reason", error.what()}});
    }
}

void fleet_watcher::on_configuration(const store_item& item)
{
    const auto table =
        std::make_shared<const routing_table>(context_.dialect.read_routing(item.value));
    const bool newer =
        context_.routing == nullptr || table->version > context_.routing->version;
    context_.log.write("configuration",
                       {{"version", static_cast<std::int64_t>(table->version.value)},
                        {"outcome", newer ? "in force" : "older than the one in force"}});
    if (newer)
        context_.routing = table;
}

void fleet_watcher::on_version(const store_item& item)
{
    const versioned_adapter entry = context_.dialect.read_version(item.value).adapter;
    if (entry.adapter.empty())
        return;
    known_version& current = context_.fleet.versions[entry.adapter];
    if (entry.version <= current.version)
        return;
    current = {entry.version, context_.loop.now()};
    context_.log.write("adapter version",
                       {{"adapter", entry.adapter.value},
                        {"version", static_cast<std::int64_t>(entry.version.value)}});
}

void fleet_watcher::on_endpoint(const store_item& item)
{
    const std::string& prefix = context_.dialect.layout.endpoint_prefix;
    const endpoint_id id{item.key.substr(prefix.size())};
    if (item.deleted)
        return on_endpoint_gone(id);
    try
    {
        const endpoint_record record = context_.dialect.read_endpoint(item);
        to_socket_address(record.address);
        on_endpoint_entry(record);
    }
    catch (const std::runtime_error& error)
    {
        // The entry may have replaced one that named an endpoint.
        context_.log.write("endpoint entry malformed",
                           {{"endpoint", id.value}, {"reason", error.what()}});
        on_endpoint_gone(id);
    }
}

void fleet_watcher::on_endpoint_entry(const endpoint_record& record)
{
    const instant now = context_.loop.now();
    const bool is_known = context_.fleet.endpoints.contains(record.id);
    endpoint_view& view = context_.fleet.endpoints[record.id];
    const bool restarted = !is_known || view.record.address.empty() ||
                           view.record.started_ms < record.started_ms;
    if (is_known && record.started_ms < view.record.started_ms)
        return;
    view.record = record;
    // A restored store also has the entries of endpoints that are gone since.
    const bool is_doubtful = !restarted && is_gone(view, now) && context_.era_seen_at &&
                             now - *context_.era_seen_at < restored_entry_wait;
    if (is_doubtful)
        doubtful_endpoints_.insert(record.id);
    else
        view.gone_at.reset();
    if (restarted)
    {
        view.draining = false;
        view.previously_loaded.clear();
        view.inventory_received = false;
        remove_limit(view.limit);
        view.brittle = {};
        view.refused_until = {};
        apply_entry_adapters(view, record, now);
    }
    else if (!view.inventory_received)
        apply_entry_adapters(view, record, now);
    // `draining` isn't reset, because an older entry may arrive after the one that
    // reported it.
    const bool starts_draining = record.draining && !view.draining;
    view.draining = view.draining || record.draining;
    if (restarted || starts_draining)
        context_.log.write("endpoint",
                           {{"endpoint", record.id.value},
                            {"service", record.service.value},
                            {"address", record.address.value},
                            {"software", record.software.value},
                            {"state", record.draining ? "draining" : "ready"}});
    if (restarted)
        restarted_(record.id);
    if (starts_draining)
        gone_(record.id);
}

void fleet_watcher::on_endpoint_gone(const endpoint_id& id)
{
    const auto found = context_.fleet.endpoints.find(id);
    if (found == context_.fleet.endpoints.end())
        return;
    const instant now = context_.loop.now();
    doubtful_endpoints_.erase(id);
    const bool was_gone = is_gone(found->second, now);
    const instant absence_ended =
        std::max(context_.store.outage_ended, context_.era_seen_at.value_or(instant{}));
    const instant grace_ends = absence_ended + registration_grace;
    const bool after_outage = !was_gone && absence_ended != instant{} && now < grace_ends;
    if (!was_gone)
        found->second.gone_at = after_outage ? grace_ends : now;
    context_.log.write(
        "endpoint entry gone",
        {{"endpoint", id.value},
         {"outcome", after_outage ? "kept for a while after a store outage" : "gone"}});
    if (!after_outage)
        gone_(id);
}

void fleet_watcher::confirm_restored_endpoints()
{
    const instant now = context_.loop.now();
    if (doubtful_endpoints_.empty() ||
        (context_.era_seen_at && now - *context_.era_seen_at < restored_entry_wait))
        return;
    for (const endpoint_id& id : std::exchange(doubtful_endpoints_, {}))
    {
        const auto found = context_.fleet.endpoints.find(id);
        if (found == context_.fleet.endpoints.end())
            continue;
        found->second.gone_at.reset();
        context_.log.write(
            "endpoint confirmed",
            {{"endpoint", id.value}, {"reason", "the restored store kept its entry"}});
    }
}

void fleet_watcher::remove_gone_endpoints()
{
    confirm_restored_endpoints();
    const instant now = context_.loop.now();
    std::erase_if(context_.fleet.endpoints,
                  [now](const auto& entry)
                  {
                      const endpoint_view& view = entry.second;
                      return view.gone_at && view.holder.empty() &&
                             now - *view.gone_at > removed_record_lifetime;
                  });
}

void apply_inventory(fleet_view& fleet, const inventory_message& message, instant now)
{
    const auto found = fleet.endpoints.find(message.endpoint);
    if (found == fleet.endpoints.end())
        return;
    endpoint_view& view = found->second;
    const bool newer =
        message.token > view.holder_token || (message.token == view.holder_token &&
                                              message.sequence > view.inventory_sequence);
    if (!newer)
        return;
    view.holder_token = message.token;
    view.holder = message.sender;
    view.inventory_sequence = message.sequence;
    view.inventory_received = true;
    record_load_queue(view, message.queued_loads, now);
    std::map<adapter_id, resident_adapter> adapters;
    for (const reported_adapter& entry : message.adapters)
    {
        resident_adapter& resident = adapters[entry.adapter.adapter];
        resident.version = entry.adapter.version;
        resident.ready_at = now + entry.ready_in;
        resident.load_started_at = now - entry.loading_for;
        resident.concurrent_loads = entry.concurrent_loads;
        view.previously_loaded.insert(entry.adapter.adapter);
    }
    replace_adapters(view, adapters);
    if (message.in_flight && message.sender != fleet.self)
        view.others = peer_load{
            std::max(0, *message.in_flight - view.in_flight - view.reserved_requests),
            std::max(0, message.pending_prefill_tokens - view.pending_prefill_tokens -
                            view.reserved_prefill_tokens),
            view.others ? view.others->by_adapter : std::map<adapter_id, int>{}, now};
}

std::optional<inventory_message> last_reported_inventory(const endpoint_view& endpoint,
                                                         instant now)
{
    if (!endpoint.inventory_received)
        return std::nullopt;
    inventory_message message;
    message.sender = endpoint.holder;
    message.endpoint = endpoint.record.id;
    message.token = endpoint.holder_token;
    message.sequence = endpoint.inventory_sequence;
    message.queued_loads = endpoint.queued_loads;
    for (const auto& [adapter, held] : endpoint.adapters)
        message.adapters.push_back(
            {{adapter, held.version},
             to_milliseconds(std::max(held.ready_at - now, instant::duration{}))});
    return message;
}

void apply_load_queue(fleet_view& fleet, const load_queue_message& message, instant now)
{
    const auto found = fleet.endpoints.find(message.endpoint);
    if (found != fleet.endpoints.end() && found->second.holder_token == message.token)
        record_load_queue(found->second, message.queued_loads, now);
}

void apply_endpoint_load(fleet_view& fleet, const endpoint_load_message& message,
                         instant now)
{
    for (const auto& [endpoint, load] : message.loads)
    {
        const auto found = fleet.endpoints.find(endpoint);
        if (found == fleet.endpoints.end())
            continue;
        record_peer_load(found->second, message.sender,
                         {load.in_flight, load.pending_prefill_tokens,
                          load.in_flight_by_adapter, now, message.sequence});
    }
}

void apply_stated_load(fleet_view& fleet, const stated_load_message& message, instant now)
{
    for (const auto& [endpoint, load] : message.loads)
    {
        const auto found = fleet.endpoints.find(endpoint);
        if (found != fleet.endpoints.end())
            found->second.others = peer_load{load.in_flight, load.pending_prefill_tokens,
                                             load.in_flight_by_adapter, now};
    }
}

void apply_heartbeat(fleet_view& fleet, const heartbeat_message& message, instant now)
{
    member_view& member = fleet.members[message.sender];
    member.id = message.sender;
    member.incarnation = message.incarnation;
    member.last_message_at = now;
    member.sends_each_heartbeat = message.is_regular;
    member.ready = message.ready;
    member.leaving = message.leaving;
    member.cut_off = message.cut_off;
    member.store_silence = message.store_silence;
    member.era = message.era;
    member.software_versions = message.software_versions;
    adopt_load_times(fleet.load_times, message.load_times);
    for (const load_observation& observed : message.load_observations)
        observe_load(fleet.load_times, observed);
    apply_endpoint_load(fleet, {message.sender, message.endpoint_loads, {}}, now);
}

} // namespace pollenhaven
