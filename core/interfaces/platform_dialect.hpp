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

// Bytes that don't follow the platform's protocol. The text names what was wrong.
class dialect_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// What a caller asks of the daemon.
enum class request_type
{
    readiness,
    // Which addresses serve callers.
    directory,
    // Anything else is forwarded.
    forward
};

// A caller's request in our terms.
struct caller_request
{
    request_id id;
    std::string host;
    // The time that the caller waits, if it said so.
    std::optional<milliseconds> deadline;
    // Empty for requests to plain services.
    base_model_id model;
    // Empty if the request runs on the base model itself.
    adapter_id adapter;
    int prompt_tokens = 0;
    int output_tokens = 0;
    // The event after which a broken stream goes on.
    std::string last_event;
    // The version on which alone it may run, if the caller named one.
    std::optional<adapter_version> version;
    // The key under which it runs at most once, whichever daemons it is sent to; empty if
    // the caller gave none.
    std::string caller_idempotency_key;
    // The header fields that came with it say all this in the platform's terms.
    bool has_platform_fields = true;
};

// What the daemon adds to a request that it forwards.
struct forwarding_fields
{
    endpoint_id endpoint;
    milliseconds deadline{0};
    // 0 is the most urgent, 9 the least.
    int urgency = 5;
    // The adapter's version on which alone the request may run.
    std::optional<adapter_version> version;
    // The event after which a stream goes on that another endpoint began.
    std::string last_event;
    // Set if the endpoint must be told what the request is, because the caller's own
    // fields don't.
    std::optional<caller_request> description;
};

// The head of an endpoint's answer.
struct endpoint_response
{
    request_id id;
    bool has_signature = false;
    // The endpoint states that it didn't run the request and never will.
    bool not_run = false;
    // The endpoint that answered, if it said so; another one than asked may have taken
    // over the address.
    endpoint_id endpoint;
    // Requests in work and waiting at the endpoint.
    std::optional<int> running;
    std::optional<int> waiting;
    // How long the endpoint keeps the connection open when it is idle.
    std::optional<milliseconds> idle_timeout;
};

// A call to the store or to an endpoint, as bytes of one HTTP request.
struct outgoing_call
{
    std::string bytes;
};

// An item of the store.
struct store_item
{
    std::string key;
    std::string value;
    store_revision revision;
    bool deleted = false;
};

struct store_page
{
    std::vector<store_item> items;
    bool more = false;
    store_revision current;
};

// A change under a condition: all of it happens or nothing.
struct store_transaction
{
    struct expected_key
    {
        std::string key;
        // 0 means that the key must not exist.
        store_revision revision;
    };
    struct written_key
    {
        std::string key;
        std::string value;
        std::uint64_t lease = 0;
    };
    std::vector<expected_key> expected;
    std::vector<written_key> writes;
    std::vector<std::string> removals;
};

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

// An order to an engine.
struct engine_order
{
    order_action action = order_action::load;
    base_model_id model;
    // Empty if the order is about the base model itself.
    adapter_id adapter;
    std::optional<adapter_version> version;
    // The number of accepted orders at which alone the engine carries this one out.
    std::optional<std::uint64_t> expected_orders;
    endpoint_id endpoint;
    daemon_id holder;
    std::uint64_t fencing_token = 0;
};

// A new version of an adapter that an operator named.
struct version_entry
{
    versioned_adapter subject;
};

// Keys of the store that others write.
struct store_layout
{
    std::string operator_prefix;
    std::string configuration_key;
    std::string version_prefix;
    std::string endpoint_prefix;
};

// Writes the addresses that serve callers, and how long callers may keep them.
using directory_writer =
    std::function<std::string(const std::vector<network_address>&, seconds)>;

// Everything the daemon needs to speak with callers, endpoints, operators and the store
// of one platform: bytes to records and back, without decisions. Readers throw
// dialect_error.
struct platform_dialect
{
    store_layout layout;

    std::function<request_type(const http_head&)> classify;
    std::function<caller_request(const http_head&)> read_request;
    directory_writer write_directory;
    std::function<std::string(const http_head&, std::size_t body_bytes,
                              const forwarding_fields&)>
        write_forwarded_request;
    std::function<endpoint_response(const http_head&)> read_response;
    // The header lines of an endpoint's answer that go on to the caller.
    std::function<std::string(const http_head&)> write_response_fields;

    std::function<outgoing_call(const std::string& prefix, const std::string& after)>
        range_call;
    std::function<outgoing_call(const std::string& prefix, store_revision, milliseconds)>
        watch_call;
    std::function<outgoing_call(const store_transaction&)> transaction_call;
    std::function<outgoing_call(milliseconds)> lease_call;
    std::function<outgoing_call(std::uint64_t)> keep_lease_call;
    std::function<outgoing_call(std::uint64_t)> end_lease_call;
    std::function<store_page(const std::string&)> read_page;
    std::function<store_page(const std::string&)> read_watch;
    std::function<store_revision(const std::string&)> read_transaction;
    std::function<granted_lease(const std::string&)> read_lease;

    std::function<outgoing_call(const engine_order&)> order_call;
    std::function<outgoing_call(const endpoint_id&)> report_call;
    std::function<engine_inventory(const std::string&)> read_report;

    std::function<endpoint_record(const store_item&)> read_endpoint;
    std::function<routing_table(const std::string&)> read_routing;
    std::function<version_entry(const std::string&)> read_version;
};

} // namespace pollenhaven

#endif
