#include "servers/gateway/base_versions.hpp"

#include "core/json_text.hpp"

#include <utility>

namespace pollenhaven
{

namespace
{

constexpr int status_ok = 200;
constexpr milliseconds call_timeout{900};
constexpr milliseconds check_interval{500};

// Returns a whole number of an entry; 0 if the field is missing or not one.
std::uint64_t number_field(const nlohmann::json& entry, const char* field)
{
    if (!entry.is_object() || !entry.contains(field) ||
        !entry[field].is_number_unsigned())
        return 0;
    return entry[field].get<std::uint64_t>();
}

} // namespace

std::optional<software_version> decode_software_version(const std::string& value)
{
    const nlohmann::json entry = parse_json_or_null(value);
    if (!entry.is_object() || !entry.contains("version") || !entry["version"].is_string())
        return std::nullopt;
    return software_version{entry["version"].get<std::string>()};
}

base_versions::base_versions(gateway_context& context, loaded_check is_loaded)
    : context_(context), is_loaded_(std::move(is_loaded)), client_(context)
{
}

void base_versions::on_item(const store_item& item)
{
    const service_id service{item.key.substr(std::string(base_version_prefix).size())};
    const auto known = context_.fleet.base_versions.find(service);
    if (item.deleted)
    {
        // A restored store may have lost the entry; the version stays what it was.
        if (known != context_.fleet.base_versions.end())
            known->second.revision = {};
        return;
    }
    const std::optional<software_version> version = decode_software_version(item.value);
    if (!version)
        return context_.log.write("base version malformed", {{"key", item.key}});
    base_version stored{*version, item.revision, std::nullopt};
    const nlohmann::json entry = parse_json_or_null(item.value);
    // Daemons of earlier releases write neither of these.
    stored.number = number_field(entry, "number");
    stored.settled_era = {number_field(entry, "settled_era")};
    apply_base_version(context_.fleet, service, stored, context_.loop.now());
    const base_version& applied = context_.fleet.base_versions.at(service);
    context_.log.write("base version",
                       {{"service", service.value},
                        {"software", applied.version.value},
                        {"outdated", std::int64_t{applied.is_outdated_in_store}}});
}

void base_versions::run_periodic_work()
{
    const instant now = context_.loop.now();
    if (!is_loaded_() || context_.leaving || context_.routing == nullptr ||
        now - last_check_ < check_interval)
        return;
    last_check_ = now;
    for (const auto& [service, details] : context_.routing->services)
    {
        const auto base = context_.fleet.base_versions.find(service);
        // Any member may know a later change than the store and the first member.
        const bool must_repeat = base != context_.fleet.base_versions.end() &&
                                 base->second.is_outdated_in_store;
        if (!details.engine || !(must_repeat || is_first_member(context_.fleet)))
            continue;
        const bool is_absent = base != context_.fleet.base_versions.end() &&
                               !registered_versions(context_.fleet, service, now)
                                    .contains(base->second.version);
        if (!is_absent)
            absent_since_.erase(service);
        std::optional<instant> absent_since;
        if (is_absent)
            absent_since = absent_since_.try_emplace(service, now).first->second;
        const std::optional<software_version> next =
            next_base_version(context_.fleet, service, absent_since, now);
        if (next)
            write(service, *next);
        else if (must_settle_era(context_.fleet, service, context_.era_seen_at, now))
            write(service, base->second.version);
    }
}

void base_versions::write(const service_id& service, const software_version& version)
{
    const std::string key = base_version_prefix + service.value;
    const auto known = context_.fleet.base_versions.find(service);
    const base_version before =
        known == context_.fleet.base_versions.end() ? base_version{} : known->second;
    const bool is_change = !before.version.empty() && before.version != version;
    const bool is_settled = must_settle_era(context_.fleet, service, context_.era_seen_at,
                                            context_.loop.now());
    store_transaction transaction;
    transaction.expected.push_back({key, before.revision});
    transaction.writes.push_back(
        {key,
         write_json({{"version", version.value},
                     {"number", before.number + (is_change ? 1 : 0)},
                     {"settled_era",
                      is_settled ? context_.fleet.era.value : before.settled_era.value}}),
         0});
    // The watch shows the result, also if the response is lost.
    client_.call(context_.dialect.transaction_call(transaction), call_timeout,
                 [this, service](const http_result& result)
                 {
                     if (!result.has_response || result.status != status_ok)
                         context_.log.write("base version not written",
                                            {{"service", service.value},
                                             {"status", std::int64_t{result.status}}});
                 });
}

} // namespace pollenhaven
