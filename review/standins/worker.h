// Stand-ins of the review for workers: engines that take orders and stream, and workers of
// plain services.
#pragma once

#include "platform.h"

namespace review
{

struct order_event
{
    double at;
    // The daemon on whose port it came, and what it says of itself.
    std::string from;
    std::string holder;
    std::uint64_t token;
    std::string op;
    std::string adapter;
    int status;
};

struct run_event
{
    double at;
    std::string worker;
    std::string from;
    std::string request;
};

// A worker. Each daemon reaches it on a port of its own, so that a test can cut the link
// between the two.
class worker
{
public:
    struct options
    {
        std::string service;
        // The version of its software; each event of a stream names it.
        std::string software = "1";
        bool is_engine = false;
        int slots = 16;
        int adapter_slots = 30;
        double load_ms = 250;
        // Time to the first event, or of the whole run of a plain request.
        double work_ms = 20;
        int events = 5;
        double event_ms = 10;
    };

    worker(recorder& log, store& platform, std::string id, options settings)
        : log_(log), store_(platform), id_(std::move(id)), options_(std::move(settings)),
          born_(std::chrono::duration_cast<ms>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count())
    {
    }

    const std::string& id() const { return id_; }
    std::string key() const { return "servers/" + id_; }
    const options& settings() const { return options_; }

    void open_port(const std::string& daemon)
    {
        ports_[daemon] = std::make_unique<server>(
            [this, daemon](const message& request, const connection_ptr& peer)
            { return handle(daemon, request, peer); });
        store_.set_address(daemon, key(), ports_[daemon]->address());
    }
    // Cuts the link to one daemon: its connections are reset, and new ones are refused.
    void refuse(const std::string& daemon) { ports_.at(daemon)->refuse(); }
    void accept_again(const std::string& daemon) { ports_.at(daemon)->accept_again(); }

    // Writes the entry now and every heartbeat until the worker leaves.
    void join(double heartbeat_ms = 1200)
    {
        write_entry();
        std::thread(
            [this, heartbeat_ms]
            {
                while (!left_)
                {
                    sleep_ms(heartbeat_ms);
                    const std::lock_guard lock(leave_mutex_);
                    if (!left_ && !is_down_)
                        write_entry();
                    // The store removes the entry after three heartbeats of silence.
                    if (is_down_ && now_ms() - down_since_ > 3 * heartbeat_ms)
                        store_.remove(key());
                }
            })
            .detach();
    }
    // Leaves without having reported `draining`: the entry is removed, and the worker
    // serves on. All its answers say so from now on.
    void leave()
    {
        const std::lock_guard lock(leave_mutex_);
        left_ = true;
        store_.remove(key());
    }
    // The process ends: what it runs is broken off.
    void exit()
    {
        ++start_;
        down_since_ = now_ms();
        is_down_ = true;
        for (auto& [daemon, port] : ports_)
            port->refuse();
    }
    // The process starts again under its id, empty.
    void start_again()
    {
        {
            const std::lock_guard lock(mutex_);
            adapters_.clear();
            accepted_ = 0;
            born_ = std::chrono::duration_cast<ms>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
        }
        for (auto& [daemon, port] : ports_)
            port->accept_again();
        is_down_ = false;
        write_entry();
    }
    // From now on this share of plain requests fails with a 503 after they ran.
    void fail_percent(int percent) { failing_percent_ = percent; }
    // Whether the worker was ordered to hold more adapters than it can.
    bool overfilled()
    {
        const std::lock_guard lock(mutex_);
        return overfilled_;
    }

    std::vector<order_event> orders()
    {
        const std::lock_guard lock(mutex_);
        return orders_;
    }
    std::vector<run_event> runs()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    struct held_adapter
    {
        double ready_at = 0;
        int version = 1;
        int running = 0;
        bool unloading = false;
    };

    json models()
    {
        json adapters = json::array();
        for (const auto& [name, held] : adapters_)
            if (held.ready_at <= now_ms())
                adapters.push_back(name + "@" + std::to_string(held.version));
        return json::array({{{"name", "m0"}, {"version", 1}, {"adapters", adapters}}});
    }

