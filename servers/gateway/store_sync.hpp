#ifndef POLLENHAVEN_SERVERS_GATEWAY_STORE_SYNC_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_STORE_SYNC_HPP

#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/store_watch.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace pollenhaven
{

// Fetches changed store items from peers while the store doesn't respond to this daemon,
// and sends items to peers that request them. A daemon that starts during a store outage
// and knows no live peer asks the seeds, which are peer addresses from its settings.
class store_sync
{
public:
    using send_function =
        std::function<void(const network_address&, const fleet_message&)>;

    store_sync(gateway_context& context, send_function send);

    // Adds a watch whose items are synchronised.
    void add_watch(store_watch& watch);
    // Requests items from a peer if the store hasn't responded for a while. Must be
    // called periodically.
    void run_periodic_work();
    // Sends the requested items, or nothing if the watch has no complete listing, which
    // the peer would mistake for a complete one.
    void on_request(const sync_request_message& request);
    // Adds a chunk to its item, and passes complete items to the watch.
    void on_chunk(const sync_chunk_message& chunk);

private:
    // An item of which some chunks haven't arrived yet.
    struct partial_item
    {
        store_position position;
        std::size_t received = 0;
        std::map<std::size_t, std::string> chunks;
    };

    struct synced_watch
    {
        store_watch* watch = nullptr;
        // All changes up to this position are known.
        store_position known_position;
        // The response that is being received covers all changes up to this position.
        store_position response_position;
        // Keys of its items that have arrived completely.
        std::set<std::string> completed_keys;
        std::map<std::string, partial_item> partial_items;
    };

    network_address choose_peer();
    void send_inventories(const network_address& to);
    void send_item(const network_address& to, const std::string& prefix,
                   const store_item& item, const sync_chunk_message& response);
    void complete_item(synced_watch& synced, const sync_chunk_message& last,
                       const std::string& value);

    gateway_context& context_;
    send_function send_;
    std::map<std::string, synced_watch> watches_;
    instant last_request_sent_{};
    // Number of requests sent to seeds, which are asked in turn.
    std::size_t next_seed_ = 0;
};

} // namespace pollenhaven

#endif
