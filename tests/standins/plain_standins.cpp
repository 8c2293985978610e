// Stand-ins for a plain service, the weight store and the instance list.

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

using nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Carries out every call it gets, also a repeated one, and counts by key.
class service_standin
{
public:
    void install(httplib::Server& server)
    {
        server.Post("/control", [this](const auto& request, auto&)
                    { control(json::parse(request.body)); });
        server.Get("/counts",
                   [this](const auto&, auto& response)
                   {
                       const std::lock_guard lock(mutex_);
                       response.set_content(json(carried_out_).dump(),
                                            "application/json");
                   });
        server.Post(R"(/.*)", [this](const auto& request, auto& response)
                    { carry_out(request, response); });
    }

private:
    void carry_out(const httplib::Request& request, httplib::Response& response)
    {
        const std::string key = request.get_header_value("Idempotency-Key");
        int delay_ms = 0;
        bool lose = false;
        {
            const std::lock_guard lock(mutex_);
            if (refuse_)
            {
                response.status = 503;
                response.set_header("Retry-After", "1");
                return;
            }
            ++carried_out_[key];
            delay_ms = delay_ms_;
            lose = lose_replies_ > 0;
            lose_replies_ -= lose ? 1 : 0;
        }
        std::this_thread::sleep_for(milliseconds(delay_ms));
        if (lose)
        {
            response.set_content_provider(64, "application/json",
                                          [](std::size_t, std::size_t, httplib::DataSink&)
                                          { return false; });
            return;
        }
        const json answer = {{"key", key}, {"path", request.path}, {"done", true}};
        response.set_content(answer.dump(), "application/json");
    }

    void control(const json& change)
    {
        const std::lock_guard lock(mutex_);
        delay_ms_ = change.value("delay_ms", delay_ms_);
        lose_replies_ = change.value("lose_replies", lose_replies_);
        refuse_ = change.value("refuse", refuse_);
    }

    std::mutex mutex_;
    std::map<std::string, int> carried_out_;
    int delay_ms_ = 0;
    int lose_replies_ = 0;
    bool refuse_ = false;
};

// Serves a limited number of loads a second; beyond the number in flight that it carries
// at full speed, every load slows down in proportion.
class store_standin
{
public:
    explicit store_standin(const options& given)
        : spacing_(1'000'000 /
                   std::max(1, number_option(given, "milliloads-per-second", 3000))),
          load_time_(number_option(given, "load-ms", 250)),
          full_speed_(number_option(given, "full-speed", 8))
    {
    }

    void install(httplib::Server& server)
    {
        server.Get(R"(/weights/(.+))",
                   [this](const auto&, auto& response)
                   {
                       serve_weights();
                       response.set_content("weights", "application/octet-stream");
                   });
        server.Get("/counts",
                   [this](const auto&, auto& response)
                   {
                       const std::lock_guard lock(mutex_);
                       const json counts = {{"loads", loads_}, {"peak_in_flight", peak_}};
                       response.set_content(counts.dump(), "application/json");
                   });
    }

private:
    void serve_weights()
    {
        milliseconds wait{};
        {
            const std::lock_guard lock(mutex_);
            ++in_flight_;
            ++loads_;
            peak_ = std::max(peak_, in_flight_);
            const int slowdown =
                std::max(1, (in_flight_ + full_speed_ - 1) / full_speed_);
            const clock::time_point now = clock::now();
            const clock::time_point start = std::max(now, next_start_ - burst * spacing_);
            next_start_ = std::max(next_start_, now) + spacing_;
            wait = std::chrono::duration_cast<milliseconds>(start - now) +
                   load_time_ * slowdown;
        }
        std::this_thread::sleep_for(wait);
        const std::lock_guard lock(mutex_);
        --in_flight_;
    }

    static constexpr int burst = 3;
    milliseconds spacing_;
    milliseconds load_time_;
    int full_speed_;
    std::mutex mutex_;
    clock::time_point next_start_;
    int in_flight_ = 0;
    int peak_ = 0;
    int loads_ = 0;
};

// Shows changes of the instance list only after a lag.
class instance_list_standin
{
public:
    explicit instance_list_standin(const options& given)
        : lag_(number_option(given, "lag-ms", 1000))
    {
    }

    void install(httplib::Server& server)
    {
        server.Get("/v1/instances", [this](const auto&, auto& response)
                   { response.set_content(visible(), "application/json"); });
        // {"name": "live" | "leaving" | "gone"}
        server.Post("/control",
                    [this](const auto& request, auto&)
                    {
                        const json wanted = json::parse(request.body);
                        const std::lock_guard lock(mutex_);
                        for (const auto& [name, state] : wanted.items())
                            changes_.emplace(
                                clock::now() + lag_,
                                std::pair{name, state.template get<std::string>()});
                    });
    }

private:
    std::string visible()
    {
        const std::lock_guard lock(mutex_);
        while (!changes_.empty() && changes_.begin()->first <= clock::now())
        {
            const auto [name, state] = changes_.begin()->second;
            changes_.erase(changes_.begin());
            if (state == "gone")
                instances_.erase(name);
            else
                instances_[name] = state;
        }
        return json{{"instances", instances_}}.dump();
    }

    milliseconds lag_;
    std::mutex mutex_;
    std::multimap<clock::time_point, std::pair<std::string, std::string>> changes_;
    std::map<std::string, std::string> instances_;
};

} // namespace

int run_service(const options& given)
{
    service_standin standin;
    httplib::Server server;
    standin.install(server);
    return serve(server, given);
}

int run_store(const options& given)
{
    store_standin standin(given);
    httplib::Server server;
    standin.install(server);
    return serve(server, given);
}

int run_instance_list(const options& given)
{
    instance_list_standin standin(given);
    httplib::Server server;
    standin.install(server);
    return serve(server, given);
}

} // namespace pollenhaven::standins
