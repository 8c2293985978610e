#ifndef POLLENHAVEN_SERVERS_GATEWAY_STORE_CLIENT_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_STORE_CLIENT_HPP

#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/http_client.hpp"

namespace pollenhaven
{

// A connection to the store. Each response also tells the store's era, which is recorded
// before the response is evaluated. A response of an earlier era than the one known
// counts as none.
class store_client
{
public:
    explicit store_client(gateway_context& context)
        : context_(context), client_(context.loop, context.settings.store_address)
    {
    }

    // Calls the store; see http_client::call().
    void call(const outgoing_call& call, milliseconds timeout,
              http_client::completion_handler done)
    {
        client_.call(call.bytes, timeout,
                     [this, done = std::move(done)](const http_result& result)
                     {
                         if (result.has_response &&
                             !record_store_era(context_, result.head))
                             return done({});
                         done(result);
                     });
    }

    // Closes the connection and discards all calls without calling their handlers.
    void cancel_all() { client_.cancel_all(); }

private:
    gateway_context& context_;
    http_client client_;
};

} // namespace pollenhaven

#endif
