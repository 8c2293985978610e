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

std::optional<software_version> version_for_new_stream(const fleet_view& fleet,
                                                       const service_id& service,
                                                       milliseconds store_silence,
                                                       instant now)
{
    const base_version* const base = find_base(fleet, service);
    if (base == nullptr || store_silence < max_silence_for_records ||
        !is_version_serving(fleet, service, base->version, now))
        return std::nullopt;
    return base->version;
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
    if (base->revision.value == 0)
        return base->version;
    return std::nullopt;
}

stream_origin locate_stream(const fleet_view& fleet, const service_id& service,
                            record_lookup lookup, const software_version& recorded,
                            bool is_conclusive, instant now)
{
    if (lookup == record_lookup::found)
        return {origin_source::record, recorded};
    const base_version* const base = find_base(fleet, service);
    const std::set<software_version> versions = registered_versions(fleet, service, now);
    if (versions.size() == 1 &&
        (base == nullptr ? is_conclusive : *versions.begin() == base->version))
        return {origin_source::only_version, *versions.begin()};
    if (lookup == record_lookup::absent && is_conclusive && base != nullptr)
        return {origin_source::base_version, base->version};
    return {};
}

milliseconds record_write_interval(int members, int store_writes_per_second)
{
    return milliseconds(members * milliseconds_per_second * write_share_divisor /
                        std::max(1, store_writes_per_second));
}

} // namespace pollenhaven
