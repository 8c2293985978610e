#include "servers/gateway/gateway_context.hpp"

namespace pollenhaven
{

namespace
{

// Logs a problem of the stated era, unless the last response had the same.
void set_era_problem(gateway_context& context, const std::string& problem)
{
    if (!problem.empty() && problem != context.era_problem)
        context.log.write("store era ignored",
                          {{"known", static_cast<std::int64_t>(context.era.value)},
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
        set_era_problem(context, context.era.value == 0 ? "" : "no era is stated");
        return true;
    }
    if (*stated < context.era)
    {
        set_era_problem(context, "the era " + std::to_string(stated->value) +
                                     " is lower than the one known");
        return false;
    }
    set_era_problem(context, "");
    if (*stated == context.era)
        return true;
    context.log.write("store era",
                      {{"era", static_cast<std::int64_t>(stated->value)},
                       {"before", static_cast<std::int64_t>(context.era.value)}});
    context.era = *stated;
    return true;
}

} // namespace pollenhaven
