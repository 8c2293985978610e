#ifndef POLLENHAVEN_SERVERS_DAEMON_CONTEXT_HPP
#define POLLENHAVEN_SERVERS_DAEMON_CONTEXT_HPP

#include "core/interfaces/instance_list.hpp"
#include "core/interfaces/key_value_store.hpp"
#include "core/metrics.hpp"
#include "core/trace.hpp"
#include "servers/cluster_state.hpp"
#include "servers/daemon_settings.hpp"
#include "servers/ownership_guard.hpp"
#include "servers/peer_table.hpp"

#include <atomic>

namespace pollenhaven
{

// What all duties of one daemon share. Every member guards itself.
struct daemon_context
{
    daemon_context(daemon_settings given, incarnation_id started);

    const daemon_settings settings;
    const incarnation_id incarnation;
    const key_value_store key_value;
    const instance_list instances;
    cluster_state cluster;
    peer_table peers;
    ownership_guard guard;
    metric_set metrics;
    span_log spans;
    std::atomic<bool> stopping{false};
};

// Keys in the key-value service, below "/pollenhaven/REGION/".
std::string cluster_prefix(const daemon_settings& settings);
std::string member_key(const daemon_settings& settings, const daemon_id& daemon);
std::string ownership_key(const daemon_settings& settings);
std::string store_holder_key(const daemon_settings& settings);
std::string document_prefix(const std::string& region);
std::string history_prefix(const std::string& region);
std::string call_key(const std::string& region, const service_id& service,
                     const idempotency_key& key);

} // namespace pollenhaven

#endif
