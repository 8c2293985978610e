// Stand-ins of the review for the platform's store and for workers, and the daemons'
// processes.
#pragma once

#include "http.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdarg>
#include <fstream>
#include <optional>
#include <random>
#include <sstream>

#include <nlohmann/json.hpp>

namespace review
{

using json = nlohmann::json;

inline std::string to_base64(const std::string& text)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += 3)
    {
        unsigned value = 0;
        for (std::size_t i = 0; i < 3; ++i)
            value = value << 8U |
                    (at + i < text.size() ? static_cast<unsigned char>(text[at + i]) : 0U);
        for (std::size_t i = 0; i < 4; ++i)
            result += at + i > text.size() ? '=' : digits[value >> (18 - 6 * i) & 63U];
    }
    return result;
}

inline std::string from_base64(const std::string& text)
{
    std::string result;
    unsigned value = 0;
    int bits = 0;
    for (const char c : text)
    {
        int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                    : c >= 'a' && c <= 'z' ? c - 'a' + 26
                    : c >= '0' && c <= '9' ? c - '0' + 52
                    : c == '+'             ? 62
                    : c == '/'             ? 63
                                           : -1;
        if (digit < 0)
            continue;
        value = value << 6U | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            result += static_cast<char>(value >> bits & 255U);
        }
    }
    return result;
}

// What was sent, answered and run, in the order of its time.
class recorder
{
public:
    explicit recorder(const std::string& path) : file_(path) {}
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[2000];
        va_list arguments;
        va_start(arguments, format);
        vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        char head[32];
        snprintf(head, sizeof head, "%9.3f s  ", now_ms() / 1000);
        const std::lock_guard lock(mutex_);
        file_ << head << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

// What a fault does to a call of the store.
struct call_fault
{
    // The call is carried out and gets no answer.
    bool lose_answer = false;
    // It is carried out this much later, if its condition still holds.
    double delay_ms = 0;
};

// The platform's store. Each daemon reaches it on a port of its own, so that a test can
// cut it off, and reads the addresses of workers there that are meant for it.
class store
{
public:
    explicit store(recorder& log) : log_(log)
    {
        std::thread([this] { expire_leases(); }).detach();
    }

    // Opens a port for one daemon. Returns its number.
    int open_port(const std::string& daemon)
    {
        auto view = std::make_unique<daemon_view>();
        view->name = daemon;
        daemon_view* const raw = view.get();
        view->listener = std::make_unique<server>(
            [this, raw](const message& request, const connection_ptr& peer)
            { return handle(*raw, request, peer); });
        views_.push_back(std::move(view));
        return views_.back()->listener->port();
    }
    // The address of a worker as this daemon gets it, in place of the entry's own.
    void set_address(const std::string& daemon, const std::string& key,
                     const std::string& address)
    {
        const std::lock_guard lock(mutex_);
        for (const auto& view : views_)
            if (view->name == daemon)
                view->addresses[key] = address;
    }
    // While a daemon is cut off, nothing of what it sends is carried out or answered, and
    // no answer reaches it.
    void cut(const std::string& daemon, bool is_cut)
    {
        view_of(daemon).cut = is_cut;
        changed_.notify_all();
    }
    // While the store is down, it refuses all calls with 503, or doesn't answer them.
    void set_down(bool is_down, bool is_silent)
    {
        silent_ = is_silent;
        down_ = is_down;
        changed_.notify_all();
    }
    // Keeps a copy of the store as it is now.
    void save_copy()
    {
        const std::lock_guard lock(mutex_);
        copied_items_ = items_;
        copied_history_ = history_;
        copied_revision_ = revision_;
    }
    // Comes back from the copy: what the system has written since is gone, and so are all
    // leases with their keys. What operators and workers have written is written again.
    void restore_copy()
    {
        const std::lock_guard lock(mutex_);
        std::map<std::string, json> foreign;
        for (const auto& [key, item] : items_)
            if (key.rfind("pollenhaven/", 0) != 0)
                foreign[key] = item;
        items_ = copied_items_;
        history_ = copied_history_;
        revision_ = copied_revision_;
        ++era_;
        std::vector<std::string> gone;
        for (const auto& [key, item] : items_)
            if (item["lease"].get<std::uint64_t>() != 0)
                gone.push_back(key);
        leases_.clear();
        for (const std::string& key : gone)
            remove_locked(key);
        for (const auto& [key, item] : foreign)
            if (!items_.contains(key) || items_[key]["value"] != item["value"])
                put_locked(key, item["value"], 0);
        changed_.notify_all();
    }

