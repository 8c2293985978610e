#ifndef POLLENHAVEN_POLICY_FLEET_FLEET_VIEW_HPP
#define POLLENHAVEN_POLICY_FLEET_FLEET_VIEW_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "core/records/endpoint_record.hpp"
#include "policy/fleet/load_time_model.hpp"
#include "policy/fleet/request_limit.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pollenhaven
{

// The software versions of the endpoints, by service.
using service_versions = std::map<service_id, std::set<software_version>>;

// The state of a member, a daemon of the fleet, as far as this daemon knows it.
struct member_view
{
    daemon_id id;
    network_address caller_address;
    network_address peer_address;
    std::string zone;
    // The part of a processor core, or the number of cores, that the member may use.
    double cores = 1;
    incarnation_id incarnation;
    // The version of the messages that the member understands (zone_relay.hpp).
    int message_version = 1;
    bool ready = false;
    bool leaving = false;
    // The member reaches no endpoint, as of its last heartbeat.
    bool cut_off = false;
    // When the last heartbeat from the member arrived.
    instant last_message_at{};
    // The member sends this daemon each of its heartbeats, as of its last one.
    bool sends_each_heartbeat = false;
    // The store has the member's entry, so its lease is in force.
    bool leased = false;
    // This daemon has seen the member's entry in the store at some time.
    bool known_from_store = false;
    // When this daemon detected that the entry was removed, because the lease ended; none
    // while the entry exists.
    std::optional<instant> lease_ended_at;
    // The time since the store last responded to the member, as of its last heartbeat.
    milliseconds store_silence{0};
    // The era of the store that the member has seen, as of its last heartbeat.
    store_era era;
    // The versions that the member has known within the lifetime of a stream, as of its
    // last heartbeat; none if it runs an earlier release, which doesn't state them.
    std::optional<service_versions> software_versions;
};

// An adapter that is loaded on an engine or is being loaded.
struct resident_adapter
{
    adapter_version version;
    // When the engine is expected to be able to run requests for it.
    instant ready_at{};
    // When the engine first refused a request for it; zero if it never did.
    instant first_refused_at{};
    // Number of requests for it that the engine refused.
    int refusals = 0;
    // The engine has responded to a request for it. Until then only one request at a time
    // is sent for it, as a trial.
    bool confirmed = false;
    // When its load from the weight store started, and the number of loads among which it
    // was expected to share the store; zero if it was loaded otherwise or before.
    instant load_started_at{};
    int concurrent_loads = 0;
};

// The requests that peers have in flight at an endpoint: those of one peer, as reported
// by that peer, or those of all daemons but this one, as reported by the endpoint's
// keeper.
struct peer_load
{
    int in_flight = 0;
    // Prompt tokens of the requests whose response has not begun.
    int pending_prefill_tokens = 0;
    std::map<adapter_id, int> by_adapter;
    instant received_at{};
    // Increases with each report of the peer.
    std::uint64_t sequence = 0;
};

// What a daemon knows of an endpoint that fails if it has to reject too many requests.
struct brittle_view
{
    // The rejections per second that it bears, from all daemons together; none if it
    // isn't brittle.
    std::optional<request_rate> bearable;
    instant learned_at{};
    // The requests that it had when it last rejected one, and when that was; none if it
    // has rejected none.
    std::optional<int> room;
    instant rejected_at{};
};

// The state of an endpoint as far as this daemon knows it.
struct endpoint_view
{
    endpoint_record record;
    // When the endpoint counts as gone, because its store entry was removed or not seen
    // yet, or another endpoint took over its address. May lie in the future after a store
    // outage, to give the endpoint time to register again.
    std::optional<instant> gone_at;
    // The endpoint has announced its shutdown. Stays set if an older store entry arrives
    // later.
    bool draining = false;

    // The daemon that may send orders to the endpoint, and that daemon's fencing token.
    // Empty if there is none.
    daemon_id holder;
    std::uint64_t holder_token = 0;
    // Sequence number of the last inventory received from the holder; restarts with each
    // token.
    std::uint64_t inventory_sequence = 0;
    // This daemon received an inventory from a holder since the endpoint started. It is
    // newer than the endpoint's own store entry, whose adapters are then ignored.
    bool inventory_received = false;
    std::map<adapter_id, resident_adapter> adapters;
    // Adapters that the engine had loaded at some time since its start. They load faster.
    std::set<adapter_id> previously_loaded;
    // Number of loads that were requested and not ordered yet: as the holder last
    // reported it, plus the loads that this daemon requested since.
    int queued_loads = 0;
    // When the holder last reported it, or this daemon restarted the count at 0.
    instant queue_reported_at{};

    // The requests that this daemon has in flight at the endpoint.
    int in_flight = 0;
    int pending_prefill_tokens = 0;
    std::map<adapter_id, int> in_flight_by_adapter;
    // Requests of this daemon that the endpoint's keeper counts and that aren't sent yet,
    // with their prompt tokens.
    int reserved_requests = 0;
    int reserved_prefill_tokens = 0;
    // The loads that peers reported to this daemon as the endpoint's keeper.
    std::map<daemon_id, peer_load> peers;
    // The load of all other daemons, as the endpoint's keeper last stated it; none if it
    // never did.
    std::optional<peer_load> others;

    // Moving average of the time to the first byte of a response, and when it was last
    // updated.
    double first_byte_ms = 0;
    instant first_byte_at{};
    // Moving average of the share of requests that failed, and when the last one failed.
    double failure_share = 0;
    instant failure_at{};
    // Failed connection attempts since the last response.
    int connect_failures = 0;
    // The limit on requests from all daemons together.
    limit_view limit;
    brittle_view brittle;
    // The endpoint has asked this daemon to send it nothing before this time.
    instant refused_until{};
    // No requests are sent before this time, because the endpoint was full or could not
    // be reached.
    instant backoff_until{};
};

// The version of an adapter that operators put in force, and when this daemon learned it.
struct known_version
{
    adapter_version version;
    instant learned_at{};
};

// The software version at which a service's streams began if no record names another one.
struct base_version
{
    software_version version;
    // The store's revision of the entry; 0 if the store has lost it.
    store_revision revision;
    // When this daemon learned that it replaced another version; none if it knows no
    // other.
    std::optional<instant> changed_at;
    // The number of changes before it.
    std::uint64_t number = 0;
    // The era of the store that the first member had known for the lifetime of a stream
    // when it wrote the entry; 0 if there was none.
    store_era settled_era{};
    // A restored store has an earlier one.
    bool is_outdated_in_store = false;
};

// The state of the fleet as far as this daemon, `self`, knows it.
struct fleet_view
{
    daemon_id self;
    std::string zone;
    std::map<endpoint_id, endpoint_view> endpoints;
    std::map<daemon_id, member_view> members;
    std::map<adapter_id, known_version> versions;
    std::map<service_id, base_version> base_versions;
    // When this daemon last knew an endpoint of a version, as of the last
    // record_known_versions().
    std::map<service_id, std::map<software_version, instant>> known_versions;
    // The latest era that the store has stated to this daemon; 0 if it states none.
    store_era era;
    // What this daemon and its peers have learned about the weight store.
    load_time_model load_times;
    // Loads in progress at all engines, as of the last count_loads_in_progress().
    int loads_in_progress = 0;
    // Engines with a holder, as of the same time.
    int held_engines = 0;
};

// Counts the adapters that are being loaded at any engine, and the engines with a holder.
void count_loads_in_progress(fleet_view& fleet, instant now);

// Returns what a request that was sent at the time `sent` tells about the load of its
// adapter: the load was complete if the engine responded, not if it refused the request.
// None if it tells nothing, because the adapter was loaded before.
std::optional<load_observation> observed_load(const resident_adapter& resident,
                                              instant sent, bool complete);

// Returns the requests in flight at the endpoint, from this daemon and, as far as known,
// from all others. Reserved ones count.
int total_in_flight(const endpoint_view& endpoint, instant now);

// The same with a statement of the keeper that may be some seconds old, for decisions
// about averages.
int recent_in_flight(const endpoint_view& endpoint, instant now);

// Returns the prompt tokens that the endpoint has yet to process, over the requests of
// all daemons.
int total_pending_prefill_tokens(const endpoint_view& endpoint, instant now);

// Returns the requests for one adapter in flight at the endpoint, from all daemons.
int adapter_requests_in_flight(const endpoint_view& endpoint, const adapter_id& adapter,
                               instant now);

// Records a load that a peer has reported, unless a later report has arrived before.
void record_peer_load(endpoint_view& endpoint, const daemon_id& peer,
                      const peer_load& load);

// Forgets the loads of peers that haven't been reported for so long that they don't count
// any more.
void remove_expired_loads(endpoint_view& endpoint, instant now);

// Returns true if the endpoint counts as gone by now.
bool is_gone(const endpoint_view& endpoint, instant now);

// Returns true if new requests may be sent to the endpoint.
bool accepts_requests(const endpoint_view& endpoint, instant now);

// Records that the first byte of a response arrived after the time `elapsed`.
void record_first_byte(endpoint_view& endpoint, milliseconds elapsed, instant now);

// Records that a request failed at the endpoint.
void record_failure(endpoint_view& endpoint, instant now);

// Records that a connection to the endpoint could not be established. No requests are
// sent to it for a back-off time that doubles with each failure, up to a maximum.
void record_unreachable(endpoint_view& endpoint, instant now);

// Records that a request was sent. If the endpoint could not be reached before, this is a
// trial, and no further requests are sent before its outcome should be known.
void record_sent(endpoint_view& endpoint, instant now);

// Records the number of loads queued for the engine, as reported by its holder.
void record_load_queue(endpoint_view& endpoint, int queued_loads, instant now);

// Counts a load that this daemon requests. A working holder reports its queue length
// promptly, so the count restarts at 0 if none was reported for some time.
void record_load_request(endpoint_view& endpoint, instant now);

// Replaces the adapters of an engine by those that its holder reported. Adapters that
// were known in the same version keep their state, including the time at which they are
// expected to be ready unless the holder now reports an earlier one.
void replace_adapters(endpoint_view& endpoint,
                      const std::map<adapter_id, resident_adapter>& adapters);

// Records that the engine refused a request for an adapter that it should have. A load
// that was due to complete only recently counts as late: it is expected to complete after
// a short time. Else the adapter counts as missing and is removed from the view.
void record_missing_adapter(endpoint_view& endpoint, const adapter_id& adapter,
                            instant now);

// Returns true if another endpoint of the service without a request limit has the
// adapter, or is loading it, in a version on which requests may run.
bool is_loaded_elsewhere(const fleet_view& fleet, const endpoint_view& endpoint,
                         const adapter_id& adapter, instant now);

// Returns the lowest version on which requests for the adapter may run; none if operators
// have set none.
std::optional<adapter_version> required_version(const fleet_view& fleet,
                                                const adapter_id& adapter);

// Returns the endpoint's keeper: the daemon that counts the requests of all daemons
// there, and gives the permits if the endpoint has a request limit. It is the holder, or
// of the daemons with a lease in the store that aren't leaving the first by rendezvous
// hashing. Empty if there is none.
daemon_id endpoint_keeper(const fleet_view& fleet, const endpoint_id& endpoint);

// Returns the daemon that keeps the ledger of a customer's quota: the first by rendezvous
// hashing of those with a lease in the store that aren't leaving. If none is known to
// have a lease, it is chosen from all known daemons.
daemon_id customer_keeper(const fleet_view& fleet, const customer_id& customer);

// Returns the load of all daemons but `asker` at an endpoint, as far as its keeper knows,
// with the counts of those adapters for which the asker has requests there.
peer_load load_without(const endpoint_view& endpoint, const daemon_id& asker,
                       instant now);

// Returns true if this daemon is the first one with a lease in the store, which does what
// only one daemon needs to do.
bool is_first_member(const fleet_view& fleet);

// Returns true if fewer than `count` daemons with a lease in the store come before this
// one, whether or not it has a lease itself.
bool is_among_first_members(const fleet_view& fleet, int count);

// The same among the daemons of this one's availability zone.
bool is_among_first_of_zone(const fleet_view& fleet, int count);

// Returns the first daemon by rendezvous hashing of the key, of those with a lease in the
// store and this one.
daemon_id first_member_by_hash(const fleet_view& fleet, const std::string& key);

// Returns the number of daemons with a lease in the store, including this one.
int live_member_count(const fleet_view& fleet);

// Returns true if callers may be sent to the member: it is ready and up and isn't
// leaving. A member that sends this daemon each of its heartbeats is up while they
// arrive, any other one while it has a lease.
bool is_usable_by_callers(const member_view& member, instant now);

// Returns the addresses of one directory response, which `draw` identifies: of the
// daemons that callers may use, including this one if it is ready. Those that reach no
// endpoint are left out unless they are more than half of all, whose load the others
// shouldn't get at once.
std::vector<network_address> caller_addresses(const fleet_view& fleet, std::uint64_t draw,
                                              instant now);

} // namespace pollenhaven

#endif
