#ifndef POLLENHAVEN_CORE_INTERFACES_PLATFORM_DIALECT_HPP
#define POLLENHAVEN_CORE_INTERFACES_PLATFORM_DIALECT_HPP

#include "core/boot_clock.hpp"
#include "core/http_head.hpp"
#include "core/ids.hpp"
#include "core/records/endpoint_record.hpp"
#include "core/records/routing.hpp"

#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace pollenhaven
{

// Thrown for bytes that violate the platform's protocol; what() names the violation.
class dialect_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// The types of requests that the daemon distinguishes.
enum class request_type
{
    readiness,
    // Asks for the addresses of the daemons that serve callers.
    directory,
    // Any other request; it is forwarded to an endpoint.
    forward
};

// A caller's request, independent of the protocol.
struct caller_request
{
    request_id id;
    std::string host;
    // How long the caller waits for the response, if the request states it.
    std::optional<milliseconds> deadline;
    // Empty for requests to plain services.
    base_model_id model;
    // Empty if the request runs on the base model itself.
    adapter_id adapter;
    // Number of prompt tokens, which may be an estimate; 0 if unknown.
    int prompt_tokens = 0;
    // Number of tokens to generate, or its maximum; 0 if unknown.
    int output_tokens = 0;
    // The request states its numbers of tokens.
    bool states_tokens = false;
    // The parts of the prompt that other requests may have too, in order. The last part,
    // which is the request's or its session's own, isn't among them.
    std::vector<prompt_part_id> shared_prompt_parts;
    // The id of the last event that the caller received of an interrupted stream; the
    // response resumes after it.
    std::string last_event_id;
    // The request whose response contained the first event of that stream; empty if the
    // caller doesn't name it.
    request_id stream_begun_by;
    // The only adapter version on which the request may run, if the caller requires one.
    std::optional<adapter_version> version;
    // The request runs at most once under this key, even if it is sent to several
    // daemons; empty if the caller gave none.
    std::string caller_idempotency_key;
    // The request came with the platform's own header fields, which describe it.
    bool has_platform_fields = true;
};

// The header fields that the daemon sets on a request that it forwards.
struct forwarding_fields
{
    endpoint_id endpoint;
    // The time left until the caller's deadline.
    milliseconds deadline{0};
    // 0 is the most urgent, 9 the least.
    int urgency = 5;
    // The only adapter version on which the request may run.
    std::optional<adapter_version> version;
    // The id of the last event of a stream that another endpoint began; the endpoint
    // resumes after it.
    std::string last_event_id;
    // Set if the caller's request lacks the platform's header fields; they are then
    // written from this.
    std::optional<caller_request> description;
    // Callers identify themselves by API keys, which endpoints must not get, and
    // endpoints get the name of the customer, which is empty if the caller has no key.
    bool callers_have_keys = false;
    customer_id customer;
};

// The fields that change when a daemon passes a caller's request on to another daemon.
struct relay_fields
{
    // The time left until the caller's deadline.
    milliseconds deadline{0};
    // The last event of the stream that the caller has; empty if it has none.
    std::string last_event_id;
    // The request that began that stream.
    request_id stream_begun_by;
};

// The head of an endpoint's response.
struct endpoint_response
{
    request_id id;
    // The response has the signature field. The daemon rejects a successful one without
    // it.
    bool has_signature = false;
    // The endpoint states that it did not run the request and never will.
    bool not_run = false;
    // How long the endpoint wants no requests of this daemon, if it states that with a
    // refusal.
    std::optional<milliseconds> retry_after;
    // The endpoint shuts down.
    bool is_leaving = false;
    // The endpoint that responded, if the response names it. It differs from the expected
    // one if another endpoint has taken over the address.
    endpoint_id endpoint;
    // Requests running and queued at the endpoint.
    std::optional<int> running;
    std::optional<int> waiting;
    // The requests that the endpoint takes from all daemons together, if it states a
    // limit.
    std::optional<request_rate> request_limit;
    // The rejections per second that the endpoint bears, if it states that it fails with
    // more.
    std::optional<request_rate> bearable_rejections;
    // The endpoint states a limit that can't be read.
    bool has_malformed_limit = false;
    // How long the endpoint keeps an idle connection open.
    std::optional<milliseconds> idle_timeout;
};

// A call to the store or to an endpoint: the bytes of one HTTP request.
struct outgoing_call
{
    std::string bytes;
};

// An item of the key-value store.
struct store_item
{
    std::string key;
    std::string value;
    store_revision revision;
    bool deleted = false;
    // The store's era when the item was read.
    store_era era;
};

inline store_position position_of(const store_item& item)
{
    return {item.era, item.revision};
}

// One page of the store's items or of their changes.
struct store_page
{
    // An item whose value can't be read has an empty value.
    std::vector<store_item> items;
    // What is wrong with items that can't be read. Those without a key or revision are
    // left out of `items`.
    std::vector<std::string> faults;
    // Further pages follow.
    bool more = false;
    // The last key of the page, after which the next one begins; also that of an item
    // that is left out.
    std::string last_key;
    // The store's revision at the time of its response.
    store_revision current;
};

// A conditional transaction: all writes and removals are applied if every expected key
// has the given revision, else none of them.
struct store_transaction
{
    struct expected_key
    {
        std::string key;
        // 0: the key must not exist.
        store_revision revision;
    };
    struct written_key
    {
        std::string key;
        std::string value;
        // The store removes the key when this lease ends. 0: the key has no lease.
        std::uint64_t lease = 0;
    };
    std::vector<expected_key> expected;
    std::vector<written_key> writes;
    std::vector<std::string> removals;
};

// A lease that the store granted; it ends unless it is renewed within `time_to_live`.
struct granted_lease
{
    std::uint64_t id = 0;
    milliseconds time_to_live{0};
};

enum class order_action
{
    load,
    unload
};

// An order to an engine to load or unload a model or an adapter.
struct engine_order
{
    order_action action = order_action::load;
    base_model_id model;
    // Empty if the order concerns the base model itself.
    adapter_id adapter;
    std::optional<adapter_version> version;
    // The engine executes the order only if it has accepted exactly this many before.
    std::optional<std::uint64_t> expected_orders;
    endpoint_id endpoint;
    daemon_id holder;
    std::uint64_t fencing_token = 0;
};

// The version of an adapter that an operator put in force, as written to the store.
struct version_entry
{
    versioned_adapter adapter;
};

// The store's keys and key prefixes that operators and endpoints write.
struct store_layout
{
    std::string operator_prefix;
    std::string configuration_key;
    std::string version_prefix;
    std::string endpoint_prefix;
};

// A function that encodes the addresses of the daemons that serve callers and the time
// for which callers may cache them.
using directory_writer =
    std::function<std::string(const std::vector<network_address>&, seconds)>;

// The protocol of one platform for callers, endpoints, operators and the store. Converts
// between bytes and records; makes no decisions. The read_ functions throw dialect_error.
struct platform_dialect
{
    store_layout layout;

    std::function<request_type(const http_head&)> classify;
    std::function<caller_request(const http_head&)> read_request;
    // Returns the API key of a request; none if it has no key or more than one.
    std::function<std::optional<std::string>(const http_head&)> read_api_key;
    // Header lines of a response to a request whose API key isn't known.
    std::string unknown_key_fields;
    directory_writer write_directory;
    std::function<std::string(const http_head&, std::size_t body_bytes,
                              const forwarding_fields&)>
        write_forwarded_request;
    // Writes the request as its caller would have sent it to the other daemon.
    std::function<std::string(const http_head&, std::size_t body_bytes,
                              const relay_fields&)>
        write_relayed_request;
    std::function<endpoint_response(const http_head&)> read_response;
    // Returns the header lines of an endpoint's response that are forwarded to the
    // caller.
    std::function<std::string(const http_head&)> write_response_fields;

    // Reads the items whose key has the prefix, from the first key after `after` on.
    std::function<outgoing_call(const std::string& prefix, const std::string& after)>
        range_call;
    // Waits up to the given time for changes after the given revision.
    std::function<outgoing_call(const std::string& prefix, store_revision, milliseconds)>
        watch_call;
    std::function<outgoing_call(const store_transaction&)> transaction_call;
    // Requests a lease with the given time to live.
    std::function<outgoing_call(milliseconds)> lease_call;
    std::function<outgoing_call(std::uint64_t)> keep_lease_call;
    std::function<outgoing_call(std::uint64_t)> end_lease_call;
    // These parse the bodies of the store's responses.
    std::function<store_page(const std::string&)> read_page;
    std::function<store_page(const std::string&)> read_watch;
    // Returns the revision that the transaction wrote.
    std::function<store_revision(const std::string&)> read_transaction;
    std::function<granted_lease(const std::string&)> read_lease;
    // Reads the store's era from the head of any of its responses; none if it isn't
    // stated.
    std::function<std::optional<store_era>(const http_head&)> read_era;

    std::function<outgoing_call(const engine_order&)> order_call;
    std::function<outgoing_call(const endpoint_id&)> report_call;
    std::function<engine_inventory(const std::string&)> read_report;

    std::function<endpoint_record(const store_item&)> read_endpoint;
    std::function<routing_table(const std::string&)> read_routing;
    std::function<version_entry(const std::string&)> read_version;
};

} // namespace pollenhaven

#endif
