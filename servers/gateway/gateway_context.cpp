#include "servers/gateway/gateway_context.hpp"

namespace pollenhaven
{

namespace
{

// The era of a store that was never restored.
constexpr store_era first_era{1};

// Logs a problem of the stated era, unless the last response had the same.
void set_era_problem(gateway_context& context, const std::string& problem)
{
    if (!problem.empty() && problem != context.era_problem)
        context.log.write("store era ignored",
                          {{"known", static_cast<std::int64_t>(context.fleet.era.value)},
                           {"reason", problem}});
    context.era_problem = problem;
}

} // namespace

bool record_store_era(gateway_context& context, const http_head& head)
{
    std::optional<store_era> stated;
    try
    {
        stated = context.dialect.read_era(head);
    }
    catch (const dialect_error& error)
    {
        set_era_problem(context, error.what());
        return true;
    }
    if (!stated)
    {
        set_era_problem(context, context.fleet.era.value == 0 ? "" : "no era is stated");
        return true;
    }
    if (*stated < context.fleet.era)
    {
        set_era_problem(context, "the era " + std::to_string(stated->value) +
                                     " is lower than the one known");
        return false;
    }
    set_era_problem(context, "");
    if (*stated == context.fleet.era)
        return true;
    context.log.write("store era",
                      {{"era", static_cast<std::int64_t>(stated->value)},
                       {"before", static_cast<std::int64_t>(context.fleet.era.value)}});
    context.fleet.era = *stated;
    context.era_seen_at =
        *stated > first_era ? std::optional<instant>(boot_clock::now()) : std::nullopt;
    return true;
}

void record_peer_era(gateway_context& context, store_era era, milliseconds age)
{
    if (era == context.fleet.era && context.era_seen_at)
        context.era_seen_at =
            std::min<instant>(*context.era_seen_at, context.loop.now() - age);
}

} // namespace pollenhaven