    void write_entry()
    {
        json entry{{"service", options_.service},
                   {"addr", ports_.begin()->second->address()},
                   {"zone", "lautoka"},
                   {"version", options_.software},
                   {"slots", options_.slots},
                   {"state", "ready"},
                   {"coldRemainingMs", 0},
                   {"born", born_}};
        {
            const std::lock_guard lock(mutex_);
            entry["seq"] = accepted_;
            if (options_.is_engine)
            {
                entry["stage"] = "colocated";
                entry["models"] = models();
            }
        }
        store_.put(key(), entry);
    }

    std::string common_fields(const message& request)
    {
        std::string fields = "X-Pollenhaven-Request-Id: " +
                             request.field("X-Pollenhaven-Request-Id") +
                             "\r\nX-Pollenhaven-Instance-Id: " + id_ +
                             "\r\nKeep-Alive: timeout=5\r\n";
        if (left_)
            fields += "Server-Leaving: 1\r\n";
        return fields;
    }

    bool handle(const std::string& from, const message& request, const connection_ptr& peer)
    {
        const std::string expected = request.field("X-Pollenhaven-Expected-Instance");
        if (!expected.empty() && expected != id_)
            return peer->send_all(
                response_text(421, "X-Pollenhaven-Instance-Id: " + id_ + "\r\n", ""));
        if (request.path() == "/v1/order")
            return peer->send_all(response_text(
                order(from, json::parse(request.body)),
                "Content-Type: application/json\r\nKeep-Alive: timeout=5\r\n", "{}"));
        if (request.path() == "/v1/report")
            return peer->send_all(response_text(
                200, "Content-Type: application/json\r\nKeep-Alive: timeout=5\r\n",
                report().dump()));
        return options_.is_engine ? stream(from, request, peer)
                                  : run_plain(from, request, peer);
    }

    int order(const std::string& from, const json& order)
    {
        const std::lock_guard lock(mutex_);
        const int status = execute(order);
        orders_.push_back({now_ms(), from, order.value("holder", ""),
                           order.value("fencingToken", 0ULL), order.value("op", ""),
                           order.value("adapter", ""), status});
        log_.line("%s: order from %s, holder %s, token %llu: %s %s, expects %llu: %d",
                  id_.c_str(), from.c_str(), orders_.back().holder.c_str(),
                  static_cast<unsigned long long>(orders_.back().token),
                  orders_.back().op.c_str(), orders_.back().adapter.c_str(),
                  static_cast<unsigned long long>(order.value("precondition", 0ULL)), status);
        return status;
    }

    int execute(const json& order)
    {
        if (!order.contains("holder") || !order.contains("fencingToken"))
            return 400;
        if (order.contains("precondition") &&
            order["precondition"].get<std::uint64_t>() != accepted_)
            return 409;
        const std::string adapter = order.value("adapter", "");
        if (adapter.empty())
            return 200;
        if (order["op"] == "unload")
        {
            const auto held = adapters_.find(adapter);
            ++accepted_;
            if (held == adapters_.end())
                return 200;
            if (held->second.running > 0)
            {
                held->second.unloading = true;
                return 202;
            }
            adapters_.erase(held);
            return 200;
        }
        if (adapters_.contains(adapter) &&
            adapters_[adapter].version == order.value("version", 1))
            return 200;
        int loading = 0;
        for (const auto& [name, held] : adapters_)
            loading += held.ready_at > now_ms() ? 1 : 0;
        if (loading >= 4)
            return 409;
        ++accepted_;
        held_adapter& entry = adapters_[adapter];
        entry.version = order.value("version", 1);
        entry.ready_at = now_ms() + options_.load_ms;
        entry.unloading = false;
        overfilled_ = overfilled_ ||
                      static_cast<int>(adapters_.size()) > options_.adapter_slots;
        return 202;
    }

