#include "modules/openai_engine/openai_engine.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace pollenhaven
{

namespace
{

using nlohmann::json;

constexpr milliseconds connect_timeout{500};
constexpr milliseconds report_timeout{1000};
// An engine that sends nothing for this long while generating is treated as a connection
// gone silent: the stream is resumed over a new one.
constexpr milliseconds stream_silence_limit{2500};
constexpr int resume_attempts = 2;
constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_not_found = 404;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
const char* const fencing_header = "X-Fencing-Number";
const char* const stream_end = "[DONE]";

httplib::Client connect_client(const std::string& address, milliseconds read_timeout)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(read_timeout);
    return client;
}

bool never_sent(httplib::Error error)
{
    return error == httplib::Error::Connection ||
           error == httplib::Error::ConnectionTimeout;
}

order_status send_order(const std::string& address, const std::string& path,
                        const engine_order& order)
{
    httplib::Client client = connect_client(address, order.timeout);
    const json body = {{"lora_name", order.adapter.value},
                       {"lora_path", order.adapter.value}};
    const httplib::Headers headers = {
        {fencing_header, std::to_string(order.fencing.value)}};
    const httplib::Result result =
        client.Post(path, headers, body.dump(), "application/json");
    if (!result)
        return never_sent(result.error()) ? order_status::failed : order_status::unknown;
    if (result->status == status_ok)
        return order_status::done;
    if (result->status == status_conflict)
        return order_status::refused_fencing;
    return order_status::failed;
}

// Unloading nothing is an order without effect, but the engine notes its number.
order_status raise_fencing_number(const std::string& address, ownership_epoch fencing)
{
    engine_order order;
    order.fencing = fencing;
    order.timeout = report_timeout;
    return send_order(address, "/v1/unload_lora_adapter", order);
}

engine_report read_report(const std::string& address)
{
    httplib::Client client = connect_client(address, report_timeout);
    const httplib::Result result = client.Get("/v1/load_report");
    const json answer = result ? json::parse(result->body, nullptr, false)
                               : json(json::value_t::discarded);
    if (!result || result->status != status_ok || !answer.is_object())
        throw request_error({verdict::not_run, status_unavailable, "engine_unreachable",
                             "engine " + address + " gave no load report", std::nullopt});
    engine_report report;
    report.start_id = answer.value("start_id", "");
    report.slots = answer.value("slots", 0);
    report.running = answer.value("running", 0);
    report.max_batch = answer.value("max_batch", 1);
    const json resident = answer.value("resident", json::object());
    for (const auto& [name, running] : resident.items())
        report.resident[{name}] = running.get<int>();
    return report;
}

// Reads the events of one generation and passes its tokens on, each once and in order.
class stream_reader
{
public:
    stream_reader(const generate_request& request, const token_sink& sink)
        : request_(request), sink_(sink), next_position_(request.from_token)
    {
        result_.adapter = request.adapter;
        result_.tokens = request.from_token;
    }

    bool accept(const char* data, std::size_t length)
    {
        received_.append(data, length);
        std::size_t end = 0;
        while ((end = received_.find("\n\n")) != std::string::npos)
        {
            const std::string event = received_.substr(0, end);
            received_.erase(0, end + 2);
            if (!accept_event(event))
                return false;
        }
        return true;
    }

    bool finished() const { return finished_; }
    bool stopped() const { return stopped_; }
    int next_position() const { return next_position_; }
    generate_result& result() { return result_; }

private:
    bool accept_event(const std::string& event)
    {
        static const std::string prefix = "data: ";
        if (event.compare(0, prefix.size(), prefix) != 0)
            return true;
        const std::string text = event.substr(prefix.size());
        if (text == stream_end)
        {
            finished_ = true;
            return true;
        }
        const json chunk = json::parse(text, nullptr, false);
        if (!chunk.is_object())
            return stop_with("malformed_stream",
                             "the engine sent an event that is not JSON");
        if (chunk.value("model", "") != request_.adapter.value)
            return stop_with("wrong_adapter", "the engine answered with adapter '" +
                                                  chunk.value("model", "") +
                                                  "' instead of '" +
                                                  request_.adapter.value + "'");
        return accept_chunk(chunk);
    }

    bool accept_chunk(const json& chunk)
    {
        const json choices = chunk.value("choices", json::array());
        if (choices.empty())
            return true;
        const json& choice = choices.front();
        const int position = chunk.value("position", next_position_);
        const std::string content =
            choice.value("delta", json::object()).value("content", "");
        if (!content.empty() && position > next_position_)
            return stop_with("stream_gap", "the engine skipped tokens of the stream");
        if (!content.empty() && position == next_position_)
        {
            ++next_position_;
            ++result_.tokens;
            if (!sink_({position, content}))
            {
                stopped_ = true;
                return false;
            }
        }
        const auto reason = choice.find("finish_reason");
        if (reason != choice.end() && reason->is_string())
            result_.finish_reason = reason->get<std::string>();
        return true;
    }

    bool stop_with(const std::string& code, const std::string& message)
    {
        result_.error = {verdict::may_have_run, 502, code, message, std::nullopt};
        stopped_ = true;
        return false;
    }

    const generate_request& request_;
    const token_sink& sink_;
    int next_position_;
    std::string received_;
    bool finished_ = false;
    bool stopped_ = false;
    generate_result result_;
};

struct exchange
{
    bool connected = true;
    int status = 0;
};

exchange run_exchange(const std::string& address, httplib::Request request,
                      stream_reader& reader)
{
    httplib::Client client = connect_client(address, stream_silence_limit);
    exchange outcome;
    request.response_handler = [&](const httplib::Response& response)
    {
        outcome.status = response.status;
        return true;
    };
    request.content_receiver =
        [&](const char* data, std::size_t length, std::uint64_t, std::uint64_t)
    { return outcome.status != status_ok || reader.accept(data, length); };
    const httplib::Result result = client.send(request);
    if (!result && outcome.status == 0 && never_sent(result.error()))
        outcome.connected = false;
    return outcome;
}

httplib::Request start_request(const generate_request& request)
{
    json body = json::parse(request.body);
    body["model"] = request.adapter.value;
    body["stream"] = true;
    httplib::Request http;
    http.method = "POST";
    http.path = "/v1/chat/completions";
    http.headers = {{"Content-Type", "application/json"},
                    {fencing_header, std::to_string(request.fencing.value)},
                    {"X-Request-Id", request.id.value},
                    {"traceparent", request.trace_parent}};
    http.body = body.dump();
    return http;
}

httplib::Request resume_request(const generate_request& request, int from)
{
    httplib::Request http;
    http.method = "GET";
    http.path = "/v1/streams/" + request.id.value + "?from=" + std::to_string(from);
    http.headers = {{"traceparent", request.trace_parent}};
    return http;
}

// What the engine's refusal of a new generation means; the engine ran nothing of it.
failure refusal(const std::string& address, int status)
{
    failure reason{verdict::not_run, status_unavailable, "engine_refused",
                   "engine " + address + " answered status " + std::to_string(status),
                   std::nullopt};
    if (status == status_not_found)
        reason.code = "adapter_not_loaded";
    if (status == status_conflict)
        reason.code = "old_fencing_number";
    return reason;
}

bool is_refusal(int status)
{
    return status == status_not_found || status == status_conflict ||
           status == status_too_many || status == status_unavailable;
}

generate_result conclude(const std::string& address, stream_reader& reader)
{
    generate_result& result = reader.result();
    if (reader.finished())
        result.run = verdict::completed;
    else if (result.error.code.empty())
        result.error = {verdict::may_have_run, 502, "stream_lost",
                        "the stream from engine " + address + " was lost", std::nullopt};
    return result;
}

generate_result run_generation(const std::string& address,
                               const generate_request& request, const token_sink& sink)
{
    stream_reader reader(request, sink);
    if (!request.resume)
    {
        const exchange first = run_exchange(address, start_request(request), reader);
        generate_result& result = reader.result();
        if (!first.connected)
        {
            result.run = verdict::not_run;
            result.error = {verdict::not_run, status_unavailable, "engine_unreachable",
                            "engine " + address + " can't be reached", std::nullopt};
            return result;
        }
        if (is_refusal(first.status))
        {
            result.run = verdict::not_run;
            result.error = refusal(address, first.status);
            return result;
        }
    }
    for (int attempt = 0; attempt < resume_attempts; ++attempt)
    {
        if (reader.finished() || reader.stopped())
            break;
        const exchange resumed = run_exchange(
            address, resume_request(request, reader.next_position()), reader);
        // Whoever resumes an earlier generation can't tell what became of it.
        if (request.resume && resumed.status == status_not_found)
            break;
        // An engine that is gone, or that doesn't know the stream any more, has crashed.
        if (!resumed.connected || resumed.status == status_not_found ||
            resumed.status == 0)
        {
            reader.result().error = {verdict::may_have_run, 502, "endpoint_crashed",
                                     "engine " + address + " crashed during the request",
                                     std::nullopt};
            break;
        }
    }
    return conclude(address, reader);
}

void cancel_generation(const std::string& address, const request_id& id)
{
    httplib::Client client = connect_client(address, report_timeout);
    client.Delete("/v1/streams/" + id.value);
}

} // namespace

engine_client make_openai_engine(const std::string& address)
{
    engine_client engine;
    engine.load = [address](const engine_order& order)
    { return send_order(address, "/v1/load_lora_adapter", order); };
    engine.unload = [address](const engine_order& order)
    { return send_order(address, "/v1/unload_lora_adapter", order); };
    engine.raise_fencing = [address](ownership_epoch fencing)
    { return raise_fencing_number(address, fencing); };
    engine.report = [address] { return read_report(address); };
    engine.generate = [address](const generate_request& request, const token_sink& sink)
    { return run_generation(address, request, sink); };
    engine.cancel = [address](const request_id& id) { cancel_generation(address, id); };
    return engine;
}

} // namespace pollenhaven
