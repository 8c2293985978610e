#ifndef POLLENHAVEN_SERVERS_GATEWAY_STORE_CHANGE_PUBLISHER_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_STORE_CHANGE_PUBLISHER_HPP

#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/store_watch.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pollenhaven
{

// Sends the store's changes to the daemons of the same availability zone that don't watch
// it themselves, if this daemon watches for them, and applies those that it receives.
class change_publisher
{
public:
    using send_function =
        std::function<void(const std::vector<daemon_id>&, const fleet_message&)>;

    change_publisher(gateway_context& context, send_function send);

    void add_watch(store_watch& watch);
    // Sends at intervals, so that the receivers notice a loss.
    void run();
    void on_changes(const store_changes_message& message);

private:
    void publish();
    void publish_soon();
    void send_to_followers(const store_changes_message& message);

    gateway_context& context_;
    send_function send_;
    std::map<std::string, store_watch*> watches_;
    bool is_scheduled_ = false;
};

} // namespace pollenhaven

#endif
