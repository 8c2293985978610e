#include "servers/gateway/gateway_context.hpp"

namespace pollenhaven
{

void record_store_era(gateway_context& context, const http_head& head)
{
    try
    {
        const std::optional<store_era> stated = context.dialect.read_era(head);
        if (!stated || *stated == context.era)
            return;
        const bool is_new = *stated > context.era;
        context.log.write(
            "store era", {{"era", static_cast<std::int64_t>(stated->value)},
                          {"before", static_cast<std::int64_t>(context.era.value)},
                          {"outcome", is_new ? "new" : "ignored, a later one is known"}});
        if (is_new)
            context.era = *stated;
    }
    catch (const dialect_error& error)
    {
        context.log.write("store era malformed", {{"reason", error.what()}});
    }
}

} // namespace pollenhaven
