#ifndef POLLENHAVEN_POLICY_FLEET_FLEET_VIEW_HPP
#define POLLENHAVEN_POLICY_FLEET_FLEET_VIEW_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "core/records/endpoint_record.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pollenhaven
{

// A daemon as its peers know it.
struct member_view
{
    daemon_id id;
    network_address caller_address;
    network_address peer_address;
    std::string zone;
    // The start of the process; a restart has another one.
    incarnation_id incarnation;
    bool ready = false;
    bool leaving = false;
    // When the last message of the daemon itself arrived.
    instant last_message_at{};
    // The store still shows the daemon's lease.
    bool leased = false;
    // The store showed it at some time since it was last seen to stop for good.
    bool known_from_store = false;
    // When the store's entry was seen to vanish; none while it is there.
    std::optional<instant> lease_ended_at;
    // How long the store hadn't answered the daemon when it was last heard.
    milliseconds store_silence{0};
};

// An adapter that an engine holds or will hold.
struct resident_adapter
{
    adapter_version version;
    // The moment from which the engine is expected to serve it.
    instant ready_at{};
    // When the engine first refused a request for it; none if it never did.
    instant first_refused_at{};
    int refusals = 0;
    // A request for it was answered; until then one request at a time tries it.
    bool confirmed = false;
};

// What one daemon has under way at an endpoint, by its own word.
struct peer_load
{
    int in_flight = 0;
    // Prompt tokens of requests whose answer hasn't begun.
    int pending_prefill_tokens = 0;
    std::map<adapter_id, int> by_adapter;
    instant received_at{};
};

// What this daemon knows of an endpoint.
struct endpoint_view
{
    endpoint_record record;
    // From this moment on it is gone: its entry vanished from the store.
    std::optional<instant> gone_at;
    // Set from the moment at which it said that it leaves.
    bool draining = false;

    // The daemon that gives it orders, and the number that orders those rights.
    daemon_id holder;
    std::uint64_t holder_token = 0;
    // Orders the holder's announcements under one token.
    std::uint64_t inventory_sequence = 0;
    // A holder announced what the engine holds; its own entry lags behind that.
    bool inventory_received = false;
    std::map<adapter_id, resident_adapter> adapters;
    // Adapters that the engine held at some time since its start; they load faster.
    std::set<adapter_id> previously_loaded;
    // Loads that were asked for and not ordered yet: the holder's word, and what this
    // daemon asked for since.
    int queued_loads = 0;
    instant queue_reported_at{};

    int in_flight = 0;
    int pending_prefill_tokens = 0;
    std::map<adapter_id, int> in_flight_by_adapter;
    std::map<daemon_id, peer_load> peers;

    // Decayed time to the first byte of answers, and when it was last measured.
    double first_byte_ms = 0;
    instant first_byte_at{};
    // Decayed share of requests that failed.
    double failure_share = 0;
    instant failure_at{};
    // Connections that failed since the last answer.
    int connect_failures = 0;
    // The endpoint was full or unreachable; nothing is sent before this moment.
    instant backoff_until{};
};

struct known_version
{
    adapter_version version;
    instant learned_at{};
};

struct fleet_view
{
    daemon_id self;
    std::string zone;
    std::map<endpoint_id, endpoint_view> endpoints;
    std::map<daemon_id, member_view> members;
    std::map<adapter_id, known_version> versions;
};

// Requests under way at the endpoint from all daemons, as far as known.
int total_in_flight(const endpoint_view& endpoint, instant now);

// Prompt tokens that the endpoint has still to read, for requests of all daemons.
int total_pending_prefill_tokens(const endpoint_view& endpoint, instant now);

// Requests for one adapter under way at the endpoint from all daemons.
int adapter_in_flight(const endpoint_view& endpoint, const adapter_id& adapter,
                      instant now);

// Says whether new requests may go to the endpoint.
bool accepts_requests(const endpoint_view& endpoint, instant now);

// Records the outcome of a request: its time to the first byte, or a failure.
void record_first_byte(endpoint_view& endpoint, milliseconds taken, instant now);
void record_failure(endpoint_view& endpoint, instant now);

// Records that no connection to the endpoint came about: it is left alone for a while,
// longer each time.
void record_unreachable(endpoint_view& endpoint, instant now);

// Takes over how many loads are before the engine, by its holder's word.
void record_load_queue(endpoint_view& endpoint, int queued_loads, instant now);

// Counts a load that this daemon asks for. A holder that works tells its queue at once,
// so what was counted before a silence of it doesn't count any more.
void record_load_request(endpoint_view& endpoint, instant now);

// Takes over what an engine holds, by its holder's word. An adapter that was known keeps
// the moment from which it was expected to be ready.
void replace_adapters(endpoint_view& endpoint,
                      const std::map<adapter_id, resident_adapter>& adapters);

// Records that the engine refused a request for an adapter that it should hold: one that
// was due just now is still on its way, any other one isn't there.
void record_missing_adapter(endpoint_view& endpoint, const adapter_id& adapter,
                            instant now);

// Says whether another endpoint of the service holds the adapter, or will soon, in a
// version that requests may run on.
bool is_held_elsewhere(const fleet_view& fleet, const endpoint_view& endpoint,
                       const adapter_id& adapter, instant now);

// The version on which requests for the adapter must run; none if no operator named one.
std::optional<adapter_version> required_version(const fleet_view& fleet,
                                                const adapter_id& adapter);

// Daemons whose lease the store shows, this one included; at least 1.
int live_member_count(const fleet_view& fleet);

// Daemons to which callers may be sent, this one included if it is ready.
std::vector<network_address> caller_addresses(const fleet_view& fleet, instant now);

} // namespace pollenhaven

#endif
