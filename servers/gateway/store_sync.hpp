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

// Learns from peers what the store says while it doesn't answer this daemon, and tells
// peers that ask. A daemon that starts in an outage asks the instances of its settings.
class store_sync
{
public:
    using send_function =
        std::function<void(const network_address&, const fleet_message&)>;

    store_sync(gateway_context& context, send_function send);

    // Relays what this watch follows.
    void add_watch(store_watch& watch);
    // Asks a peer if the store is silent; called regularly.
    void run_periodic_work();
    void on_request(const sync_request_message& request);
    void on_chunk(const sync_chunk_message& piece);

private:
    // An item of which not all pieces have arrived.
    struct partial_item
    {
        store_revision revision;
        std::size_t received = 0;
        std::map<std::size_t, std::string> pieces;
    };

    struct synced_watch
    {
        store_watch* watch = nullptr;
        // Everything up to this revision is known.
        store_revision position;
        // What arrived of the answer that ends at `answer_position`.
        store_revision answer_position;
        std::set<std::string> completed_keys;
        std::map<std::string, partial_item> partial_items;
    };

    network_address choose_peer();
    void send_inventories(const network_address& to);
    void send_item(const network_address& to, const std::string& prefix,
                   const store_item& item, const sync_chunk_message& terms);
    void complete_item(synced_watch& relayed, const sync_chunk_message& last,
                       const std::string& value);

    gateway_context& context_;
    send_function send_;
    std::map<std::string, synced_watch> watches_;
    instant last_request_sent_{};
    std::size_t next_seed_ = 0;
};

} // namespace pollenhaven

#endif
