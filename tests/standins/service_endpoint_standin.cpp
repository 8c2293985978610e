// Stand-in for an endpoint of a plain service. It executes every call that it accepts,
// duplicates included, and counts the executions by request id and by idempotency key.

#include "tests/standins/standin.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>

namespace pollenhaven::standins
{

namespace
{

using json = nlohmann::json;

constexpr int status_unavailable = 503;

class service_endpoint
{
public:
    explicit service_endpoint(std::string id) : id_(std::move(id)) {}

    void add_handlers(httplib::Server& server)
    {
        server.Post("/control", [this](const httplib::Request& request, auto&)
                    { control(json::parse(request.body)); });
        server.Get("/counts", [this](const httplib::Request&, httplib::Response& response)
                   { response.set_content(counts().dump(), "application/json"); });
        const auto handle_call =
            [this](const httplib::Request& request, httplib::Response& response)
        { execute(request, response); };
        server.Post(".*", handle_call);
        server.Get(".*", handle_call);
    }

private:
    void execute(const httplib::Request& request, httplib::Response& response)
    {
        const std::string request_id =
            request.get_header_value("X-Pollenhaven-Request-Id");
        const std::string key = request.get_header_value("Idempotency-Key");
        response.set_header("X-Pollenhaven-Request-Id", request_id);
        response.set_header("X-Pollenhaven-Instance-Id", id_);
        response.set_header("Keep-Alive", "timeout=5");
        int delay_ms = 0;
        bool loses_response = false;
        {
            const std::lock_guard lock(mutex_);
            arrivals_ms_.push_back(wall_clock_ms());
            if (!stated_limit_.empty())
                response.set_header("Server-Limit", stated_limit_);
            if (rejects_calls_)
            {
                response.status = status_unavailable;
                response.set_header("X-Pollenhaven-Not-Executed", "1");
                return;
            }
            ++executions_by_request_[request_id];
            if (request.has_header("Authorization"))
                ++calls_with_credentials_;
            if (request.has_header("X-Pollenhaven-Tenant"))
                customers_.insert(request.get_header_value("X-Pollenhaven-Tenant"));
            if (!key.empty())
                ++executions_by_key_[key];
            delay_ms = delay_ms_;
            loses_response = responses_to_lose_ > 0;
            responses_to_lose_ -= loses_response ? 1 : 0;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
        if (loses_response)
            return response.set_content_provider(
                64, "text/plain",
                [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
        response.set_header("X-Pollenhaven-Server-Signature", id_);
        if (key.empty())
            return response.set_content("answer of " + id_, "text/plain");
        response.set_content(json{{"key", key}, {"done", true}}.dump(),
                             "application/json");
    }

    json counts()
    {
        const std::lock_guard lock(mutex_);
        int max_executions = 0;
        for (const auto& [request, count] : executions_by_request_)
            max_executions = std::max(max_executions, count);
        return {{"runs", executions_by_request_.size()},
                {"most_runs", max_executions},
                {"carried_out", executions_by_key_},
                {"with_credentials", calls_with_credentials_},
                {"customers", customers_},
                {"arrivals", arrivals_ms_}};
    }

    // Applies the fields of POST /control: delay_ms (delay of each response),
    // lose_replies (number of calls that run but whose responses are aborted), refuse
    // (true rejects calls without running them) and limit (the requests per second that
    // its responses state as its limit; empty for none).
    void control(const json& change)
    {
        const std::lock_guard lock(mutex_);
        delay_ms_ = change.value("delay_ms", delay_ms_);
        responses_to_lose_ = change.value("lose_replies", responses_to_lose_);
        rejects_calls_ = change.value("refuse", rejects_calls_);
        stated_limit_ = change.value("limit", stated_limit_);
    }

    std::string id_;
    std::mutex mutex_;
    std::map<std::string, int> executions_by_request_;
    std::map<std::string, int> executions_by_key_;
    int calls_with_credentials_ = 0;
    std::set<std::string> customers_;
    int delay_ms_ = 0;
    int responses_to_lose_ = 0;
    bool rejects_calls_ = false;
    std::string stated_limit_;
    std::vector<long long> arrivals_ms_;
};

} // namespace

int run_service_endpoint(const options& option_values)
{
    service_endpoint endpoint(text_option(option_values, "id", "i-plain"));
    httplib::Server server;
    endpoint.add_handlers(server);
    return serve(server, option_values);
}

} // namespace pollenhaven::standins
