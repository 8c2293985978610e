#ifndef POLLENHAVEN_SERVERS_GATEWAY_FLEET_MESSAGES_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_FLEET_MESSAGES_HPP

#include "core/ids.hpp"
#include "core/records/customers.hpp"
#include "core/records/endpoint_record.hpp"
#include "policy/crash_history.hpp"
#include "policy/customers/quota_ledger.hpp"
#include "policy/fleet/fleet_view.hpp"
#include "policy/fleet/keeper_questions.hpp"
#include "policy/fleet/load_time_model.hpp"
#include "policy/fleet/prompt_part_crashes.hpp"
#include "policy/fleet/request_limit.hpp"
#include "policy/fleet/stream_copies.hpp"
#include "servers/gateway/store/watch_news.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pollenhaven
{

// The load of one daemon at one endpoint: requests in flight and their prompt tokens that
// the endpoint hasn't processed yet.
struct endpoint_load
{
    int in_flight = 0;
    int pending_prefill_tokens = 0;
    std::map<adapter_id, int> in_flight_by_adapter;
    // Requests started since the daemon's last report about the endpoint.
    std::map<adapter_id, int> started_by_adapter;
};

// Interval of the heartbeats.
constexpr milliseconds heartbeat_interval{200};

// The periodic status message of a daemon.
struct heartbeat_message
{
    daemon_id sender;
    incarnation_id incarnation;
    bool ready = false;
    bool leaving = false;
    // The receiver gets each heartbeat of the sender. Daemons of earlier releases send
    // each one to all.
    bool is_regular = true;
    // The sender reaches no endpoint.
    bool cut_off = false;
    // The newest change of the operators' entries that the sender knows from the store.
    store_position operator_change;
    // Time since the store last responded to the sender.
    milliseconds store_silence{0};
    // The store's era that the sender has seen, and for how long.
    store_era era;
    milliseconds era_age{0};
    // The sender's load, by endpoint. Only daemons of earlier releases send it here.
    std::map<endpoint_id, endpoint_load> endpoint_loads;
    // What the sender has observed of loads since its last heartbeat.
    std::vector<load_observation> load_observations;
    // What the sender has learned from all observations.
    load_time_model load_times;
    // The request limits of the endpoints for which the sender gives permits.
    std::map<endpoint_id, request_rate> request_limits;
    // The versions of services with resumable streams that the sender has known within
    // the lifetime of a stream; none if the sender can't state them.
    std::optional<service_versions> software_versions;
};

// Asks an endpoint's keeper for the load of all others there.
struct load_question
{
    question_number number;
    // The sender has requests that wait until the endpoint can take them.
    bool is_waiting = false;
};

// The load of a daemon at some endpoints, sent to their keepers. Requests that it is
// about to send count. Endpoints that aren't listed have the load that was last reported.
struct endpoint_load_message
{
    daemon_id sender;
    std::map<endpoint_id, endpoint_load> loads;
    std::map<endpoint_id, load_question> questions;
    // Increases with each message of the sender, also over its restarts. Daemons of
    // earlier releases send none.
    std::uint64_t sequence = 0;
};

// What an endpoint's keeper knows of the load there, without the receiver's own.
struct stated_load
{
    // The question that this answers; 0 if the keeper informs a daemon that waits.
    question_number number;
    int in_flight = 0;
    int pending_prefill_tokens = 0;
    // Contains the adapters for which the receiver has requests there.
    std::map<adapter_id, int> in_flight_by_adapter;
};

// The answer of a keeper to load questions.
struct stated_load_message
{
    daemon_id sender;
    std::map<endpoint_id, stated_load> loads;
};

struct reported_adapter
{
    versioned_adapter adapter;
    // Time until the adapter is loaded; 0 if it is loaded already.
    milliseconds ready_in{0};
    // Time since its load from the weight store started, and the number of loads among
    // which it was expected to share the store; 0 if no such load is in progress.
    milliseconds loading_for{0};
    int concurrent_loads = 0;
};

// The inventory of an engine, sent by its holder.
struct inventory_message
{
    daemon_id sender;
    endpoint_id endpoint;
    // Fencing token of the holder.
    std::uint64_t token = 0;
    // Increases with each inventory that is sent under one fencing token.
    std::uint64_t sequence = 0;
    int queued_loads = 0;
    std::vector<reported_adapter> adapters;
    // The requests of all daemons at the engine, and their prompt tokens that it hasn't
    // processed. Daemons of earlier releases state none.
    std::optional<int> in_flight;
    int pending_prefill_tokens = 0;
    // The receiver relays the message to the daemons of its availability zone.
    bool is_to_relay = false;
};

// The number of loads that an engine's holder has queued, sent between two inventories.
struct load_queue_message
{
    daemon_id sender;
    endpoint_id endpoint;
    // Fencing token of the holder.
    std::uint64_t token = 0;
    int queued_loads = 0;
};

// Asks the holder of an engine to load an adapter.
struct load_request_message
{
    daemon_id sender;
    endpoint_id endpoint;
    adapter_id adapter;
    // The lowest version that serves these requests; any version if none is given.
    std::optional<adapter_version> version;
    // 0 is the most urgent.
    int urgency = 0;
    // True if the load isn't dropped when another engine holds the adapter already.
    bool replica = false;
    // Number of requests at the sender that wait for the adapter.
    int waiting = 1;
    // The adapter must be ready within this time for these requests to meet their target
    // latency; 0 if they will miss it anyway.
    milliseconds ready_within{0};
    // True if the sender asked the same engine before. Used by the sender only and not
    // encoded.
    bool is_repeated = false;
};

// Fingerprints of requests that were running when an endpoint crashed, with the number of
// crashes; 0 for a request that has completed since.
struct suspects_message
{
    daemon_id sender;
    std::map<std::string, int> crashes;
    // The crashes by name, as far as the sender knows them. Daemons of earlier versions
    // send none.
    std::map<std::string, std::vector<endpoint_crash>> named_crashes;
};

// A blocked part of prompts, as it is told to peers.
struct announced_block
{
    // As in blocked_part.
    int trials = 0;
    milliseconds next_trial_in{0};
};

// What a daemon has seen of prompt parts that may crash engines, and which it blocks.
struct prompt_parts_message
{
    daemon_id sender;
    // The parts of the sender's requests that a crashed endpoint had not begun to answer.
    std::map<endpoint_id, positioned_parts> crashes;
    // Suspects and blocked parts of which a request has been answered.
    std::vector<prompt_part_id> answered;
    std::map<prompt_part_id, announced_block> blocked;
};

// Asks a peer for the store items below a prefix that changed after a position.
struct sync_request_message
{
    daemon_id sender;
    network_address reply_to;
    std::string prefix;
    store_position after;
};

// A chunk of a store item, in response to a sync_request_message.
struct sync_chunk_message
{
    daemon_id sender;
    std::string prefix;
    std::string key;
    store_position position;
    bool deleted = false;
    // Length of the complete value, and offset of this chunk in it, in bytes.
    std::size_t value_bytes = 0;
    std::size_t offset = 0;
    std::string bytes;
    // Number of items in the complete response.
    std::size_t item_count = 0;
    // The complete response covers all changes up to this position.
    store_position response_position;
};

// Tells peers the request limit that an endpoint has stated, or its end.
struct endpoint_limit_message
{
    daemon_id sender;
    endpoint_id endpoint;
    // The start of the endpoint, as in its record.
    std::uint64_t endpoint_started_ms = 0;
    // None if the limit has ended.
    std::optional<request_rate> limit;
    // The permit of the request whose response had no limit; 0 if the giver has judged.
    permit_number permit;
};

// Asks the giver of an endpoint's permits for one.
struct permit_request_message
{
    daemon_id sender;
    endpoint_id endpoint;
    std::uint64_t endpoint_started_ms = 0;
    // The limit that the sender knows, and for how long it has known it.
    request_rate limit;
    milliseconds limit_age{0};
};

// The answer to a permit_request_message.
struct permit_message
{
    daemon_id sender;
    endpoint_id endpoint;
    // False if the endpoint has no limit any more.
    bool is_limited = true;
    // 0 if no permit is given.
    permit_number number;
    // When to ask again, if none is given.
    milliseconds retry_in{0};
};

// Tells peers that a brittle endpoint has rejected a request for want of room.
struct endpoint_room_message
{
    daemon_id sender;
    endpoint_id endpoint;
    std::uint64_t endpoint_started_ms = 0;
    // The requests of all daemons that it had accepted.
    int accepted = 0;
    // The rejections that the endpoint bears.
    request_rate bearable_rejections;
};

// Changes of the store, from a daemon that watches it for others.
struct store_changes_message
{
    daemon_id sender;
    std::vector<watch_news> watches;
};

// Asks a customer's keeper for credit, or returns some.
struct quota_question_message
{
    daemon_id sender;
    customer_id customer;
    // The quota in the sender's configuration, for a keeper that doesn't know the
    // customer yet.
    customer_quota quota;
    quota_question question;
};

struct quota_answer_message
{
    daemon_id sender;
    customer_id customer;
    quota_answer answer;
};

struct sent_copy
{
    stream_key stream;
    software_version version;
    copy_number number;
};

// Copies of the records of the sender's streams, for the receiver to hold.
struct stream_copies_message
{
    daemon_id sender;
    incarnation_id incarnation;
    std::vector<sent_copy> copies;
};

// Confirms copies, by stream and number.
struct stream_copies_receipt
{
    daemon_id sender;
    std::vector<std::pair<stream_key, copy_number>> streams;
};

// Asks a member what it knows of a stream.
struct stream_question_message
{
    daemon_id sender;
    stream_key stream;
};

struct stream_statement_message
{
    daemon_id sender;
    stream_key stream;
    stream_statement statement;
};

using fleet_message = std::variant<
    heartbeat_message, endpoint_load_message, inventory_message, load_queue_message,
    load_request_message, suspects_message, prompt_parts_message, sync_request_message,
    sync_chunk_message, endpoint_limit_message, permit_request_message, permit_message,
    endpoint_room_message, stated_load_message, store_changes_message,
    quota_question_message, quota_answer_message, stream_copies_message,
    stream_copies_receipt, stream_question_message, stream_statement_message>;

// Encodes a message as MessagePack with a format version.
std::string encode(const fleet_message& message);

// Decodes a message. Throws std::runtime_error if it is malformed, or of an unknown kind
// or another format version.
fleet_message decode(std::string_view bytes);

} // namespace pollenhaven

#endif
