#ifndef POLLENHAVEN_CORE_INTERFACES_ENGINE_CLIENT_HPP
#define POLLENHAVEN_CORE_INTERFACES_ENGINE_CLIENT_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "core/verdict.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pollenhaven
{

// What an engine says of itself. The engine publishes it with a lag.
struct engine_report
{
    // Changes when the engine restarts, and thereby tells that its slots are empty.
    std::string start_id;
    int slots = 0;
    int running = 0;
    int max_batch = 0;
    // Adapters held in slots, with the number of requests that each is serving.
    std::map<model_ref, int> resident;
};

struct engine_order
{
    model_ref adapter;
    ownership_epoch fencing;
    milliseconds timeout{30000};
};

struct generate_request
{
    request_id id;
    model_ref adapter;
    ownership_epoch fencing;
    // The caller's request body as OpenAI-compatible JSON.
    std::string body;
    // Position in the stream from which to resume; 0 starts a new generation.
    int from_token = 0;
    bool resume = false;
    std::string trace_parent;
    milliseconds timeout{120000};
};

struct generated_token
{
    int position = 0;
    std::string text;
};

struct generate_result
{
    verdict run = verdict::may_have_run;
    model_ref adapter;
    std::string finish_reason;
    int tokens = 0;
    failure error;
};

enum class order_status
{
    done,
    refused_fencing,
    failed,
    // The order may have been carried out; the reply did not arrive.
    unknown
};

// Returns false to stop reading the stream.
using token_sink = std::function<bool(const generated_token&)>;

// A model engine behind its published API. All calls block and may be made from any
// thread.
struct engine_client
{
    std::function<order_status(const engine_order&)> load;
    std::function<order_status(const engine_order&)> unload;
    // Makes a fencing number known to the engine without changing anything else.
    std::function<order_status(ownership_epoch)> raise_fencing;
    // Throws request_error if the engine doesn't answer.
    std::function<engine_report()> report;
    std::function<generate_result(const generate_request&, const token_sink&)> generate;
    std::function<void(const request_id&)> cancel;
};

} // namespace pollenhaven

#endif
