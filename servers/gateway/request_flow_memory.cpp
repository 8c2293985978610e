#include "policy/fleet/response_memory.hpp"
#include "servers/gateway/request_flow.hpp"

namespace pollenhaven
{

void request_flow::count_held_response(http_exchange& exchange)
{
    if (!exchange.held_response || !context_.loop.is_open(exchange.upstream))
        return;
    const std::size_t unsent =
        response_has_begun(exchange) ? context_.loop.pending_output(exchange.caller) : 0;
    exchange.held_response->set(context_.loop.input(exchange.upstream).size() +
                                exchange.reader->body.size() +
                                exchange.partial_event.size() + unsent);
}

void request_flow::limit_held_responses()
{
    while (held_response_bytes_ > held_response_limit(context_.settings.memory_mb))
    {
        http_exchange* largest = nullptr;
        for (auto& [id, exchange] : exchanges_)
            if (exchange.held_response &&
                (largest == nullptr ||
                 exchange.held_response->value() > largest->held_response->value()))
                largest = &exchange;
        if (largest == nullptr)
            return;
        context_.metrics.add("pollenhaven_responses_given_up_for_memory_total");
        on_attempt_failed(*largest, "the endpoints' answers take too much memory", true);
    }
}

} // namespace pollenhaven
