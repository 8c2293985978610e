#include "servers/gateway/store_sync.hpp"

#include "servers/gateway/fleet_watcher.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// Longer than the interval between lease renewals. If the store hasn't responded for this
// long, it is unreachable or refuses this daemon.
constexpr milliseconds silence_before_request{1000};
constexpr milliseconds request_interval{500};
constexpr milliseconds peer_timeout{1000};
// Keeps datagrams small enough for the queue of a network link.
constexpr std::size_t chunk_bytes = 8192;

} // namespace

store_sync::store_sync(gateway_context& context, send_function send)
    : context_(context), send_(std::move(send))
{
}

void store_sync::add_watch(store_watch& watch)
{
    watches_[watch.prefix()].watch = &watch;
}

// Returns the address of the live peer to which the store responded last, if the store
// isn't down for that peer too. While this daemon has no configuration, it accepts any
// live peer, and the next seed if there is none. Returns an empty address if no peer is
// suitable.
network_address store_sync::choose_peer()
{
    const instant now = context_.loop.now();
    const member_view* best = nullptr;
    for (const auto& [id, member] : context_.fleet.members)
    {
        const bool usable = id != context_.settings.id && !member.peer_address.empty() &&
                            now - member.last_message_at < peer_timeout;
        if (usable && (best == nullptr || member.store_silence < best->store_silence))
            best = &member;
    }
    const bool is_useful =
        best != nullptr &&
        (context_.routing == nullptr || best->store_silence < store_outage_threshold);
    if (is_useful)
        return best->peer_address;
    const std::vector<network_address>& seeds = context_.settings.seeds;
    if (context_.routing != nullptr || seeds.empty())
        return {};
    return seeds[next_seed_++ % seeds.size()];
}

void store_sync::run_periodic_work()
{
    const instant now = context_.loop.now();
    if (store_silence(context_) < silence_before_request ||
        now - last_request_sent_ < request_interval)
        return;
    const network_address peer = choose_peer();
    if (peer.empty() || peer == context_.settings.peer_address)
        return;
    last_request_sent_ = now;
    for (auto& [prefix, synced] : watches_)
    {
        synced.known_position =
            std::max(synced.known_position, synced.watch->known_position());
        send_(peer,
              sync_request_message{context_.settings.id, context_.settings.peer_address,
                                   prefix, synced.known_position});
    }
}

void store_sync::on_request(const sync_request_message& request)
{
    const auto found = watches_.find(request.prefix);
    if (found == watches_.end() || !found->second.watch->is_loaded())
        return;
    const store_watch& watch = *found->second.watch;
    if (watch.known_position() <= request.after)
        return;
    std::vector<const store_item*> newer;
    for (const auto& [key, item] : watch.items())
        if (position_of(item) > request.after)
            newer.push_back(&item);
    sync_chunk_message response;
    response.sender = context_.settings.id;
    response.prefix = request.prefix;
    response.response_position = watch.known_position();
    response.item_count = newer.size();
    for (const store_item* item : newer)
        send_item(request.reply_to, request.prefix, *item, response);
    if (request.after == store_position{} &&
        request.prefix == context_.dialect.layout.endpoint_prefix)
        send_inventories(request.reply_to);
}

// Sends the inventories of all engines to a daemon that has just started, because it has
// missed those that the holders sent before.
void store_sync::send_inventories(const network_address& to)
{
    for (const auto& [id, endpoint] : context_.fleet.endpoints)
    {
        const std::optional<inventory_message> inventory =
            last_reported_inventory(endpoint, context_.loop.now());
        if (inventory)
            send_(to, *inventory);
    }
}

void store_sync::send_item(const network_address& to, const std::string& prefix,
                           const store_item& item, const sync_chunk_message& response)
{
    sync_chunk_message chunk = response;
    chunk.prefix = prefix;
    chunk.key = item.key;
    chunk.position = position_of(item);
    chunk.deleted = item.deleted;
    chunk.value_bytes = item.value.size();
    do
    {
        chunk.bytes = item.value.substr(chunk.offset, chunk_bytes);
        send_(to, chunk);
        chunk.offset += chunk_bytes;
    } while (chunk.offset < item.value.size());
}

void store_sync::on_chunk(const sync_chunk_message& chunk)
{
    const auto found = watches_.find(chunk.prefix);
    if (found == watches_.end() ||
        chunk.response_position <= found->second.known_position)
        return;
    synced_watch& synced = found->second;
    if (chunk.response_position != synced.response_position)
    {
        synced.response_position = chunk.response_position;
        synced.completed_keys.clear();
        synced.partial_items.clear();
    }
    if (synced.completed_keys.contains(chunk.key))
        return;
    partial_item& partial = synced.partial_items[chunk.key];
    if (partial.position != chunk.position)
        partial = {chunk.position, 0, {}};
    if (partial.chunks.emplace(chunk.offset, chunk.bytes).second)
        partial.received += chunk.bytes.size();
    if (partial.received < chunk.value_bytes)
        return;
    std::string value;
    for (const auto& [offset, bytes] : partial.chunks)
        value += bytes;
    complete_item(synced, chunk, value);
}

void store_sync::complete_item(synced_watch& synced, const sync_chunk_message& last,
                               const std::string& value)
{
    synced.partial_items.erase(last.key);
    synced.completed_keys.insert(last.key);
    synced.watch->apply_from_peer(
        {last.key, value, last.position.revision, last.deleted, last.position.era});
    if (synced.completed_keys.size() < last.item_count)
        return;
    synced.known_position = last.response_position;
    context_.log.write(
        "learned from peer",
        {{"peer", last.sender.value},
         {"prefix", last.prefix},
         {"items", static_cast<std::int64_t>(last.item_count)},
         {"position", static_cast<std::int64_t>(last.response_position.revision.value)}});
}

} // namespace pollenhaven
