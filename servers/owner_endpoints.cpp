// Follows which endpoints are this daemon's: takes them, gives them up, hands them over,
// and asks their engines for reports.

#include "core/log.hpp"
#include "core/plugin_registry.hpp"
#include "servers/owner_duty.hpp"

#include <utility>

namespace pollenhaven
{

namespace
{

constexpr milliseconds report_interval{500};
constexpr int service_concurrency = 32;

} // namespace

void owner_duty::follow_cluster(const cluster_snapshot& known, instant now)
{
    for (const auto& [id, partner] : known.document->partners)
        shares_.weights[id] = partner.weight;
    for (auto owned = owned_.begin(); owned != owned_.end();)
    {
        const auto record = known.ownership.endpoints.find(owned->first);
        const bool ours = record != known.ownership.endpoints.end() &&
                          record->second.owner == context_.settings.id &&
                          record->second.incarnation == context_.incarnation &&
                          record->second.epoch == owned->second.epoch;
        if (ours)
        {
            ++owned;
            continue;
        }
        give_up(owned->second);
        owned = owned_.erase(owned);
    }
    for (const auto& [id, record] : known.ownership.endpoints)
    {
        const auto entry = known.document->endpoints.find(id);
        const bool ours = record.owner == context_.settings.id &&
                          record.incarnation == context_.incarnation;
        if (ours && owned_.count(id) == 0 && entry != known.document->endpoints.end())
            take(entry->second, record.epoch, now);
    }
}

void owner_duty::take(const endpoint_entry& entry, ownership_epoch epoch, instant now)
{
    owned_endpoint owned;
    owned.entry = entry;
    owned.epoch = epoch;
    owned.owned_since = now;
    owned.scheduler.endpoint = entry.id;
    const std::string& address = entry.address.value;
    const daemon_settings& settings = context_.settings;
    if (entry.kind == endpoint_kind::engine)
        owned.engine = plugin_registry<engine_client>::instance().make(
            settings.engine_module, address);
    else
        owned.service = plugin_registry<service_client>::instance().make(
            settings.service_module, address);
    log_line(log_level::info, "endpoint taken over",
             {{"endpoint", entry.id.value}, {"epoch", std::to_string(epoch.value)}});
    owned_endpoint& placed = owned_[entry.id] = std::move(owned);
    if (entry.kind == endpoint_kind::service)
        on_reconciled(placed.scheduler, shares_, 1, service_concurrency,
                      {{model_ref{}, 0}}, now);
    news_ = true;
}

void owner_duty::give_up(owned_endpoint& owned)
{
    log_line(log_level::info, "endpoint given up",
             {{"endpoint", owned.entry.id.value},
              {"epoch", std::to_string(owned.epoch.value)}});
    carry_out(owned, on_drain(owned.scheduler));
    news_ = true;
}

void owner_duty::follow_handover(const cluster_snapshot& known, owned_endpoint& owned)
{
    const bool leaves = known.handing_over.count(owned.entry.id) > 0 ||
                        is_leaving_instance(known, owned.entry.id.value);
    if (leaves && !owned.scheduler.draining)
    {
        log_line(log_level::info, "endpoint takes no new work",
                 {{"endpoint", owned.entry.id.value}});
        carry_out(owned, on_drain(owned.scheduler));
        news_ = true;
    }
    else if (!leaves && owned.scheduler.draining)
        owned.scheduler.draining = false;
}

void owner_duty::request_report(owned_endpoint& owned, instant now)
{
    if (owned.report_pending || now - owned.last_report < report_interval)
        return;
    owned.report_pending = true;
    owned.last_report = now;
    const endpoint_id endpoint = owned.entry.id;
    const ownership_epoch epoch = owned.epoch;
    const engine_client engine = owned.engine;
    const bool raise = !owned.fencing_raised;
    const bool started = jobs_.run(
        [this, endpoint, epoch, engine, raise]
        {
            report_event reported{endpoint, epoch, !raise, std::nullopt};
            if (raise && context_.guard.may_act_on(endpoint, epoch))
                reported.fencing_raised =
                    engine.raise_fencing(epoch) == order_status::done;
            try
            {
                reported.report = engine.report();
            }
            catch (const request_error&)
            {
                reported.report.reset();
            }
            post(std::move(reported));
        });
    if (!started)
        owned.report_pending = false;
}

} // namespace pollenhaven
