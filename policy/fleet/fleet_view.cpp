#include "policy/fleet/fleet_view.hpp"

#include "policy/fleet/caller_shares.hpp"
#include "policy/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace pollenhaven
{

namespace
{

// A load is ignored if it was reported longer ago than this. Peers report theirs at least
// once a second.
constexpr milliseconds peer_load_lifetime{1500};
constexpr milliseconds recent_statement_lifetime{5000};
// A peer is not listed for callers if no heartbeat from it arrived for this long, which
// means that seven were lost.
constexpr milliseconds peer_timeout{1500};
// Loads take longer than expected while many are in progress. Up to this long after the
// expected completion a refused adapter counts as late, later as missing.
constexpr milliseconds max_load_delay{800};
// A late load is expected after this time, which doubles with each further refusal.
constexpr milliseconds late_load_backoff{25};
constexpr int max_late_load_doublings = 2;
// A queue length that was reported longer ago is not used. Holders report theirs within
// 40 ms of a request.
constexpr milliseconds load_queue_lifetime{300};
// Crashed endpoints restart within some seconds. Until then each connection attempt costs
// time.
constexpr milliseconds connect_backoff{200};
constexpr int max_connect_backoff_doublings = 3;
// Within this time a connection is established or given up.
constexpr milliseconds trial_time{250};
// Weight of a new sample in the moving averages.
constexpr double sample_weight = 0.2;
constexpr double failure_share_half_life_s = 2.0;

bool is_fresh(const peer_load& load, instant now)
{
    return now - load.received_at < peer_load_lifetime;
}

int requests_for(const std::map<adapter_id, int>& counts, const adapter_id& adapter)
{
    const auto found = counts.find(adapter);
    return found == counts.end() ? 0 : found->second;
}

// Returns the requests and prompt tokens of all peers but one. While the keeper changes,
// both the reports of peers and the last statement of the former keeper may be fresh; the
// higher count is used.
peer_load load_of_others(const endpoint_view& endpoint, const daemon_id& without,
                         instant now)
{
    peer_load load;
    for (const auto& [peer, reported] : endpoint.peers)
        if (peer != without && is_fresh(reported, now))
        {
            load.in_flight += reported.in_flight;
            load.pending_prefill_tokens += reported.pending_prefill_tokens;
        }
    if (without.empty() && endpoint.others && is_fresh(*endpoint.others, now))
    {
        load.in_flight = std::max(load.in_flight, endpoint.others->in_flight);
        load.pending_prefill_tokens = std::max(load.pending_prefill_tokens,
                                               endpoint.others->pending_prefill_tokens);
    }
    load.received_at = now;
    return load;
}

bool is_available(const member_view& member)
{
    return member.leased && !member.leaving;
}

// Returns the first daemon by rendezvous hashing of the key, of those that `is_eligible`
// selects; empty if there is none.
daemon_id first_by_hash(const fleet_view& fleet, const std::string& key,
                        const std::function<bool(const member_view&)>& is_eligible)
{
    daemon_id first;
    std::uint64_t highest = 0;
    for (const auto& [id, member] : fleet.members)
    {
        if (!is_eligible(member))
            continue;
        const std::uint64_t weight = rendezvous_weight(key, id.value);
        if (first.empty() || weight > highest)
        {
            first = id;
            highest = weight;
        }
    }
    return first;
}

} // namespace

int total_in_flight(const endpoint_view& endpoint, instant now)
{
    const peer_load others = load_of_others(endpoint, daemon_id{}, now);
    return endpoint.in_flight + endpoint.reserved_requests + others.in_flight;
}

int recent_in_flight(const endpoint_view& endpoint, instant now)
{
    const int total = total_in_flight(endpoint, now);
    const bool is_recent =
        endpoint.others && now - endpoint.others->received_at < recent_statement_lifetime;
    return is_recent ? std::max(total, endpoint.in_flight + endpoint.reserved_requests +
                                           endpoint.others->in_flight)
                     : total;
}

int total_pending_prefill_tokens(const endpoint_view& endpoint, instant now)
{
    const peer_load others = load_of_others(endpoint, daemon_id{}, now);
    return endpoint.pending_prefill_tokens + endpoint.reserved_prefill_tokens +
           others.pending_prefill_tokens;
}

int adapter_requests_in_flight(const endpoint_view& endpoint, const adapter_id& adapter,
                               instant now)
{
    int reported = 0;
    for (const auto& [peer, load] : endpoint.peers)
        if (is_fresh(load, now))
            reported += requests_for(load.by_adapter, adapter);
    const int stated = endpoint.others && is_fresh(*endpoint.others, now)
                           ? requests_for(endpoint.others->by_adapter, adapter)
                           : 0;
    return requests_for(endpoint.in_flight_by_adapter, adapter) +
           std::max(reported, stated);
}

peer_load load_without(const endpoint_view& endpoint, const daemon_id& asker, instant now)
{
    peer_load load = load_of_others(endpoint, asker, now);
    load.in_flight += endpoint.in_flight + endpoint.reserved_requests;
    load.pending_prefill_tokens +=
        endpoint.pending_prefill_tokens + endpoint.reserved_prefill_tokens;
    const auto reported = endpoint.peers.find(asker);
    if (reported == endpoint.peers.end())
        return load;
    for (const auto& [adapter, requests] : reported->second.by_adapter)
        load.by_adapter[adapter] =
            adapter_requests_in_flight(endpoint, adapter, now) - requests;
    return load;
}

void record_peer_load(endpoint_view& endpoint, const daemon_id& peer,
                      const peer_load& load)
{
    const auto known = endpoint.peers.find(peer);
    if (known != endpoint.peers.end() && load.sequence < known->second.sequence &&
        is_fresh(known->second, load.received_at))
        return;
    endpoint.peers[peer] = load;
}

void remove_expired_loads(endpoint_view& endpoint, instant now)
{
    std::erase_if(endpoint.peers,
                  [now](const auto& entry) { return !is_fresh(entry.second, now); });
}

bool is_gone(const endpoint_view& endpoint, instant now)
{
    return endpoint.gone_at && now >= *endpoint.gone_at;
}

bool accepts_requests(const endpoint_view& endpoint, instant now)
{
    return !endpoint.draining && !is_gone(endpoint, now) &&
           now >= endpoint.backoff_until && now >= endpoint.refused_until;
}

void record_first_byte(endpoint_view& endpoint, milliseconds elapsed, instant now)
{
    const auto value = static_cast<double>(elapsed.count());
    endpoint.first_byte_ms =
        endpoint.first_byte_at == instant{}
            ? value
            : endpoint.first_byte_ms + sample_weight * (value - endpoint.first_byte_ms);
    endpoint.first_byte_at = now;
    endpoint.failure_share *= 1 - sample_weight;
    if (endpoint.connect_failures > 0)
        endpoint.backoff_until = now;
    endpoint.connect_failures = 0;
}

void record_sent(endpoint_view& endpoint, instant now)
{
    if (endpoint.connect_failures > 0)
        endpoint.backoff_until = now + trial_time;
}

void record_unreachable(endpoint_view& endpoint, instant now)
{
    const int doublings =
        std::min(endpoint.connect_failures, max_connect_backoff_doublings);
    endpoint.backoff_until = now + connect_backoff * (1 << doublings);
    ++endpoint.connect_failures;
}

void record_failure(endpoint_view& endpoint, instant now)
{
    const double age = to_seconds(now - endpoint.failure_at);
    if (endpoint.failure_at != instant{})
        endpoint.failure_share *= std::exp2(-age / failure_share_half_life_s);
    endpoint.failure_share += sample_weight * (1 - endpoint.failure_share);
    endpoint.failure_at = now;
}

void record_load_queue(endpoint_view& endpoint, int queued_loads, instant now)
{
    endpoint.queued_loads = queued_loads;
    endpoint.queue_reported_at = now;
}

void record_load_request(endpoint_view& endpoint, instant now)
{
    if (now - endpoint.queue_reported_at > load_queue_lifetime)
        record_load_queue(endpoint, 0, now);
    ++endpoint.queued_loads;
}

void replace_adapters(endpoint_view& endpoint,
                      const std::map<adapter_id, resident_adapter>& adapters)
{
    const std::map<adapter_id, resident_adapter> previous_adapters =
        std::move(endpoint.adapters);
    endpoint.adapters = adapters;
    for (auto& [adapter, resident] : endpoint.adapters)
    {
        const auto previous = previous_adapters.find(adapter);
        if (previous == previous_adapters.end() ||
            previous->second.version != resident.version)
            continue;
        const instant reported_ready_at = resident.ready_at;
        resident = previous->second;
        if (resident.refusals == 0)
            resident.ready_at = std::min(resident.ready_at, reported_ready_at);
    }
}

void record_missing_adapter(endpoint_view& endpoint, const adapter_id& adapter,
                            instant now)
{
    const auto resident = endpoint.adapters.find(adapter);
    if (resident == endpoint.adapters.end())
        return;
    resident_adapter& entry = resident->second;
    if (entry.first_refused_at == instant{})
        entry.first_refused_at = now;
    if (now - entry.first_refused_at < max_load_delay &&
        entry.first_refused_at - entry.ready_at < max_load_delay)
    {
        const int doublings = std::min(entry.refusals, max_late_load_doublings);
        entry.ready_at =
            std::max(entry.ready_at, now + late_load_backoff * (1 << doublings));
        ++entry.refusals;
    }
    else
        endpoint.adapters.erase(resident);
}

void count_loads_in_progress(fleet_view& fleet, instant now)
{
    fleet.loads_in_progress = 0;
    fleet.held_engines = 0;
    for (const auto& [id, endpoint] : fleet.endpoints)
    {
        fleet.held_engines += endpoint.holder.empty() ? 0 : 1;
        for (const auto& [adapter, resident] : endpoint.adapters)
            fleet.loads_in_progress += resident.ready_at > now ? 1 : 0;
    }
}

std::optional<load_observation> observed_load(const resident_adapter& resident,
                                              instant sent, bool complete)
{
    if (resident.confirmed || resident.concurrent_loads == 0 ||
        sent < resident.load_started_at)
        return std::nullopt;
    return load_observation{resident.concurrent_loads,
                            to_milliseconds(sent - resident.load_started_at), complete};
}

bool is_loaded_elsewhere(const fleet_view& fleet, const endpoint_view& endpoint,
                         const adapter_id& adapter, instant now)
{
    const std::optional<adapter_version> required = required_version(fleet, adapter);
    for (const auto& [id, other] : fleet.endpoints)
    {
        const auto resident = other.adapters.find(adapter);
        if (id != endpoint.record.id && other.record.service == endpoint.record.service &&
            resident != other.adapters.end() && accepts_requests(other, now) &&
            !other.limit.stated && (!required || resident->second.version >= *required))
            return true;
    }
    return false;
}

std::optional<adapter_version> required_version(const fleet_view& fleet,
                                                const adapter_id& adapter)
{
    const auto found = fleet.versions.find(adapter);
    if (found == fleet.versions.end())
        return std::nullopt;
    return found->second.version;
}

daemon_id endpoint_keeper(const fleet_view& fleet, const endpoint_id& endpoint)
{
    const auto view = fleet.endpoints.find(endpoint);
    const auto holder = view == fleet.endpoints.end()
                            ? fleet.members.end()
                            : fleet.members.find(view->second.holder);
    if (holder != fleet.members.end() && is_available(holder->second))
        return holder->first;
    return first_by_hash(fleet, endpoint.value, is_available);
}

daemon_id customer_keeper(const fleet_view& fleet, const customer_id& customer)
{
    const daemon_id keeper = first_by_hash(fleet, customer.value, is_available);
    if (!keeper.empty())
        return keeper;
    return first_by_hash(fleet, customer.value,
                         [&fleet](const member_view& member)
                         { return !member.leaving || member.id == fleet.self; });
}

bool is_first_member(const fleet_view& fleet)
{
    for (const auto& [id, member] : fleet.members)
        if (member.leased)
            return id == fleet.self;
    return false;
}

bool is_among_first_members(const fleet_view& fleet, int count)
{
    const auto earlier =
        std::count_if(fleet.members.begin(), fleet.members.lower_bound(fleet.self),
                      [](const auto& entry) { return entry.second.leased; });
    return earlier < count;
}

bool is_among_first_of_zone(const fleet_view& fleet, int count)
{
    const auto earlier =
        std::count_if(fleet.members.begin(), fleet.members.lower_bound(fleet.self),
                      [&](const auto& entry)
                      { return entry.second.leased && entry.second.zone == fleet.zone; });
    return earlier < count;
}

daemon_id first_member_by_hash(const fleet_view& fleet, const std::string& key)
{
    daemon_id first = fleet.self;
    for (const auto& [id, member] : fleet.members)
        if (member.leased &&
            rendezvous_weight(key, id.value) > rendezvous_weight(key, first.value))
            first = id;
    return first;
}

int live_member_count(const fleet_view& fleet)
{
    int live = 0;
    for (const auto& [id, member] : fleet.members)
        live += member.leased || id == fleet.self ? 1 : 0;
    return std::max(1, live);
}

bool is_usable_by_callers(const member_view& member, instant now)
{
    const bool is_up = now - member.last_message_at < peer_timeout ||
                       (member.leased && !member.sends_each_heartbeat);
    return member.ready && !member.leaving && is_up;
}

std::vector<network_address> caller_addresses(const fleet_view& fleet, std::uint64_t draw,
                                              instant now)
{
    std::vector<const member_view*> usable;
    for (const auto& [id, member] : fleet.members)
        if (id == fleet.self ? member.ready && !member.leaving
                             : is_usable_by_callers(member, now))
            usable.push_back(&member);
    const auto cut_off =
        std::count_if(usable.begin(), usable.end(),
                      [](const member_view* member) { return member->cut_off; });
    const bool leaves_out_cut_off = 2 * cut_off <= std::ssize(usable);
    std::vector<listed_daemon> listed;
    for (const member_view* const member : usable)
        if (!(member->cut_off && leaves_out_cut_off))
            listed.push_back({member->id, member->caller_address, member->cores});
    return draw_addresses(listed, draw);
}

} // namespace pollenhaven
