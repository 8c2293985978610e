#include "policy/fleet/stream_origin.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// Other daemons learn of a new base version at most this much later.
constexpr milliseconds base_version_delay{5000};
// A store that hasn't responded for this long may not take a record in time.
constexpr milliseconds max_silence_for_records{1000};
// A heartbeat that arrives after this time was sent after a search began, also if it
// waited for a slow link or for this process to go on.
constexpr milliseconds max_message_age{500};
// Records use the store's writes up to one in this many.
constexpr int write_share_divisor = 2;
constexpr int milliseconds_per_second = 1000;

bool is_registered(const endpoint_view& endpoint, const service_id& service, instant now)
{
    return endpoint.record.service == service && !endpoint.record.address.empty() &&
           !is_gone(endpoint, now);
}

// Returns the version that most endpoints of the service run; none if there are none.
std::optional<software_version>
most_common_version(const fleet_view& fleet, const service_id& service, instant now)
{
    std::map<software_version, int> counts;
    for (const auto& [id, endpoint] : fleet.endpoints)
        if (is_registered(endpoint, service, now))
            ++counts[endpoint.record.software];
    std::optional<software_version> best;
    for (const auto& [version, count] : counts)
        if (!best || count > counts.at(*best))
            best = version;
    return best;
}

const base_version* find_base(const fleet_view& fleet, const service_id& service)
{
    const auto found = fleet.base_versions.find(service);
    return found == fleet.base_versions.end() ? nullptr : &found->second;
}

// Returns true if this daemon has known another version within the lifetime of a stream.
bool knows_other_version(const fleet_view& fleet, const service_id& service,
                         const software_version& version, instant now)
{
    const auto known = fleet.known_versions.find(service);
    return known != fleet.known_versions.end() &&
           std::any_of(known->second.begin(), known->second.end(),
                       [&](const auto& entry) {
                           return entry.first != version &&
                                  now - entry.second <= stream_lifetime;
                       });
}

// Returns true if the member has stated that it knows another version.
bool states_other_version(const member_view& member, const service_id& service,
                          const software_version& version, instant now)
{
    if (!member.software_versions || now - member.last_message_at > stream_lifetime)
        return false;
    const auto known = member.software_versions->find(service);
    return known != member.software_versions->end() &&
           known->second != std::set<software_version>{version};
}

// Returns true if a message of the member was sent after the search began.
bool is_heard_since(const member_view& member, instant search_began)
{
    return member.last_message_at >= search_began + max_message_age;
}

// Returns true if the store was silent to the member, from which it learns of engines.
bool learns_nothing(const member_view& member)
{
    return member.store_silence >= max_silence_for_records;
}

} // namespace

std::set<software_version> registered_versions(const fleet_view& fleet,
                                               const service_id& service, instant now)
{
    std::set<software_version> versions;
    for (const auto& [id, endpoint] : fleet.endpoints)
        if (is_registered(endpoint, service, now))
            versions.insert(endpoint.record.software);
    return versions;
}

bool is_version_serving(const fleet_view& fleet, const service_id& service,
                        const software_version& version, instant now)
{
    return std::any_of(fleet.endpoints.begin(), fleet.endpoints.end(),
                       [&](const auto& entry)
                       {
                           const endpoint_view& endpoint = entry.second;
                           return is_registered(endpoint, service, now) &&
                                  !endpoint.draining &&
                                  endpoint.record.software == version;
                       });
}

bool needs_record(const fleet_view& fleet, const service_id& service,
                  const software_version& version, instant now)
{
    const base_version* const base = find_base(fleet, service);
    if (base == nullptr)
        return registered_versions(fleet, service, now).size() > 1;
    const bool has_just_changed =
        base->changed_at && now - *base->changed_at < base_version_delay;
    return version != base->version || has_just_changed;
}

late_record_action choose_late_record_action(const fleet_view& fleet,
                                             const service_id& service,
                                             const late_record& late, instant now)
{
    const base_version* const base = find_base(fleet, service);
    if (base == nullptr)
        return late_record_action::end;
    if (late.version == base->version ||
        !is_version_serving(fleet, service, base->version, now))
        return late_record_action::pass_on;
    return late.may_be_written || !late.may_send_again
               ? late_record_action::end
               : late_record_action::begin_at_base;
}

std::optional<software_version> version_for_new_stream(const fleet_view& fleet,
                                                       const service_id& service,
                                                       milliseconds silence, instant now)
{
    const base_version* const base = find_base(fleet, service);
    if (base == nullptr || silence < max_silence_for_records ||
        !is_version_serving(fleet, service, base->version, now))
        return std::nullopt;
    return base->version;
}

