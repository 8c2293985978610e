#include "servers/daemon_context.hpp"

#include "core/plugin_registry.hpp"
#include "policy/crash_ledger.hpp"

#include <utility>

namespace pollenhaven
{

namespace
{

constexpr std::size_t spans_kept = 20000;

std::string region_prefix(const std::string& region)
{
    return "/pollenhaven/" + region + "/";
}

} // namespace

daemon_context::daemon_context(daemon_settings given, incarnation_id started)
    : settings(std::move(given)), incarnation(std::move(started)),
      key_value(plugin_registry<key_value_store>::instance().make(
          settings.key_value_module, settings.key_value_address)),
      instances(plugin_registry<instance_list>::instance().make(
          settings.instance_list_module, settings.instance_list_address)),
      guard(cluster, settings.id, incarnation, settings.lease), spans(spans_kept)
{
    if (!settings.span_file.empty())
        spans.write_to(settings.span_file, settings.id.value);
}

std::string cluster_prefix(const daemon_settings& settings)
{
    return region_prefix(settings.region) + "cluster/";
}

std::string member_key(const daemon_settings& settings, const daemon_id& daemon)
{
    return cluster_prefix(settings) + "members/" + daemon.value;
}

std::string ownership_key(const daemon_settings& settings)
{
    return cluster_prefix(settings) + "ownership";
}

std::string store_holder_key(const daemon_settings& settings)
{
    return cluster_prefix(settings) + "store-holder";
}

std::string document_prefix(const std::string& region)
{
    return region_prefix(region) + "document/";
}

std::string history_prefix(const std::string& region)
{
    return region_prefix(region) + "history/";
}

std::string call_key(const std::string& region, const service_id& service,
                     const idempotency_key& key)
{
    // Hashed, because a caller's key may hold any bytes and be of any length.
    return region_prefix(region) + "calls/" +
           content_fingerprint(service.value, key.value);
}

} // namespace pollenhaven
