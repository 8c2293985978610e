// A stand-in for a model engine: the OpenAI-compatible API, adapter slots, batching by
// steps, load and unload orders, a lagging load report, and streams that can be resumed
// and cancelled. Its own records say whether anything happened that must not.

#include "tests/standins/standin.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace pollenhaven::standins
{

namespace
{

using nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct generation
{
    std::string id;
    std::string model;
    std::string prompt;
    int wanted = 16;
    int made = 0;
    bool started = false;
    bool ended = false;
    // The engine crashed or evicted the adapter: the stream breaks off.
    bool broken = false;
    // Connections opened before this generation of connections get nothing any more.
    int connection_era = 0;
};

struct engine_faults
{
    bool wrong_adapter = false;
    int fail_loads = 0;
    int load_delay_ms = 0;
    // A request whose prompt contains this crashes the engine.
    std::string crash_marker;
    bool down = false;
};

class engine_standin
{
public:
    explicit engine_standin(const options& given)
        : slots_(number_option(given, "slots", 4)),
          max_batch_(number_option(given, "max-batch", 16)),
          step_(number_option(given, "step-ms", 20)),
          report_lag_(number_option(given, "report-lag-ms", 300)),
          check_fencing_(number_option(given, "check-fencing", 0) != 0),
          store_(text_option(given, "store", ""))
    {
        new_start();
    }

    void install(httplib::Server& server)
    {
        server.Post("/v1/chat/completions", [this](const auto& request, auto& response)
                    { generate(request, response); });
        server.Get(R"(/v1/streams/(.+))", [this](const auto& request, auto& response)
                   { resume(request, response); });
        server.Delete(R"(/v1/streams/(.+))",
                      [this](const auto& request, auto&) { cancel(request.matches[1]); });
        server.Post("/v1/load_lora_adapter", [this](const auto& request, auto& response)
                    { load(request, response); });
        server.Post("/v1/unload_lora_adapter", [this](const auto& request, auto& response)
                    { unload(request, response); });
        server.Get("/v1/load_report", [this](const auto&, auto& response)
                   { response.set_content(report(), "application/json"); });
        server.Post("/control", [this](const auto& request, auto&)
                    { control(json::parse(request.body)); });
        server.Get("/counts",
                   [this](const auto&, auto& response)
                   {
                       const std::lock_guard lock(mutex_);
                       response.set_content(json(counts_).dump(), "application/json");
                   });
        server.set_pre_routing_handler(
            [this](const httplib::Request& request, httplib::Response& response)
            { return refuse_if_down(request, response); });
    }

    // Makes a token for every running generation, step after step.
    void step_forever()
    {
        for (;;)
        {
            std::this_thread::sleep_for(step_);
            const std::lock_guard lock(mutex_);
            step();
            remember_report();
            changed_.notify_all();
        }
    }

private:
    using shared_generation = std::shared_ptr<generation>;

    void new_start()
    {
        start_id_ = std::to_string(clock::now().time_since_epoch().count());
        residents_.clear();
        for (auto& [id, running] : generations_)
        {
            if (!running->ended)
                running->broken = true;
        }
        generations_.clear();
    }

    httplib::Server::HandlerResponse refuse_if_down(const httplib::Request& request,
                                                    httplib::Response& response)
    {
        const std::lock_guard lock(mutex_);
        if (!faults_.down || request.path == "/control" || request.path == "/counts")
            return httplib::Server::HandlerResponse::Unhandled;
        break_off(response);
        return httplib::Server::HandlerResponse::Handled;
    }

    static void break_off(httplib::Response& response)
    {
        response.set_content_provider(64, "text/plain",
                                      [](std::size_t, std::size_t, httplib::DataSink&)
                                      { return false; });
    }

    bool refuse_fencing(const httplib::Request& request, httplib::Response& response)
    {
        const std::uint64_t number =
            std::stoull("0" + request.get_header_value("X-Fencing-Number"));
        if (number < highest_fencing_)
        {
            ++counts_["old_fencing_seen"];
            if (check_fencing_)
            {
                response.status = 409;
                return true;
            }
            ++counts_["old_fencing_obeyed"];
        }
        highest_fencing_ = std::max(highest_fencing_, number);
        return false;
    }

    int running_on(const std::string& model) const
    {
        int count = 0;
        for (const auto& [id, running] : generations_)
            count +=
                running->model == model && !running->ended && !running->broken ? 1 : 0;
        return count;
    }

    int running_total() const
    {
        int count = 0;
        for (const auto& [id, running] : generations_)
            count += !running->ended && !running->broken ? 1 : 0;
        return count;
    }

    void generate(const httplib::Request& request, httplib::Response& response)
    {
        const json body = json::parse(request.body);
        const std::lock_guard lock(mutex_);
        if (refuse_fencing(request, response))
            return;
        const std::string model = body.value("model", "");
        if (residents_.count(model) == 0)
        {
            ++counts_["adapter_missing"];
            response.status = 404;
            return;
        }
        const auto started = std::make_shared<generation>();
        started->id = request.get_header_value("X-Request-Id");
        started->model = model;
        started->prompt = body["messages"].back().value("content", "");
        started->wanted = body.value("max_tokens", 16);
        started->connection_era = era_;
        if (generations_.count(started->id) > 0)
            ++counts_["generated_twice"];
        generations_[started->id] = started;
        ++counts_["generations"];
        if (!faults_.crash_marker.empty() &&
            started->prompt.find(faults_.crash_marker) != std::string::npos)
        {
            ++counts_["crashes"];
            new_start();
            started->broken = true;
        }
        stream(started, 0, response);
    }

    void resume(const httplib::Request& request, httplib::Response& response)
    {
        const std::lock_guard lock(mutex_);
        const auto found = generations_.find(request.matches[1]);
        if (found == generations_.end())
        {
            response.status = 404;
            return;
        }
        ++counts_["resumed"];
        found->second->connection_era = era_;
        stream(found->second, std::stoi("0" + request.get_param_value("from")), response);
    }

    void stream(const shared_generation& source, int from, httplib::Response& response)
    {
        const auto position = std::make_shared<int>(from);
        const int era = era_;
        response.set_chunked_content_provider(
            "text/event-stream", [=, this](std::size_t, httplib::DataSink& sink)
            { return send_next(*source, *position, era, sink); });
    }

    // Sends the next token, or the end. Waits for the step that makes it.
    bool send_next(generation& source, int& position, int era, httplib::DataSink& sink)
    {
        std::string event;
        {
            std::unique_lock lock(mutex_);
            changed_.wait_for(lock, milliseconds(200),
                              [&]
                              {
                                  return source.broken ||
                                         (era >= silent_before_ &&
                                          (source.made > position || source.ended));
                              });
            if (source.broken)
                return false;
            // A silenced connection stays open and sends nothing.
            if (era < silent_before_)
                return true;
            if (source.made <= position && !source.ended)
                return true;
            event = next_event(source, position);
        }
        if (!sink.write(event.data(), event.size()))
            return false;
        if (position < source.made || event.find("[DONE]") == std::string::npos)
            return true;
        sink.done();
        return true;
    }

    std::string next_event(const generation& source, int& position)
    {
        const std::string model = faults_.wrong_adapter ? "other@v1" : source.model;
        json chunk = {
            {"id", source.id}, {"object", "chat.completion.chunk"}, {"model", model}};
        if (position < source.made)
        {
            const std::string text = " " + source.model + "/" +
                                     source.prompt.substr(0, 24) + "/" +
                                     std::to_string(position);
            chunk["position"] = position++;
            chunk["choices"] = {{{"index", 0},
                                 {"delta", {{"content", text}}},
                                 {"finish_reason", nullptr}}};
            return "data: " + chunk.dump() + "\n\n";
        }
        chunk["choices"] = {
            {{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}}};
        return "data: " + chunk.dump() + "\n\ndata: [DONE]\n\n";
    }

    void cancel(const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        const auto found = generations_.find(id);
        if (found == generations_.end() || found->second->ended)
            return;
        ++counts_["cancelled"];
        found->second->ended = true;
    }

    void load(const httplib::Request& request, httplib::Response& response)
    {
        const std::string name = json::parse(request.body).value("lora_name", "");
        int delay_ms = 0;
        {
            const std::lock_guard lock(mutex_);
            if (refuse_fencing(request, response))
                return;
            if (residents_.count(name) > 0)
                return;
            if (faults_.fail_loads > 0)
            {
                --faults_.fail_loads;
                response.status = 500;
                return;
            }
            delay_ms = faults_.load_delay_ms;
        }
        std::this_thread::sleep_for(milliseconds(delay_ms));
        if (!fetch_weights(name))
        {
            response.status = 500;
            return;
        }
        const std::lock_guard lock(mutex_);
        if (static_cast<int>(residents_.size()) >= slots_ && residents_.count(name) == 0)
        {
            ++counts_["slots_exceeded"];
            response.status = 400;
            return;
        }
        residents_[name] = true;
        ++counts_["loads"];
    }

    bool fetch_weights(const std::string& name)
    {
        if (store_.empty())
            return true;
        httplib::Client client("http://" + store_);
        client.set_read_timeout(std::chrono::seconds(30));
        const httplib::Result result = client.Get("/weights/" + name);
        return result && result->status == 200;
    }

    void unload(const httplib::Request& request, httplib::Response& response)
    {
        const std::string name = json::parse(request.body).value("lora_name", "");
        const std::lock_guard lock(mutex_);
        if (refuse_fencing(request, response))
            return;
        if (residents_.count(name) == 0)
            return;
        if (running_on(name) > 0)
            ++counts_["evicted_in_use"];
        for (auto& [id, running] : generations_)
        {
            if (running->model == name && !running->ended)
                running->broken = true;
        }
        residents_.erase(name);
        ++counts_["unloads"];
    }

    void step()
    {
        int places = max_batch_;
        int active = 0;
        for (auto& [id, running] : generations_)
        {
            if (running->ended || running->broken || places == 0)
                continue;
            --places;
            ++active;
            ++running->made;
            if (running->made >= running->wanted)
                running->ended = true;
        }
        if (active > 0)
        {
            ++counts_["busy_steps"];
            counts_["tokens"] += static_cast<std::uint64_t>(active);
        }
    }

    void remember_report()
    {
        json resident = json::object();
        for (const auto& [name, loaded] : residents_)
            resident[name] = running_on(name);
        reports_.emplace_back(clock::now(), json{{"start_id", start_id_},
                                                 {"slots", slots_},
                                                 {"max_batch", max_batch_},
                                                 {"running", running_total()},
                                                 {"resident", resident}}
                                                .dump());
        const auto visible = clock::now() - report_lag_;
        while (reports_.size() > 1 && reports_[1].first <= visible)
            reports_.pop_front();
    }

    std::string report()
    {
        const std::lock_guard lock(mutex_);
        if (reports_.empty())
            remember_report();
        return reports_.front().second;
    }

    void control(const json& change)
    {
        const std::lock_guard lock(mutex_);
        faults_.wrong_adapter = change.value("wrong_adapter", faults_.wrong_adapter);
        faults_.fail_loads = change.value("fail_loads", faults_.fail_loads);
        faults_.load_delay_ms = change.value("load_delay_ms", faults_.load_delay_ms);
        faults_.crash_marker = change.value("crash_marker", faults_.crash_marker);
        faults_.down = change.value("down", faults_.down);
        if (change.value("restart", false))
            new_start();
        if (change.value("silence", false))
            silent_before_ = ++era_;
        changed_.notify_all();
    }

    int slots_;
    int max_batch_;
    milliseconds step_;
    milliseconds report_lag_;
    bool check_fencing_;
    std::string store_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::string start_id_;
    std::map<std::string, bool> residents_;
    std::map<std::string, shared_generation> generations_;
    std::deque<std::pair<clock::time_point, std::string>> reports_;
    std::map<std::string, std::uint64_t> counts_;
    std::uint64_t highest_fencing_ = 0;
    int era_ = 0;
    int silent_before_ = 0;
    engine_faults faults_;
};

} // namespace

int run_engine(const options& given)
{
    engine_standin standin(given);
    httplib::Server server;
    standin.install(server);
    std::thread([&standin] { standin.step_forever(); }).detach();
    return serve(server, given);
}

} // namespace pollenhaven::standins
