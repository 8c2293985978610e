#ifndef POLLENHAVEN_SERVERS_PEER_MESSAGES_HPP
#define POLLENHAVEN_SERVERS_PEER_MESSAGES_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "core/interfaces/key_value_store.hpp"
#include "core/verdict.hpp"
#include "policy/operating_document.hpp"
#include "policy/placement.hpp"

#include <map>
#include <string>
#include <vector>

namespace pollenhaven
{

// The messages between daemons. Each is a MessagePack map with a version; fields that a
// receiver doesn't know are passed over, so that daemons of neighbouring versions
// understand each other.
inline constexpr int peer_protocol_version = 1;

// Paths of the calls between daemons.
inline constexpr const char* execute_path = "/peer/v1/execute";
inline constexpr const char* gossip_path = "/peer/v1/gossip";
inline constexpr const char* renew_path = "/peer/v1/renew";
inline constexpr const char* permit_path = "/peer/v1/permit";
inline constexpr const char* load_ended_path = "/peer/v1/load-ended";

// A request on its way from the entry daemon to the owner of an endpoint.
struct execute_request
{
    request_id id;
    endpoint_id endpoint;
    partner_id partner;
    work_class priority = work_class::interactive;
    token_count tokens;
    // Time left until the caller's deadline, when this message is sent.
    milliseconds time_left{0};
    std::string body;
    std::string trace_parent;
    // For model engines.
    model_ref model;
    // For plain services.
    service_id service;
    std::string path;
    idempotency_key key;
    bool idempotent = true;
    // A fingerprint of the content, by which a request that crashes endpoints is
    // recognised.
    std::string fingerprint;
    // Crashes that this content is known to have met, as far as the sender knows.
    int crashes = 0;
    // To attach to a generation that runs already, from this token on.
    bool resume = false;
    int from_token = 0;
};

// What comes back: tokens in order, then one final event.
struct execute_event
{
    bool final = false;
    int position = 0;
    std::string text;
    verdict run = verdict::may_have_run;
    failure error;
    model_ref adapter;
    std::string finish_reason;
    int tokens = 0;
    int status = 0;
    std::string body;
    // Crashes that the request's content has met so far.
    int crashes = 0;
};

// The state of one endpoint as its owner tells the other daemons.
struct endpoint_digest
{
    endpoint_id id;
    bool ready = false;
    // Requests that wait for a place in the batch, and those that wait for their adapter.
    std::map<partner_id, int> queued;
    int stalled = 0;
    int running = 0;
    int max_batch = 1;
    int busy_slots = 0;
    int slots = 0;
    double victim_heat = 0;
    std::map<model_ref, residency> adapters;
};

// A request that was running when an endpoint crashed.
struct crash_note
{
    std::string fingerprint;
    int crashes = 0;
};

// A daemon's regular message to its peers.
struct gossip_message
{
    daemon_id from;
    incarnation_id incarnation;
    bool leaving = false;
    store_revision ownership_revision;
    store_revision document_revision;
    // Whether the endpoints are included; without, the last ones told stay valid.
    bool has_endpoints = false;
    std::vector<endpoint_digest> endpoints;
    // Tokens of work that each partner received from this daemon's endpoints since its
    // start.
    std::map<partner_id, double> served;
    std::vector<crash_note> crashes;
    // Set by a daemon that can't learn of the members from the key-value service.
    bool wants_state = false;
};

// The answer carries what the sender of the message doesn't have yet.
struct gossip_answer
{
    store_revision ownership_revision;
    std::string ownership;
    std::vector<document_section> sections;
    // For a sender that wants state: the members, each as in the key-value service, and
    // the answering daemon's own message.
    std::vector<std::string> members;
    std::string state;
};

struct renew_request
{
    lease_id lease;
    store_revision ownership_revision;
};

struct renew_answer
{
    // Whether the key-value service answered the peer, and what it said of the lease.
    bool service_answered = false;
    bool lease_alive = false;
    store_revision ownership_revision;
};

struct permit_message
{
    std::string id;
    work_class priority = work_class::interactive;
};

// Thrown for a message that can't be understood.
class message_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

std::string encode(const execute_request& message);
std::string encode(const execute_event& message);
std::string encode(const gossip_message& message);
std::string encode(const gossip_answer& message);
std::string encode(const renew_request& message);
std::string encode(const renew_answer& message);
std::string encode(const permit_message& message);

execute_request decode_execute_request(const std::string& data);
execute_event decode_execute_event(const std::string& data);
gossip_message decode_gossip_message(const std::string& data);
gossip_answer decode_gossip_answer(const std::string& data);
renew_request decode_renew_request(const std::string& data);
renew_answer decode_renew_answer(const std::string& data);
permit_message decode_permit_message(const std::string& data);

} // namespace pollenhaven

#endif