    // Chooses a fault for a write.
    std::function<call_fault(const std::string& daemon, const json& change)> write_fault;
    // Is told of each write that was carried out or refused.
    std::function<void(const std::string& daemon, const json& change, int status)> on_write;

    void put(const std::string& key, const json& value)
    {
        const std::lock_guard lock(mutex_);
        put_locked(key, to_base64(value.dump()), 0);
        changed_.notify_all();
    }
    void remove(const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        remove_locked(key);
        changed_.notify_all();
    }
    // The value of a key; null if it doesn't exist.
    json get(const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        const auto found = items_.find(key);
        if (found == items_.end())
            return nullptr;
        return json::parse(from_base64(found->second["value"].get<std::string>()));
    }

private:
    struct daemon_view
    {
        std::string name;
        std::atomic<bool> cut{false};
        std::map<std::string, std::string> addresses;
        std::unique_ptr<server> listener;
    };
    struct lease
    {
        double ttl_ms;
        double renewed_at;
    };

    daemon_view& view_of(const std::string& daemon)
    {
        for (const auto& view : views_)
            if (view->name == daemon)
                return *view;
        std::abort();
    }

    static void wait_while_cut(const daemon_view& view)
    {
        while (view.cut)
            sleep_ms(5);
    }

    bool answer(const daemon_view& view, const connection_ptr& peer, int status,
                const json& body)
    {
        if (view.cut)
        {
            // The answer is held up and lost with the connection, which its caller gives
            // up meanwhile.
            wait_while_cut(view);
            return false;
        }
        return peer->send_all(response_text(
            status, "Content-Type: application/json\r\nStore-Era: " + std::to_string(era_) + "\r\n",
            body.dump()));
    }

    bool handle(daemon_view& view, const message& request, const connection_ptr& peer)
    {
        if (view.cut)
        {
            wait_while_cut(view);
            // A caller that has given the call up has reset the connection, and its bytes
            // are lost.
            pollfd state{peer->fd, POLLIN | POLLRDHUP, 0};
            if (::poll(&state, 1, 0) > 0)
                return false;
        }
        if (down_ && !silent_)
            return answer(view, peer, 503, json::object());
        while (down_)
        {
            sleep_ms(5);
            if (!down_)
                return false;
        }
        const std::string path = request.path();
        if (path == "/v1/kv-key")
            return read_key(view, request, peer);
        if (path == "/v1/kv-range")
            return read_range(view, request, peer);
        if (path == "/v1/kv-watch")
            return watch(view, request, peer);
        if (path == "/v1/kv-txn")
            return write(view, json::parse(request.body), peer);
        if (path == "/v1/kv-lease")
        {
            const double ttl = json::parse(request.body)["ttlMs"].get<double>();
            std::uint64_t id = 0;
            {
                const std::lock_guard lock(mutex_);
                id = ++last_lease_;
                leases_[id] = {ttl, now_ms()};
            }
            return answer(view, peer, 200, {{"lease", id}, {"ttlMs", ttl}});
        }
        if (path.rfind("/v1/kv-keep/", 0) == 0)
        {
            bool found = false;
            {
                const std::lock_guard lock(mutex_);
                const auto held = leases_.find(std::stoull(path.substr(12)));
                found = held != leases_.end();
                if (found)
                    held->second.renewed_at = now_ms();
            }
            return answer(view, peer, found ? 200 : 404, json::object());
        }
        if (path.rfind("/v1/kv-lease-end/", 0) == 0)
        {
            {
                const std::lock_guard lock(mutex_);
                end_lease(std::stoull(path.substr(17)));
            }
            changed_.notify_all();
            return answer(view, peer, 200, json::object());
        }
        return answer(view, peer, 404, json::object());
    }

    json seen_by(const daemon_view& view, const json& item) const
    {
        const auto address = view.addresses.find(item["key"].get<std::string>());
        if (address == view.addresses.end() || !item.contains("value"))
            return item;
        json changed = item;
        json entry = json::parse(from_base64(item["value"].get<std::string>()));
        entry["addr"] = address->second;
        changed["value"] = to_base64(entry.dump());
        return changed;
    }

    bool read_key(const daemon_view& view, const message& request, const connection_ptr& peer)
    {
        json found;
        {
            const std::lock_guard lock(mutex_);
            const auto item = items_.find(request.query("key"));
            if (item != items_.end())
            {
                found = seen_by(view, item->second);
                found["currentRev"] = revision_;
            }
        }
        return answer(view, peer, found.is_null() ? 404 : 200, found);
    }

