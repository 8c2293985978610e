#ifndef POLLENHAVEN_SERVERS_GATEWAY_FLEET_MESSAGES_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_FLEET_MESSAGES_HPP

#include "core/ids.hpp"
#include "core/records/endpoint_record.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pollenhaven
{

// What a daemon has under way at one endpoint.
struct endpoint_load
{
    int in_flight = 0;
    int pending_prefill_tokens = 0;
    std::map<adapter_id, int> in_flight_by_adapter;
    // Requests begun since the daemon's last message.
    std::map<adapter_id, int> started_by_adapter;
};

// A daemon's regular word about itself.
struct heartbeat_message
{
    daemon_id sender;
    incarnation_id incarnation;
    bool ready = false;
    bool leaving = false;
    // How long the store hasn't answered the sender.
    milliseconds store_silence{0};
    std::map<endpoint_id, endpoint_load> use;
};

struct endpoint_counts
{
    int in_flight = 0;
    int pending_prefill_tokens = 0;
};

// How much a daemon has under way at some endpoints, told as soon as it changes; the
// heartbeat tells of which adapters.
struct endpoint_load_message
{
    daemon_id sender;
    std::map<endpoint_id, endpoint_counts> counts;
};

struct reported_adapter
{
    versioned_adapter held;
    milliseconds ready_in{0};
};

// What an engine holds, by the daemon that gives it orders.
struct inventory_message
{
    daemon_id sender;
    endpoint_id endpoint;
    std::uint64_t token = 0;
    // Grows with each announcement under one token.
    std::uint64_t sequence = 0;
    int queued_loads = 0;
    std::vector<reported_adapter> adapters;
};

// How many loads an engine has before it, between two announcements of what it holds.
struct load_queue_message
{
    daemon_id sender;
    endpoint_id endpoint;
    std::uint64_t token = 0;
    int queued_loads = 0;
};

// Asks the holder of an engine's orders to load an adapter.
struct load_request_message
{
    daemon_id sender;
    endpoint_id endpoint;
    adapter_id adapter;
    std::optional<adapter_version> version;
    int urgency = 0;
    bool replica = false;
    // Requests at the sender that wait for the adapter.
    int waiting = 1;
    // The time in which it must be ready for them to be answered on time; 0 if they will
    // be late anyway.
    milliseconds ready_within{0};
    // Only at the sender: the same engine was asked before.
    bool repeated = false;
};

// Contents of requests that were running when an endpoint crashed, with the number of
// crashes; 0 for one that has run to its end since.
struct suspects_message
{
    daemon_id sender;
    std::map<std::string, int> crashes;
};

// Asks a peer for what it knows of the store's items.
struct sync_request_message
{
    daemon_id sender;
    network_address reply_to;
    std::string prefix;
    store_revision after;
};

// A piece of one of the store's items, in answer to such a question.
struct sync_chunk_message
{
    daemon_id sender;
    std::string prefix;
    std::string key;
    store_revision revision;
    bool deleted = false;
    // The length of the whole value, and the place of this piece in it.
    std::size_t value_bytes = 0;
    std::size_t offset = 0;
    std::string bytes;
    // The answer has so many items and tells everything up to this revision.
    std::size_t item_count = 0;
    store_revision position;
};

using fleet_message =
    std::variant<heartbeat_message, endpoint_load_message, inventory_message,
                 load_queue_message, load_request_message, suspects_message,
                 sync_request_message, sync_chunk_message>;

// Encodes a message as MessagePack with a format version.
std::string encode(const fleet_message& message);

// Decodes a message. Throws std::runtime_error that says what is wrong with it.
fleet_message decode(std::string_view bytes);

} // namespace pollenhaven

#endif