    json report()
    {
        const std::lock_guard lock(mutex_);
        json pending = json::array();
        int running = 0;
        for (const auto& [name, held] : adapters_)
        {
            running += held.running;
            if (held.ready_at > now_ms())
                pending.push_back("m0/" + name + "@" + std::to_string(held.version));
        }
        return {{"stage", "colocated"}, {"models", models()}, {"pending", pending},
                {"busy", false},        {"seq", accepted_},   {"waiting", 0},
                {"running", running},   {"kvUsed", 0},        {"kvTotal", 153672},
                {"handles", 0}};
    }

    void record_run(const std::string& from, const message& request)
    {
        runs_.push_back({now_ms(), id_, from, request.field("X-Pollenhaven-Request-Id")});
        log_.line("%s: runs %s from %s", id_.c_str(), runs_.back().request.c_str(),
                  from.c_str());
    }

    bool stream(const std::string& from, const message& request, const connection_ptr& peer)
    {
        const std::string model = request.field("X-Pollenhaven-Model");
        const std::size_t slash = model.find('/');
        const std::string adapter =
            slash == std::string::npos ? "" : model.substr(slash + 1);
        {
            const std::lock_guard lock(mutex_);
            const auto held = adapters_.find(adapter);
            const bool serves = adapter.empty() ||
                                (held != adapters_.end() && !held->second.unloading &&
                                 held->second.ready_at <= now_ms());
            if (!serves)
                return peer->send_all(response_text(
                    421, common_fields(request) + "X-Pollenhaven-Not-Executed: 1\r\n", ""));
            if (!adapter.empty())
                ++held->second.running;
            record_run(from, request);
        }
        const int start = start_;
        sleep_ms(options_.work_ms);
        const std::string last = request.field("Last-Event-Id");
        int next = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        bool sent = peer->send_all("HTTP/1.1 200 OK\r\n" + common_fields(request) +
                                   "X-Pollenhaven-Server-Signature: " + id_ + "." +
                                   request.field("X-Pollenhaven-Request-Id") +
                                   "\r\nContent-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n");
        for (; sent && start == start_ && next <= options_.events; ++next)
        {
            const std::string event = "id: " + std::to_string(next) + "\ndata: " + id_ +
                                      " v" + options_.software + "\n\n";
            char size[16];
            snprintf(size, sizeof size, "%zx\r\n", event.size());
            sent = peer->send_all(size + event + "\r\n");
            sleep_ms(options_.event_ms);
        }
        sent = sent && start == start_ && peer->send_all("0\r\n\r\n");
        const std::lock_guard lock(mutex_);
        const auto held = adapters_.find(adapter);
        if (held != adapters_.end() && --held->second.running <= 0 && held->second.unloading)
            adapters_.erase(held);
        return sent;
    }

    bool run_plain(const std::string& from, const message& request, const connection_ptr& peer)
    {
        {
            const std::lock_guard lock(mutex_);
            record_run(from, request);
        }
        sleep_ms(options_.work_ms);
        const bool fails = static_cast<int>(++plain_runs_ * 37 % 100) < failing_percent_;
        if (fails)
            log_.line("%s: answers %s with 503, it has run", id_.c_str(),
                      request.field("X-Pollenhaven-Request-Id").c_str());
        return peer->send_all(response_text(
            fails ? 503 : 200,
            common_fields(request) + "X-Pollenhaven-Server-Signature: " + id_ + "." +
                request.field("X-Pollenhaven-Request-Id") + "\r\n",
            "done " + request.field("X-Pollenhaven-Request-Id")));
    }

    recorder& log_;
    store& store_;
    std::string id_;
    options options_;
    long long born_;
    std::map<std::string, std::unique_ptr<server>> ports_;
    std::mutex mutex_;
    std::mutex leave_mutex_;
    std::atomic<bool> left_{false};
    std::map<std::string, held_adapter> adapters_;
    std::uint64_t accepted_ = 0;
    bool overfilled_ = false;
    std::atomic<int> failing_percent_{0};
    std::atomic<unsigned> plain_runs_{0};
    std::atomic<int> start_{0};
    std::atomic<bool> is_down_{false};
    std::atomic<double> down_since_{0};
    std::vector<order_event> orders_;
    std::vector<run_event> runs_;
};

} // namespace review