    bool read_range(const daemon_view& view, const message& request,
                    const connection_ptr& peer)
    {
        const std::string prefix = request.query("pathPrefix");
        const std::string after = request.query("after");
        json page{{"items", json::array()}, {"morePages", false}};
        {
            const std::lock_guard lock(mutex_);
            for (const auto& [key, item] : items_)
                if (key.rfind(prefix, 0) == 0 && key > after)
                    page["items"].push_back(seen_by(view, item));
            page["currentRev"] = revision_;
        }
        return answer(view, peer, 200, page);
    }

    bool watch(daemon_view& view, const message& request, const connection_ptr& peer)
    {
        const std::string prefix = request.query("pathPrefix");
        const std::uint64_t after = std::stoull(request.query("after"));
        const double until = now_ms() + std::stod(request.query("waitMs"));
        std::unique_lock lock(mutex_);
        while (true)
        {
            if (view.cut)
            {
                lock.unlock();
                wait_while_cut(view);
                return false;
            }
            if (down_)
            {
                lock.unlock();
                return false;
            }
            if (after > revision_)
            {
                lock.unlock();
                return answer(view, peer, 410, json::object());
            }
            json events = json::array();
            for (const json& event : history_)
                if (event["revision"].get<std::uint64_t>() > after &&
                    event["key"].get<std::string>().rfind(prefix, 0) == 0)
                    events.push_back(seen_by(view, event));
            if (!events.empty() || now_ms() >= until)
            {
                const json body{{"events", events}, {"currentRev", revision_}};
                lock.unlock();
                return answer(view, peer, 200, body);
            }
            changed_.wait_for(lock, ms(20));
        }
    }

    bool write(daemon_view& view, const json& change, const connection_ptr& peer)
    {
        const call_fault fault = write_fault ? write_fault(view.name, change) : call_fault{};
        if (fault.delay_ms > 0)
            std::thread(
                [this, name = view.name, change, fault]
                {
                    sleep_ms(fault.delay_ms);
                    apply(name, change);
                })
                .detach();
        json body;
        int status = 0;
        if (fault.delay_ms == 0)
            std::tie(status, body) = apply(view.name, change);
        if (fault.lose_answer)
        {
            // A connection on which a response is lost returns nothing further.
            while (peer->receive(-1))
                peer->input.clear();
            return false;
        }
        return answer(view, peer, status, body);
    }

    std::pair<int, json> apply(const std::string& daemon, const json& change)
    {
        std::pair<int, json> result;
        {
            const std::lock_guard lock(mutex_);
            result = apply_locked(change);
            if (on_write)
                on_write(daemon, change, result.first);
        }
        changed_.notify_all();
        return result;
    }

    std::pair<int, json> apply_locked(const json& change)
    {
        json failed = json::array();
        for (const json& row : change.value("precondition", json::array()))
        {
            const auto item = items_.find(row["key"].get<std::string>());
            const std::uint64_t present =
                item == items_.end() ? 0 : item->second["revision"].get<std::uint64_t>();
            if (present != row["revision"].get<std::uint64_t>())
                failed.push_back(item == items_.end() ? json{{"key", row["key"]}}
                                                      : item->second);
        }
        if (!failed.empty())
            return {412, {{"items", failed}}};
        for (const json& row : change.value("puts", json::array()))
            if (row.value("lease", 0ULL) != 0 && !leases_.contains(row["lease"]))
                return {404, json::object()};
        for (const json& row : change.value("puts", json::array()))
            put_locked(row["key"], row["value"], row.value("lease", 0ULL));
        for (const json& key : change.value("remove", json::array()))
            remove_locked(key);
        return {200, {{"revision", revision_}}};
    }

    void put_locked(const std::string& key, const std::string& value, std::uint64_t lease_id)
    {
        ++revision_;
        const auto before = items_.find(key);
        const json item{
            {"key", key},
            {"value", value},
            {"revision", revision_},
            {"created", before == items_.end() ? json(revision_) : before->second["created"]},
            {"lease", lease_id}};
        items_[key] = item;
        history_.push_back(item);
    }
    void remove_locked(const std::string& key)
    {
        if (items_.erase(key) == 0)
            return;
        ++revision_;
        history_.push_back({{"key", key}, {"revision", revision_}, {"deleted", true}});
        if (key.rfind("pollenhaven/", 0) == 0)
            log_.line("store: %s is removed, revision %llu", key.c_str(),
                      static_cast<unsigned long long>(revision_));
    }
    void end_lease(std::uint64_t id)
    {
        leases_.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, item] : items_)
            if (item["lease"].get<std::uint64_t>() == id)
                keys.push_back(key);
        for (const std::string& key : keys)
            remove_locked(key);
    }
    void expire_leases()
    {
        while (true)
        {
            sleep_ms(25);
            {
                const std::lock_guard lock(mutex_);
                if (down_)
                    for (auto& [id, held] : leases_)
                        held.renewed_at += 25;
                std::vector<std::uint64_t> expired;
                for (const auto& [id, held] : leases_)
                    if (now_ms() - held.renewed_at > held.ttl_ms)
                        expired.push_back(id);
                for (const std::uint64_t id : expired)
                    end_lease(id);
            }
            changed_.notify_all();
        }
    }

    recorder& log_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, json> items_;
    std::vector<json> history_;
    std::uint64_t revision_ = 1;
    std::atomic<int> era_{1};
    std::atomic<bool> down_{false};
    std::atomic<bool> silent_{false};
    std::map<std::string, json> copied_items_;
    std::vector<json> copied_history_;
    std::uint64_t copied_revision_ = 1;
    std::uint64_t last_lease_ = 100;
    std::map<std::uint64_t, lease> leases_;
    std::vector<std::unique_ptr<daemon_view>> views_;
};

