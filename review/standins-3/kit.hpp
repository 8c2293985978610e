// What the scripted cases share: stand-ins for the platform's store, workers and links in
// this process, and the project's daemons as separate processes. Everything is on
// loopback addresses and the real clock.

#ifndef REVIEW_STANDINS_3_KIT_HPP
#define REVIEW_STANDINS_3_KIT_HPP

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit
{

using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const steady::time_point began = steady::now();

inline double seconds_now()
{
    return std::chrono::duration<double>(steady::now() - began).count();
}

inline void sleep_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

// Writes record.txt in the case's folder.
class recorder
{
public:
    explicit recorder(const std::string& path) : file_(path) {}
    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", seconds_now());
        file_ << time << text << '\n' << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

// The case can't run; the script exits with 2.
struct cannot_run : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

inline sockaddr_in to_sockaddr(const std::string& ip, int port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

inline int free_port(const std::string& ip)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = to_sockaddr(ip, 0);
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        throw cannot_run("no free port on " + ip);
    close(fd);
    return ntohs(address.sin_port);
}

inline int connect_to(const std::string& address, int timeout_ms = 1000)
{
    const std::size_t colon = address.rfind(':');
    const sockaddr_in target =
        to_sockaddr(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0)
    {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const long rest_ms = timeout_ms % 1000;
    const timeval limit{timeout_ms / 1000, rest_ms * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    return fd;
}

inline std::string to_base64(const std::string& text)
{
    static const char* const letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3)
    {
        unsigned value = 0;
        for (std::size_t byte = 0; byte < 3; ++byte)
            value = value << 8U |
                    (at + byte < text.size() ? static_cast<unsigned char>(text[at + byte])
                                             : 0U);
        for (int digit = 0; digit < 4; ++digit)
            out += at + static_cast<std::size_t>(digit) > text.size()
                       ? '='
                       : letters[value >> (18 - 6 * digit) & 63U];
    }
    return out;
}

inline std::string from_base64(const std::string& text)
{
    std::string out;
    unsigned value = 0;
    int bits = 0;
    for (const char c : text)
    {
        int digit = -1;
        if (c >= 'A' && c <= 'Z')
            digit = c - 'A';
        else if (c >= 'a' && c <= 'z')
            digit = c - 'a' + 26;
        else if (c >= '0' && c <= '9')
            digit = c - '0' + 52;
        else if (c == '+')
            digit = 62;
        else if (c == '/')
            digit = 63;
        if (digit < 0)
            break;
        value = value << 6U | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            out += static_cast<char>(value >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return out;
}

// The platform's store: one revision counter, leases, watches and transactions.
class store
{
public:
    json range(const std::string& prefix, const std::string& after)
    {
        const std::lock_guard lock(mutex_);
        json items = json::array();
        bool more = false;
        for (const auto& [key, item] : items_)
            if (key.starts_with(prefix) && key > after)
            {
                if (items.size() >= 500)
                {
                    more = true;
                    break;
                }
                items.push_back(item);
            }
        return {{"items", items}, {"morePages", more}, {"currentRev", revision_}};
    }

    json watch(const std::string& prefix, std::uint64_t after, milliseconds wait,
               const std::function<bool()>& cut)
    {
        std::unique_lock lock(mutex_);
        const steady::time_point until = steady::now() + wait;
        while (true)
        {
            json events = json::array();
            for (auto event = history_.upper_bound(after); event != history_.end();
                 ++event)
                if (event->second["key"].get<std::string>().starts_with(prefix))
                    events.push_back(event->second);
            if (!events.empty() || steady::now() >= until || cut())
                return {{"events", events}, {"currentRev", revision_}};
            changed_.wait_until(lock, std::min(until, steady::now() + milliseconds(50)));
        }
    }

    std::pair<int, json> transact(const json& change)
    {
        const std::lock_guard lock(mutex_);
        json failed = json::array();
        bool holds = true;
        for (const json& row : change.value("precondition", json::array()))
        {
            const auto found = items_.find(row["key"].get<std::string>());
            const std::uint64_t present =
                found == items_.end() ? 0
                                      : found->second["revision"].get<std::uint64_t>();
            holds = holds && present == row["revision"].get<std::uint64_t>();
            if (found != items_.end())
                failed.push_back(found->second);
        }
        if (!holds)
            return {412, {{"items", failed}}};
        for (const json& row : change.value("puts", json::array()))
            if (row.value("lease", 0ULL) != 0 && !leases_.contains(row["lease"]))
                return {404, json::object()};
        for (const json& row : change.value("puts", json::array()))
            put(row["key"], row["value"], row.value("lease", 0ULL));
        for (const json& key : change.value("remove", json::array()))
            remove(key);
        changed_.notify_all();
        return {200, {{"revision", revision_}}};
    }

    // What the operator or a worker writes.
    std::uint64_t write(const std::string& key, const json& value)
    {
        const std::lock_guard lock(mutex_);
        put(key, to_base64(value.dump()), 0);
        changed_.notify_all();
        return revision_;
    }

    void erase(const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        remove(key);
        changed_.notify_all();
    }

    json grant(std::uint64_t ttl_ms)
    {
        const std::lock_guard lock(mutex_);
        leases_[++last_lease_] = {milliseconds(ttl_ms), steady::now()};
        return {{"lease", last_lease_}, {"ttlMs", ttl_ms}};
    }

    bool keep(std::uint64_t id)
    {
        const std::lock_guard lock(mutex_);
        const auto found = leases_.find(id);
        if (found != leases_.end())
            found->second.second = steady::now();
        return found != leases_.end();
    }

    void end_lease(std::uint64_t id)
    {
        const std::lock_guard lock(mutex_);
        drop_lease(id);
    }

    void expire()
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::uint64_t> ended;
        for (const auto& [id, lease] : leases_)
            if (steady::now() - lease.second > lease.first)
                ended.push_back(id);
        for (const std::uint64_t id : ended)
            drop_lease(id);
    }

    std::map<std::string, json> values(const std::string& prefix)
    {
        const std::lock_guard lock(mutex_);
        std::map<std::string, json> result;
        for (const auto& [key, item] : items_)
            if (key.starts_with(prefix))
                result[key.substr(prefix.size())] = json::parse(
                    from_base64(item["value"].get<std::string>()), nullptr, false);
        return result;
    }

private:
    void put(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        ++revision_;
        const std::uint64_t created = items_.contains(key)
                                          ? items_[key]["created"].get<std::uint64_t>()
                                          : revision_;
        items_[key] = {{"key", key},
                       {"value", value},
                       {"revision", revision_},
                       {"created", created},
                       {"lease", lease}};
        history_[revision_] = items_[key];
    }

    void remove(const std::string& key)
    {
        if (items_.erase(key) == 0)
            return;
        ++revision_;
        history_[revision_] = {{"key", key}, {"revision", revision_}, {"deleted", true}};
    }

    void drop_lease(std::uint64_t id)
    {
        leases_.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, item] : items_)
            if (item["lease"].get<std::uint64_t>() == id)
                keys.push_back(key);
        for (const std::string& key : keys)
            remove(key);
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, json> items_;
    std::map<std::uint64_t, json> history_;
    std::map<std::uint64_t, std::pair<milliseconds, steady::time_point>> leases_;
    std::uint64_t revision_ = 1;
    std::uint64_t last_lease_ = 100;
};

// A server with enough threads for calls that wait.
inline void prepare(httplib::Server& server)
{
    server.new_task_queue = [] { return new httplib::ThreadPool(96); };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(1'000'000);
    server.set_keep_alive_timeout(30);
}

// One of the store's addresses. Each daemon has one of its own, at which the entries of
// workers may name links of its own.
class store_server
{
public:
    // Returns how long the write is done late, with no answer; none if it is answered.
    using late_policy = std::function<std::optional<milliseconds>(const json&)>;

    store_server(store& shared, const std::string& ip)
        : store_(shared), address_(ip + ":" + std::to_string(free_port(ip)))
    {
        prepare(server_);
        server_.set_pre_routing_handler(
            [this](const httplib::Request&, httplib::Response& response)
            {
                wait_while_silent();
                if (!is_down)
                    return httplib::Server::HandlerResponse::Unhandled;
                response.status = 503;
                return httplib::Server::HandlerResponse::Handled;
            });
        server_.Get("/v1/kv-key",
                    [this](const httplib::Request& request, httplib::Response& response)
                    {
                        const std::string key = request.get_param_value("key");
                        json page = store_.range(key, "");
                        for (json& item : page["items"])
                            if (item["key"] == key)
                                return answer(response, 200, item);
                        answer(response, 404, json::object());
                    });
        server_.Get("/v1/kv-range",
                    [this](const httplib::Request& request, httplib::Response& response)
                    {
                        json page = store_.range(request.get_param_value("pathPrefix"),
                                                 request.get_param_value("after"));
                        name_links(page["items"]);
                        answer(response, 200, page);
                    });
        server_.Get("/v1/kv-watch",
                    [this](const httplib::Request& request, httplib::Response& response)
                    {
                        json page = store_.watch(
                            request.get_param_value("pathPrefix"),
                            std::stoull(request.get_param_value("after")),
                            milliseconds(std::stoll(request.get_param_value("waitMs"))),
                            [this] { return is_down || is_silent || is_ending_; });
                        wait_while_silent();
                        if (is_down)
                            return answer(response, 503, json::object());
                        name_links(page["events"]);
                        answer(response, 200, page);
                    });
        server_.Post("/v1/kv-txn",
                     [this](const httplib::Request& request, httplib::Response& response)
                     { on_transaction(json::parse(request.body), response); });
        server_.Post(
            "/v1/kv-lease",
            [this](const httplib::Request& request, httplib::Response& response)
            { answer(response, 200, store_.grant(json::parse(request.body)["ttlMs"])); });
        server_.Post(R"(/v1/kv-keep/(\d+))",
                     [this](const httplib::Request& request, httplib::Response& response)
                     {
                         const bool kept = store_.keep(std::stoull(request.matches[1]));
                         answer(response, kept ? 200 : 404, json::object());
                     });
        server_.Delete(
            R"(/v1/kv-lease-end/(\d+))",
            [this](const httplib::Request& request, httplib::Response& response)
            {
                store_.end_lease(std::stoull(request.matches[1]));
                answer(response, 200, json::object());
            });
        const std::size_t colon = address_.rfind(':');
        thread_ = std::thread([this, ip, port = std::stoi(address_.substr(colon + 1))]
                              { server_.listen(ip, port); });
    }
    ~store_server()
    {
        is_ending_ = true;
        server_.stop();
        thread_.join();
    }

    const std::string& address() const { return address_; }
    void set_link(const std::string& key, const std::string& address)
    {
        const std::lock_guard lock(mutex_);
        links_[key] = address;
    }
    void set_late(late_policy policy)
    {
        const std::lock_guard lock(mutex_);
        late_ = std::move(policy);
    }

    std::atomic<bool> is_down{false};
    // The store answers nothing, and does nothing, until it can be reached again.
    std::atomic<bool> is_silent{false};
    // Called once a late write has been done.
    std::function<void()> late_done;

private:
    // A call that was held up by a silence isn't carried out.
    void wait_while_silent()
    {
        if (!is_silent)
            return;
        while (is_silent && !is_ending_)
            sleep_ms(20);
    }

    static void answer(httplib::Response& response, int status, const json& body)
    {
        response.status = status;
        response.set_content(body.dump(), "application/json");
    }

    void name_links(json& items)
    {
        const std::lock_guard lock(mutex_);
        for (json& item : items)
        {
            const auto found = links_.find(item["key"].get<std::string>());
            if (found == links_.end() || !item.contains("value"))
                continue;
            json entry = json::parse(from_base64(item["value"].get<std::string>()));
            entry["addr"] = found->second;
            item["value"] = to_base64(entry.dump());
        }
    }

    void on_transaction(const json& change, httplib::Response& response)
    {
        std::optional<milliseconds> delay;
        {
            const std::lock_guard lock(mutex_);
            if (late_)
                delay = late_(change);
        }
        if (!delay)
        {
            const auto [status, body] = store_.transact(change);
            return answer(response, status, body);
        }
        std::thread(
            [this, change, wait = *delay]
            {
                std::this_thread::sleep_for(wait);
                store_.transact(change);
                if (late_done)
                    late_done();
            })
            .detach();
        // Longer than the daemon waits; then the connection ends without an answer.
        sleep_ms(2500);
        response.set_content_provider(8, "application/json",
                                      [](std::size_t, std::size_t, httplib::DataSink&)
                                      { return false; });
    }

    store& store_;
    std::string address_;
    httplib::Server server_;
    std::thread thread_;
    std::mutex mutex_;
    std::map<std::string, std::string> links_;
    late_policy late_;
    std::atomic<bool> is_ending_{false};
};

// The link between one daemon and one worker: passes bytes on, or resets what is open and
// refuses what is new.
class worker_link
{
public:
    worker_link(const std::string& ip, std::string target)
        : ip_(ip), port_(free_port(ip)), target_(std::move(target))
    {
        open();
        thread_ = std::thread([this] { run(); });
    }
    ~worker_link()
    {
        ends_ = true;
        thread_.join();
        while (connections_ > 0)
            sleep_ms(5);
        if (listener_ >= 0)
            close(listener_);
    }
    std::string address() const { return ip_ + ":" + std::to_string(port_); }
    void set_cut(bool cut) { is_cut_ = cut; }

private:
    void open()
    {
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = to_sockaddr(ip_, port_);
        if (bind(listener_, reinterpret_cast<const sockaddr*>(&address),
                 sizeof address) != 0 ||
            listen(listener_, 128) != 0)
            throw cannot_run("a link can't listen");
    }

    void run()
    {
        while (!ends_)
        {
            if (is_cut_ && listener_ >= 0)
            {
                close(listener_);
                listener_ = -1;
            }
            if (!is_cut_ && listener_ < 0)
                open();
            if (listener_ < 0)
            {
                sleep_ms(5);
                continue;
            }
            pollfd wait{listener_, POLLIN, 0};
            if (poll(&wait, 1, 5) <= 0)
                continue;
            const int caller = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (caller < 0)
                continue;
            ++connections_;
            std::thread([this, caller] { serve(caller); }).detach();
        }
    }

    void serve(int caller)
    {
        const int callee = connect_to(target_, 60000);
        const linger reset{1, 0};
        bool is_reset = callee < 0;
        while (!ends_ && callee >= 0)
        {
            if (is_cut_)
            {
                is_reset = true;
                break;
            }
            pollfd both[2] = {{caller, POLLIN, 0}, {callee, POLLIN, 0}};
            poll(both, 2, 5);
            if (is_cut_)
                continue;
            if (both[0].revents != 0 && !pass(caller, callee))
                break;
            if (both[1].revents != 0 && !pass(callee, caller))
                break;
        }
        if (is_reset)
            setsockopt(caller, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        if (callee >= 0)
            close(callee);
        close(caller);
        --connections_;
    }

    static bool pass(int from, int to)
    {
        char bytes[16384];
        const ssize_t count = recv(from, bytes, sizeof bytes, MSG_DONTWAIT);
        if (count <= 0)
            return count < 0 && (errno == EAGAIN || errno == EINTR);
        for (ssize_t sent = 0; sent < count;)
        {
            const ssize_t part = send(
                to, bytes + sent, static_cast<std::size_t>(count - sent), MSG_NOSIGNAL);
            if (part <= 0)
                return false;
            sent += part;
        }
        return true;
    }

    std::string ip_;
    int port_;
    std::string target_;
    int listener_ = -1;
    std::thread thread_;
    std::atomic<bool> is_cut_{false};
    std::atomic<bool> ends_{false};
    std::atomic<int> connections_{0};
};

struct order
{
    double at = 0;
    std::string holder;
    std::uint64_t token = 0;
    std::string op;
    std::string adapter;
    int status = 0;
};

// A worker: an engine that takes orders, or a plain one. It registers itself in the
// store.
class worker
{
public:
    worker(store& registry, recorder& record, std::string id, const std::string& ip,
           json entry, bool is_engine, int slots = 30, int load_ms = 250)
        : store_(registry), record_(record), id_(std::move(id)),
          address_(ip + ":" + std::to_string(free_port(ip))), entry_(std::move(entry)),
          is_engine_(is_engine), slots_(slots), load_ms_(load_ms)
    {
        prepare(server_);
        born_ = std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
        server_.Get("/v1/report",
                    [this](const httplib::Request& request, httplib::Response& response)
                    {
                        if (is_expected(request, response))
                            response.set_content(state().dump(), "application/json");
                    });
        server_.Post("/v1/order",
                     [this](const httplib::Request& request, httplib::Response& response)
                     {
                         if (is_expected(request, response))
                             take_order(json::parse(request.body), response);
                     });
        const auto run =
            [this](const httplib::Request& request, httplib::Response& response)
        { run_request(request, response); };
        server_.Get(".*", run);
        server_.Post(".*", run);
        const std::size_t colon = address_.rfind(':');
        server_.set_payload_max_length(64U << 20U);
        thread_ = std::thread([this, ip, port = std::stoi(address_.substr(colon + 1))]
                              { server_.listen(ip, port); });
        heartbeat_ = std::thread(
            [this]
            {
                while (!ends_)
                {
                    if (!is_crashed_)
                        write_entry();
                    for (int step = 0; step < 24 && !ends_; ++step)
                        sleep_ms(50);
                }
            });
    }
    ~worker()
    {
        ends_ = true;
        server_.stop();
        thread_.join();
        heartbeat_.join();
    }

    const std::string& address() const { return address_; }
    const std::string& id() const { return id_; }
    std::string key() const { return "servers/" + id_; }
    std::vector<order> orders()
    {
        const std::lock_guard lock(mutex_);
        return orders_;
    }
    // When each request reached a plain worker, with its id.
    std::vector<std::pair<double, std::string>> arrivals()
    {
        const std::lock_guard lock(mutex_);
        return arrivals_;
    }
    // Reports that the worker leaves. Returns the time at which the store accepted it.
    double leave()
    {
        is_crashed_ = true;
        json entry = entry_;
        entry["addr"] = address_;
        entry["state"] = "draining";
        entry["coldRemainingMs"] = 0;
        entry["born"] = born_.load();
        store_.write(key(), entry);
        return seconds_now();
    }
    // Ends the worker's process, as far as the daemons can see.
    void exit()
    {
        front->set_cut(true);
        store_.erase(key());
    }
    std::map<std::string, int> runs()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }
    // Called when a plain worker begins to run a request. If it returns true, the worker
    // crashes: it answers nothing, and its link resets and refuses connections.
    std::function<bool(const httplib::Request&)> crashes_at;
    worker_link* front = nullptr;
    // The time from a crash until the worker is back, with a new incarnation.
    int restart_ms = 2000;
    // Whether the store can be reached.
    std::function<bool()> is_registry_up = [] { return true; };
    // Events of a stream, and the time between two of them.
    int events = 5;
    int event_ms = 10;
    // How long a plain worker works on a request.
    int work_ms = 20;

    // The version of the software that the worker runs when it starts again.
    void start_next_as(const std::string& version)
    {
        const std::lock_guard lock(mutex_);
        next_version_ = version;
    }
    // Ends all connections and refuses new ones until the worker has started again.
    void crash()
    {
        if (is_crashed_.exchange(true))
            return;
        front->set_cut(true);
        std::thread(
            [this]
            {
                sleep_ms(restart_ms);
                if (ends_)
                    return;
                restart();
                front->set_cut(false);
                is_crashed_ = false;
                write_entry();
            })
            .detach();
        sleep_ms(100);
    }

private:
    bool is_expected(const httplib::Request& request, httplib::Response& response)
    {
        const std::string expected =
            request.get_header_value("X-Pollenhaven-Expected-Instance");
        response.set_header("X-Pollenhaven-Instance-Id", id_);
        if (expected.empty() || expected == id_)
            return true;
        response.status = 421;
        response.set_header("X-Pollenhaven-Not-Executed", "1");
        return false;
    }

    // Moves loads that are complete. The caller holds the mutex.
    void complete_loads()
    {
        std::erase_if(loading_,
                      [this](const auto& entry)
                      {
                          if (steady::now() < entry.second.second)
                              return false;
                          held_[entry.first] = entry.second.first;
                          return true;
                      });
    }

    json state()
    {
        const std::lock_guard lock(mutex_);
        complete_loads();
        json adapters = json::array();
        for (const auto& [name, version] : held_)
            adapters.push_back(name + "@" + std::to_string(version));
        json pending = json::array();
        for (const auto& [name, load] : loading_)
            pending.push_back("m0/" + name + "@" + std::to_string(load.first));
        json models = json::array();
        if (steady::now() >= model_ready_at_)
            models.push_back({{"name", "m0"}, {"version", 1}, {"adapters", adapters}});
        return {{"stage", "colocated"},
                {"models", models},
                {"pending", pending},
                {"busy", false},
                {"seq", seq_},
                {"waiting", 0},
                {"running", running_.load()},
                {"kvUsed", 0},
                {"kvTotal", 150000},
                {"handles", 0}};
    }

    // A worker starts again empty, under the id that it had.
    void restart()
    {
        const std::lock_guard lock(mutex_);
        born_ = std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
        held_.clear();
        loading_.clear();
        seq_ = 0;
        if (is_engine_)
            model_ready_at_ = (steady::time_point::max)();
        if (!next_version_.empty())
            version_ = next_version_;
        record_.line("worker " + id_ + " starts again, software " + version_);
    }

    void write_entry()
    {
        if (!is_registry_up())
            return;
        json entry = entry_;
        {
            const std::lock_guard lock(mutex_);
            if (!version_.empty())
                entry["version"] = version_;
        }
        entry["addr"] = address_;
        entry["state"] = "ready";
        entry["coldRemainingMs"] = 0;
        entry["born"] = born_.load();
        if (is_engine_)
        {
            const json now = state();
            entry["stage"] = now["stage"];
            entry["models"] = now["models"];
            entry["seq"] = now["seq"];
        }
        store_.write(key(), entry);
    }

    int decide_order(const json& body)
    {
        const std::string adapter = body.value("adapter", "");
        complete_loads();
        if (!body.contains("holder") || !body.contains("fencingToken"))
            return 400;
        const bool is_load = body.value("op", "") == "load";
        if (is_load && adapter.empty() && model_ready_at_ == steady::time_point::max())
        {
            if (body.contains("precondition") &&
                body["precondition"].get<std::uint64_t>() != seq_)
                return 409;
            ++seq_;
            model_ready_at_ = steady::now() + milliseconds(600);
            return 202;
        }
        if (steady::now() < model_ready_at_)
            return adapter.empty() ? 200 : 409;
        if (is_load &&
            (adapter.empty() || (held_.contains(adapter) && !body.contains("version"))))
            return 200;
        if (!is_load && !held_.contains(adapter))
            return 200;
        if (body.contains("precondition") &&
            body["precondition"].get<std::uint64_t>() != seq_)
            return 409;
        if (is_load && loading_.size() >= 4)
            return 409;
        ++seq_;
        if (!is_load)
        {
            held_.erase(adapter);
            return 200;
        }
        if (held_.size() + loading_.size() >= static_cast<std::size_t>(slots_))
            overfilled_ = true;
        loading_[adapter] = {body.value("version", 1),
                             steady::now() + milliseconds(load_ms_)};
        return 202;
    }

    void take_order(const json& body, httplib::Response& response)
    {
        const std::lock_guard lock(mutex_);
        response.status = decide_order(body);
        const order taken{seconds_now(),
                          body.value("holder", ""),
                          body.value("fencingToken", std::uint64_t{0}),
                          body.value("op", ""),
                          body.value("adapter", ""),
                          response.status};
        orders_.push_back(taken);
        record_.line("order at " + id_ + " from " + taken.holder + " token " +
                     std::to_string(taken.token) + " " + taken.op + " " + taken.adapter +
                     " -> " + std::to_string(taken.status));
    }

    void run_request(const httplib::Request& request, httplib::Response& response)
    {
        const std::string id = request.get_header_value("X-Pollenhaven-Request-Id");
        response.set_header("X-Pollenhaven-Request-Id", id);
        if (!is_expected(request, response))
            return;
        if (id.empty())
        {
            response.status = 400;
            response.set_header("X-Pollenhaven-Not-Executed", "1");
            return;
        }
        const std::string model = request.get_header_value("X-Pollenhaven-Model");
        const std::size_t slash = model.find('/');
        {
            const std::lock_guard lock(mutex_);
            complete_loads();
            if (is_engine_ && (steady::now() < model_ready_at_ ||
                               (slash != std::string::npos &&
                                !held_.contains(model.substr(slash + 1)))))
            {
                response.status = 421;
                response.set_header("X-Pollenhaven-Not-Executed", "1");
                return;
            }
            ++runs_[id];
            if (!is_engine_)
                arrivals_.emplace_back(seconds_now(), id);
        }
        response.set_header("X-Pollenhaven-Server-Signature", "s." + id_ + "." + id);
        if (!is_engine_)
        {
            if (crashes_at && crashes_at(request))
                return crash();
            sleep_ms(work_ms);
            response.set_content(std::string(800, 'x'), "application/octet-stream");
            return;
        }
        ++running_;
        const std::string last = request.get_header_value("Last-Event-Id");
        const int first = last.empty() ? 0 : std::stoi(last);
        std::string version;
        {
            const std::lock_guard lock(mutex_);
            version = version_.empty() ? "v1" : version_;
        }
        response.set_chunked_content_provider(
            "text/event-stream",
            [this, version, sent = std::make_shared<int>(first)](std::size_t,
                                                                 httplib::DataSink& sink)
            {
                if (*sent >= events)
                {
                    sink.done();
                    return true;
                }
                sleep_ms(event_ms);
                ++*sent;
                const std::string event = "id: " + std::to_string(*sent) +
                                          "\ndata: " + version + " " + id_ + "\n\n";
                return sink.write(event.data(), event.size());
            },
            [this](bool) { --running_; });
    }

    store& store_;
    recorder& record_;
    std::string id_;
    std::string address_;
    json entry_;
    bool is_engine_;
    int slots_;
    int load_ms_;
    std::atomic<long long> born_{0};
    std::atomic<bool> is_crashed_{false};
    httplib::Server server_;
    std::thread thread_;
    std::thread heartbeat_;
    std::atomic<bool> ends_{false};
    std::mutex mutex_;
    std::uint64_t seq_ = 1;
    std::string version_;
    std::string next_version_;
    // When the base model is loaded; the latest time of all if no order has loaded it.
    steady::time_point model_ready_at_{};
    std::map<std::string, int> held_;
    std::map<std::string, std::pair<int, steady::time_point>> loading_;
    std::vector<order> orders_;
    std::map<std::string, int> runs_;
    std::vector<std::pair<double, std::string>> arrivals_;
    std::atomic<int> running_{0};
    std::atomic<bool> overfilled_{false};
};

// One of the project's daemons, started with the command of the deploy file and with
// settings from the project's template.
class daemon_process
{
public:
    daemon_process(std::string name, std::string ip, std::string zone,
                   std::string store_address, const std::string& folder)
        : name_(std::move(name)), ip_(std::move(ip)), folder_(folder)
    {
        callers_ = ip_ + ":" + std::to_string(free_port(ip_));
        values_ = {{"node", name_},
                   {"zone", std::move(zone)},
                   {"limits.memoryMb", "260"},
                   {"limits.cpuShare", "0.25"},
                   {"listen.frontend", callers_},
                   {"listen.readiness", ip_ + ":" + std::to_string(free_port(ip_))},
                   {"listen.directory", ip_ + ":" + std::to_string(free_port(ip_))},
                   {"ip", ip_},
                   {"internalPorts.0", std::to_string(free_port(ip_))},
                   {"platform.addr", std::move(store_address)},
                   {"platform.writesPerS", "400"},
                   {"bounds.leaseMs", "3000"},
                   {"bounds.retryBudgetRatio", "0.2"},
                   {"bounds.retryBudgetSlack", "56"},
                   {"bounds.budgetWindowS", "10"},
                   {"bounds.graceS", "8"}};
        write_settings();
        start();
    }
    ~daemon_process() { kill(); }

    void start()
    {
        std::ifstream deploy("deploy/system.toml");
        std::string command;
        for (std::string text; std::getline(deploy, text);)
            if (text.starts_with("run = \""))
                command = text.substr(7, text.rfind('"') - 7);
        std::vector<std::string> words;
        std::istringstream stream(command);
        for (std::string word; stream >> word;)
            words.push_back(word);
        if (words.empty() || access(words[0].c_str(), X_OK) != 0)
            throw cannot_run("the daemon isn't built as the deploy file says");
        const std::string output = folder_ + "/" + name_ + ".log";
        pid_ = fork();
        if (pid_ != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(file, 1);
        dup2(file, 2);
        setenv("POLLENHAVEN_BOOT", settings_.c_str(), 1);
        std::vector<char*> arguments;
        arguments.reserve(words.size() + 1);
        for (std::string& word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        execv(arguments[0], arguments.data());
        _exit(127);
    }

    // Waits until the process has ended. Returns false after the time.
    bool wait_for_end(double seconds)
    {
        const double until = seconds_now() + seconds;
        while (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == 0)
        {
            if (seconds_now() > until)
                return false;
            sleep_ms(10);
        }
        pid_ = -1;
        return true;
    }

    void signal(int number) const
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }
    void kill()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::kill(pid_, SIGCONT);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    // Callers send it nothing, because it has been stopped.
    std::atomic<bool> is_taken_out{false};
    bool is_running() { return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == 0; }
    const std::string& name() const { return name_; }
    const std::string& callers() const { return callers_; }
    const std::string& setting(const std::string& field) const
    {
        return values_.at(field);
    }
    bool is_ready() const
    {
        httplib::Client client("http://" + values_.at("listen.readiness"));
        client.set_connection_timeout(1);
        const auto response = client.Get("/v1/readyz");
        return response && response->status == 200;
    }
    // Returns the time in the log of the first line with the event, or -1.
    bool has_logged(const std::string& text) const
    {
        std::ifstream log(folder_ + "/" + name_ + ".log");
        for (std::string found; std::getline(log, found);)
            if (found.find(text) != std::string::npos)
                return true;
        return false;
    }

private:
    void write_settings()
    {
        std::ifstream source("deploy/settings.toml");
        if (!source)
            throw cannot_run("no settings template");
        settings_ = folder_ + "/" + name_ + ".toml";
        std::ofstream file(settings_);
        bool is_skipped = false;
        for (std::string text; std::getline(source, text);)
        {
            if (text.starts_with("{{#"))
                is_skipped = true;
            else if (text.starts_with("{{/"))
                is_skipped = false;
            else if (text.starts_with("metrics"))
                file << "metrics = \"" << ip_ << ":" << free_port(ip_) << "\"\n";
            else if (!is_skipped)
                file << fill(text) << '\n';
        }
    }

    std::string fill(std::string text) const
    {
        for (std::size_t at = text.find("{{"); at != std::string::npos;
             at = text.find("{{"))
        {
            const std::size_t end = text.find("}}", at);
            text.replace(at, end + 2 - at, values_.at(text.substr(at + 2, end - at - 2)));
        }
        return text;
    }

    std::string name_;
    std::string ip_;
    std::string folder_;
    std::string callers_;
    std::string settings_;
    std::map<std::string, std::string> values_;
    pid_t pid_ = -1;
};

// The folder of the run's temporary files; it is removed at the end.
struct temporary_folder
{
    std::string path;
    temporary_folder()
    {
        std::string name =
            (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr)
            throw cannot_run("no temporary folder");
        path = name;
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(path, ignored);
        else
            std::cerr << "files in " << path << '\n';
    }
};

// An address in 127/8 that is the same for all of a run, with a number at its end.
inline std::string loopback(int number)
{
    static const int net = 16 + getpid() % 200;
    return "127.77." + std::to_string(net) + "." + std::to_string(number);
}

inline bool wait_for(const std::function<bool()>& condition, double seconds)
{
    const double until = seconds_now() + seconds;
    while (!condition())
    {
        if (seconds_now() > until)
            return false;
        sleep_ms(20);
    }
    return true;
}

inline bool is_troubled()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline json route(const std::string& name, const std::string& prefix,
                  const std::string& kind, const std::string& service, int attempts,
                  int timeout_ms, int target_ms)
{
    return {{"name", name},
            {"host", "desk.example"},
            {"pathPrefix", prefix},
            {"kind", kind},
            {"service", service},
            {"timeoutMs", timeout_ms},
            {"targetLatencyMs", target_ms},
            {"targetGapMs", 250},
            {"maxAttempts", attempts},
            {"priority", 0},
            {"sticky", kind == "streaming"},
            {"resumable", false}};
}

inline json configuration(int version)
{
    const json engine{{"slots", 64},
                      {"adapterSlots", 30},
                      {"weightsMb", 68000},
                      {"models",
                       {{{"name", "m0"},
                         {"weightsMb", 65500},
                         {"loadS", 0.6},
                         {"adapters", 3000},
                         {"adapterMb", 40}}}}};
    return {{"version", version},
            {"routes",
             {route("chat", "/chat/", "streaming", "assist", 1, 15000, 600),
              route("book", "/book/", "non_idempotent", "desk", 1, 4000, 300),
              route("look", "/look/", "idempotent", "desk", 2, 4000, 300)}},
            {"services",
             {{{"name", "assist"}, {"maxConns", 370}, {"engine", engine}},
              {{"name", "desk"}, {"maxConns", 110}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}}};
}

inline json entry(const std::string& service, const std::string& zone, int slots)
{
    return {{"service", service}, {"zone", zone}, {"version", "v1"}, {"slots", slots}};
}

} // namespace kit

#endif