void apply_base_version(fleet_view& fleet, const service_id& service,
                        const base_version& stored, instant now)
{
    const auto [place, is_new] = fleet.base_versions.try_emplace(service, stored);
    base_version& known = place->second;
    if (is_new)
        return;
    if (stored.number < known.number)
    {
        known.revision = stored.revision;
        known.is_outdated_in_store = true;
        return;
    }
    const std::optional<instant> changed_at =
        known.version == stored.version ? known.changed_at : now;
    known = stored;
    known.changed_at = changed_at;
}

bool may_lack_records(const fleet_view& fleet, const service_id& service,
                      std::optional<instant> era_seen_at, instant now)
{
    if (!era_seen_at || now - *era_seen_at > stream_lifetime)
        return false;
    const base_version* const base = find_base(fleet, service);
    return base == nullptr || base->settled_era != fleet.era;
}

bool must_settle_era(const fleet_view& fleet, const service_id& service,
                     std::optional<instant> era_seen_at, instant now)
{
    const base_version* const base = find_base(fleet, service);
    return base != nullptr && era_seen_at && now - *era_seen_at > stream_lifetime &&
           base->settled_era != fleet.era;
}

std::optional<software_version> next_base_version(const fleet_view& fleet,
                                                  const service_id& service,
                                                  std::optional<instant> absent_since,
                                                  instant now)
{
    const base_version* const base = find_base(fleet, service);
    const std::optional<software_version> candidate =
        most_common_version(fleet, service, now);
    if (base == nullptr)
        return candidate;
    const bool is_unused =
        absent_since && now - *absent_since > stream_lifetime + base_version_delay;
    if (is_unused && candidate)
        return candidate;
    if (base->revision.value == 0 || base->is_outdated_in_store)
        return base->version;
    return std::nullopt;
}

void record_known_versions(fleet_view& fleet, instant now)
{
    for (const auto& [id, endpoint] : fleet.endpoints)
        if (is_registered(endpoint, endpoint.record.service, now))
            fleet.known_versions[endpoint.record.service][endpoint.record.software] = now;
    for (auto& [service, versions] : fleet.known_versions)
        std::erase_if(versions, [now](const auto& entry)
                      { return now - entry.second > stream_lifetime; });
}

std::set<service_id> services_with_resumable_streams(const routing_table& table)
{
    std::set<service_id> services;
    for (const route& candidate : table.routes)
        if (candidate.resumable)
            for (const weighted_service& share : candidate.services)
                services.insert(share.service);
    return services;
}

service_versions versions_to_report(const fleet_view& fleet,
                                    const std::set<service_id>& services)
{
    service_versions versions;
    for (const service_id& service : services)
    {
        const auto found = fleet.known_versions.find(service);
        if (found == fleet.known_versions.end())
            continue;
        for (const auto& [version, known_at] : found->second)
            versions[service].insert(version);
    }
    return versions;
}

bool is_only_known_version(const fleet_view& fleet, const service_id& service,
                           const software_version& version, instant now)
{
    return !knows_other_version(fleet, service, version, now) &&
           std::none_of(
               fleet.members.begin(), fleet.members.end(),
               [&](const auto& entry)
               { return states_other_version(entry.second, service, version, now); });
}

bool is_only_version(const fleet_view& fleet, const service_id& service,
                     const software_version& version, instant search_began, instant now)
{
    if (knows_other_version(fleet, service, version, now))
        return false;
    int members = 1;
    int heard = 1;
    for (const auto& [id, member] : fleet.members)
    {
        if (id == fleet.self)
            continue;
        if (states_other_version(member, service, version, now))
            return false;
        if (!member.leased)
            continue;
        const bool is_heard = is_heard_since(member, search_began);
        ++members;
        heard += is_heard ? 1 : 0;
        if (!(is_heard && member.software_versions) && !learns_nothing(member))
            return false;
    }
    return 2 * heard >= members;
}

stream_origin locate_stream(const fleet_view& fleet, const service_id& service,
                            const stream_search& search, instant now)
{
    if (search.lookup == record_lookup::found)
        return {origin_source::record, search.recorded};
    if (search.stated)
        return {origin_source::members, *search.stated};
    const base_version* const base = find_base(fleet, service);
    if (search.lookup == record_lookup::absent && search.is_conclusive && base != nullptr)
        return {origin_source::base_version, base->version};
    const std::set<software_version> versions = registered_versions(fleet, service, now);
    if (versions.size() != 1)
        return {};
    const software_version& version = *versions.begin();
    const bool is_base =
        base == nullptr ? search.is_conclusive : version == base->version;
    if (is_base && is_only_version(fleet, service, version, search.began, now))
        return {origin_source::only_version, version};
    return {};
}

milliseconds record_write_interval(int members, int store_writes_per_second)
{
    return milliseconds(members * milliseconds_per_second * write_share_divisor /
                        std::max(1, store_writes_per_second));
}

} // namespace pollenhaven