// A pollenhavend process, started with the command of the deploy file.
class daemon_process
{
public:
    daemon_process(std::string id, std::string zone, std::string directory, int store_port)
        : id_(std::move(id)), zone_(std::move(zone)), directory_(std::move(directory)),
          store_port_(store_port), callers_(free_port()), peers_(free_port()),
          metrics_(free_port())
    {
        std::ofstream file(settings_path());
        // deploy/settings.toml, with the bounds of the small site.
        file << "[daemon]\nid = \"" << id_ << "\"\nzone = \"" << zone_ << "\"\n\n"
             << "[listen]\ncallers = \"" << address(callers_) << "\"\nreadiness = \""
             << address(callers_) << "\"\ndirectory = \"" << address(callers_)
             << "\"\npeers = \"" << address(peers_) << "\"\nmetrics = \""
             << address(metrics_) << "\"\n\n"
             << "[store]\naddress = \"" << address(store_port_)
             << "\"\nwrites_per_s = 400\n\n"
             << "[orders]\norder_flight_ms = 3000\n\n"
             << "[retries]\nratio = 0.2\nslack = 56\nwindow_s = 10\n\n"
             << "[stop]\ngrace_ms = 8000\n";
    }
    ~daemon_process() { kill(); }

    static std::string address(int port) { return "127.0.0.1:" + std::to_string(port); }
    const std::string& id() const { return id_; }
    int port() const { return callers_; }
    std::string settings_path() const { return directory_ + "/" + id_ + ".toml"; }
    std::string log_path() const { return directory_ + "/" + id_ + ".log"; }
    pid_t pid() const { return pid_; }

    void start()
    {
        pid_ = fork();
        if (pid_ == 0)
        {
            // It ends with the test, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log =
                ::open(log_path().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            for (int fd = 3; fd < 1024; ++fd)
                ::close(fd);
            ::setenv("POLLENHAVEN_BOOT", settings_path().c_str(), 1);
            ::execl("target/main/pollenhavend", "target/main/pollenhavend",
                    "--settings-variable", "POLLENHAVEN_BOOT", nullptr);
            ::_exit(127);
        }
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
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    // The exit status if the process has ended.
    std::optional<int> ended()
    {
        int status = 0;
        if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_)
        {
            pid_ = -1;
            return status;
        }
        return std::nullopt;
    }
    bool is_ready() const
    {
        return call(callers_, "GET", "/v1/readyz", "Host: x\r\n", "", 500).status == 200;
    }
    bool wait_until_ready(double limit_ms) const
    {
        const double until = now_ms() + limit_ms;
        while (now_ms() < until)
        {
            if (is_ready())
                return true;
            sleep_ms(50);
        }
        return false;
    }

private:
    std::string id_;
    std::string zone_;
    std::string directory_;
    int store_port_;
    int callers_;
    int peers_;
    int metrics_;
    pid_t pid_ = -1;
};

inline std::string make_directory()
{
    const char* const base = std::getenv("TMPDIR");
    std::string name = std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr)
        std::exit(2);
    return name;
}

inline bool with_trouble()
{
    const char* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

inline json route(const std::string& name, const std::string& prefix, const std::string& kind,
                  const std::string& service, int timeout_ms, int target_ms, int attempts,
                  int priority, bool resumable = false)
{
    return {{"name", name},           {"host", "desk.example"},     {"pathPrefix", prefix},
            {"kind", kind},           {"service", service},         {"timeoutMs", timeout_ms},
            {"targetLatencyMs", target_ms}, {"maxAttempts", attempts}, {"priority", priority},
            {"resumable", resumable}};
}

} // namespace review
