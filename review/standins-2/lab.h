// A small lab for the scripts of review/6 to review/10: stand-ins for the platform's store,
// for workers and for clients, and the daemons as processes of their own. Each stand-in keeps
// to given/kit/more/system/PROTOCOL.md and SYSTEM.md. All addresses are loopback addresses.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace lab
{

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;

inline const clock_type::time_point started = clock_type::now();

inline long long now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - started)
        .count();
}

inline long long unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(long long time)
{
    if (time > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

// Exit codes of a script.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

inline bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// The processes that were started and the folder of their files.
inline std::set<pid_t> running_processes;
inline std::string own_folder;

// Ends all processes that were started, removes their folder and ends this one.
[[noreturn]] inline void finish(int code)
{
    for (const pid_t process : running_processes)
    {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    std::error_code error;
    if (!own_folder.empty() && std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(own_folder, error);
    std::fflush(nullptr);
    std::_Exit(code);
}

// Ends the script if it takes too long.
inline void limit_time(int seconds = 115)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGALRM, [](int) { std::_Exit(could_not_run); });
    ::alarm(static_cast<unsigned>(seconds));
}

// The record of what was sent, answered and run; one line for each, with the time in ms.
class record_file
{
public:
    explicit record_file(const std::string& path) : file_(std::fopen(path.c_str(), "w"))
    {
        if (file_ == nullptr)
            std::exit(could_not_run);
        std::setvbuf(file_, nullptr, _IOLBF, 0);
    }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[2048];
        va_list values;
        va_start(values, format);
        std::vsnprintf(text, sizeof text, format, values);
        va_end(values);
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%7lld %s\n", now_ms(), text);
    }

    // Writes to the record and to standard output.
    void say(const std::string& text)
    {
        line("%s", text.c_str());
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
};

// ---------------------------------------------------------------- HTTP over blocking sockets

struct message
{
    // The method and target of a request, or the status of a response.
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool has_chunks = false;

    std::string field(const std::string& name) const
    {
        for (const auto& [key, value] : fields)
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        return "";
    }
    std::string path() const { return target.substr(0, target.find('?')); }
    std::string query(const std::string& name) const
    {
        const std::size_t begin = target.find('?');
        if (begin == std::string::npos)
            return "";
        std::stringstream parts(target.substr(begin + 1));
        for (std::string part; std::getline(parts, part, '&');)
            if (part.compare(0, name.size() + 1, name + "=") == 0)
                return part.substr(name.size() + 1);
        return "";
    }
};

// One TCP connection; the destructor closes it.
class connection
{
public:
    explicit connection(int descriptor) : descriptor_(descriptor) {}
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    int descriptor() const { return descriptor_; }
    bool is_open() const { return descriptor_ >= 0; }

    void close()
    {
        if (descriptor_ >= 0)
            ::close(descriptor_);
        descriptor_ = -1;
    }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            const ssize_t count =
                ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Reads at least one byte more. Returns false at the end, an error or a time-out.
    bool fill(int timeout_ms, std::size_t most = 16384)
    {
        pollfd wait{descriptor_, POLLIN, 0};
        const int ready = ::poll(&wait, 1, timeout_ms);
        if (ready <= 0)
        {
            error = ready == 0 ? "time-out" : std::strerror(errno);
            return false;
        }
        std::string bytes(most, '\0');
        const ssize_t count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
        if (count <= 0)
        {
            error = count == 0 ? "closed" : std::strerror(errno);
            return false;
        }
        input.append(bytes, 0, static_cast<std::size_t>(count));
        return true;
    }

    // Reads the head of a request or of a response.
    bool read_head(message& read, int timeout_ms)
    {
        while (input.find("\r\n\r\n") == std::string::npos)
            if (!fill(timeout_ms))
                return false;
        const std::size_t end = input.find("\r\n\r\n");
        std::stringstream lines(input.substr(0, end));
        input.erase(0, end + 4);
        std::string line;
        std::getline(lines, line);
        std::stringstream first(line);
        std::string one;
        std::string two;
        first >> one >> two;
        if (one.compare(0, 5, "HTTP/") == 0)
            read.status = std::atoi(two.c_str());
        else
        {
            read.method = one;
            read.target = two;
        }
        while (std::getline(lines, line))
        {
            while (!line.empty() && line.back() == '\r')
                line.pop_back();
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            read.fields.emplace_back(line.substr(0, colon), line.substr(value));
        }
        read.has_chunks = read.field("Transfer-Encoding") == "chunked";
        return true;
    }

    bool read_exactly(std::string& to, std::size_t count, int timeout_ms)
    {
        while (input.size() < count)
            if (!fill(timeout_ms))
                return false;
        to.append(input, 0, count);
        input.erase(0, count);
        return true;
    }

    bool read_line(std::string& line, int timeout_ms)
    {
        while (input.find("\r\n") == std::string::npos)
            if (!fill(timeout_ms))
                return false;
        line = input.substr(0, input.find("\r\n"));
        input.erase(0, line.size() + 2);
        return true;
    }

    // Reads a whole body by its length or its chunks.
    bool read_body(message& read, int timeout_ms)
    {
        if (!read.has_chunks)
        {
            const std::string length = read.field("Content-Length");
            return length.empty() ||
                   read_exactly(read.body, std::strtoul(length.c_str(), nullptr, 10), timeout_ms);
        }
        while (true)
        {
            std::string line;
            if (!read_line(line, timeout_ms))
                return false;
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            std::string rest;
            if (size > 0 && !read_exactly(read.body, size, timeout_ms))
                return false;
            if (!read_line(rest, timeout_ms))
                return false;
            if (size == 0)
                return true;
        }
    }

    bool read_message(message& read, int timeout_ms)
    {
        return read_head(read, timeout_ms) && read_body(read, timeout_ms);
    }

    std::string input;
    // Why the last read failed.
    std::string error;

private:
    int descriptor_;
};

inline sockaddr_in socket_address(const std::string& address)
{
    sockaddr_in result{};
    const std::size_t colon = address.rfind(':');
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

inline int connect_to(const std::string& address, int receive_buffer = 0)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (receive_buffer > 0)
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const sockaddr_in target = socket_address(address);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

inline std::string head_line(const std::string& name, const std::string& value)
{
    return name + ": " + value + "\r\n";
}

inline std::string answer_text(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + fields +
           head_line("Content-Length", std::to_string(body.size())) + "\r\n" + body;
}

// Listens on an address and serves each connection in a thread of its own. `shut` refuses new
// connections and resets the open ones until `open`.
class listener
{
public:
    using handler = std::function<void(connection&)>;

    listener(const std::string& ip, handler serve) : serve_(std::move(serve))
    {
        address_ = ip + ":0";
        open();
    }

    const std::string& address() const { return address_; }

    void open()
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in own = socket_address(address_);
        if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0 ||
            ::listen(descriptor, 512) != 0)
        {
            std::printf("can't listen on %s: %s\n", address_.c_str(), std::strerror(errno));
            std::_Exit(could_not_run);
        }
        socklen_t size = sizeof own;
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&own), &size);
        address_ = address_.substr(0, address_.rfind(':') + 1) +
                   std::to_string(ntohs(own.sin_port));
        is_open_ = true;
        descriptor_ = descriptor;
        std::thread([this, descriptor] { accept_all(descriptor); }).detach();
    }

    void shut()
    {
        is_open_ = false;
        ::shutdown(descriptor_, SHUT_RDWR);
        ::close(descriptor_);
        const std::lock_guard lock(mutex_);
        for (const int open : open_)
        {
            const linger now{1, 0};
            setsockopt(open, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            ::shutdown(open, SHUT_RDWR);
        }
    }

private:
    void accept_all(int descriptor)
    {
        while (true)
        {
            const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
            {
                if (!is_open_ || errno == EBADF || errno == EINVAL)
                    return;
                continue;
            }
            const int on = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(mutex_);
                open_.insert(accepted);
            }
            std::thread(
                [this, accepted]
                {
                    connection served(accepted);
                    serve_(served);
                    const std::lock_guard lock(mutex_);
                    open_.erase(accepted);
                    served.close();
                })
                .detach();
        }
    }

    handler serve_;
    std::string address_;
    std::atomic<bool> is_open_{false};
    int descriptor_ = -1;
    std::mutex mutex_;
    std::set<int> open_;
};

// ------------------------------------------------------------------------ the platform's store

inline std::string to_base64(const std::string& text)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += 3)
    {
        unsigned value = 0;
        for (std::size_t byte = 0; byte < 3; ++byte)
            value = (value << 8U) |
                    (at + byte < text.size() ? static_cast<unsigned char>(text[at + byte]) : 0U);
        for (std::size_t digit = 0; digit < 4; ++digit)
            result += at + digit > text.size() ? '='
                                               : digits[(value >> (18U - 6U * digit)) & 63U];
    }
    return result;
}

inline std::string from_base64(const std::string& text)
{
    std::string result;
    unsigned value = 0;
    int bits = 0;
    for (const char digit : text)
    {
        const char* const digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        const char* const found = std::strchr(digits, digit);
        if (digit == '=' || found == nullptr)
            break;
        value = (value << 6U) | static_cast<unsigned>(found - digits);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            result += static_cast<char>((value >> static_cast<unsigned>(bits)) & 255U);
        }
    }
    return result;
}

// What the store does with a call.
struct treatment
{
    enum class kind
    {
        normal,
        // The call is done after `late_ms`, if its condition still holds, and never answered.
        lost,
        // The connection is reset.
        reset,
        busy
    };
    kind how = kind::normal;
    long long late_ms = 0;
};

class store
{
public:
    // Called with the number of the machine and each call; says what the store does with it.
    std::function<treatment(int, const message&)> treat = [](int, const message&)
    { return treatment{}; };
    // Called with each call once it was answered.
    std::function<void(int, const message&, int)> answered = [](int, const message&, int) {};
    // Replaces the addresses that a machine sees in the workers' entries.
    std::function<std::string(int, const std::string&)> address_for =
        [](int, const std::string& address) { return address; };

    store(const std::string& ip, int machines)
    {
        for (int machine = 0; machine < machines; ++machine)
            listeners_.push_back(std::make_unique<listener>(
                ip, [this, machine](connection& served) { serve(machine, served); }));
        std::thread([this] { expire_leases(); }).detach();
    }

    std::string address(int machine) const
    {
        return listeners_.at(static_cast<std::size_t>(machine))->address();
    }
    // Cuts the store off from a machine, with a reset, or connects it again.
    void cut(int machine) { listeners_.at(static_cast<std::size_t>(machine))->shut(); }
    void heal(int machine) { listeners_.at(static_cast<std::size_t>(machine))->open(); }

    void put(const std::string& key, const json& value)
    {
        const std::lock_guard lock(mutex_);
        put_item(key, to_base64(value.dump()), 0);
        ++writes_;
        changed_.notify_all();
    }

    void remove(const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        remove_item(key);
        changed_.notify_all();
    }

    json value(const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        const auto found = items_.find(key);
        return found == items_.end()
                   ? json()
                   : json::parse(from_base64(found->second["value"].get<std::string>()),
                                 nullptr, false);
    }

    std::vector<std::string> keys(const std::string& prefix)
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::string> found;
        for (const auto& [key, item] : items_)
            if (key.compare(0, prefix.size(), prefix) == 0)
                found.push_back(key);
        return found;
    }

    // Keeps a copy of what the store holds now.
    void save_copy()
    {
        const std::lock_guard lock(mutex_);
        copy_ = {items_, history_, revision_, leases_, last_lease_};
    }

    // The store comes back from the copy: what was written since is gone, leases too, its
    // revisions are given out again, and the era rises.
    void restore_copy()
    {
        const std::lock_guard lock(mutex_);
        items_ = copy_.items;
        history_ = copy_.history;
        revision_ = copy_.revision;
        leases_ = copy_.leases;
        last_lease_ = copy_.last_lease;
        for (auto& [id, lease] : leases_)
            lease.renewed_at = now_ms();
        ++era_;
        changed_.notify_all();
    }

    // All calls that wrote something, of the operator and the workers too.
    int writes() const { return writes_; }

private:
    struct lease_entry
    {
        long long time_to_live = 0;
        long long renewed_at = 0;
    };

    void serve(int machine, connection& served)
    {
        while (true)
        {
            message call;
            if (!served.read_message(call, 600'000))
                return;
            const treatment how = treat(machine, call);
            sleep_ms(4);
            if (how.how == treatment::kind::reset)
            {
                const linger now{1, 0};
                setsockopt(served.descriptor(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
                return;
            }
            if (how.how == treatment::kind::lost)
            {
                std::thread(
                    [this, machine, call, how]
                    {
                        sleep_ms(how.late_ms);
                        const auto [status, body] = execute(machine, call);
                        answered(machine, call, -status);
                    })
                    .detach();
                // Nothing further is returned on this connection.
                while (served.fill(600'000))
                    served.input.clear();
                return;
            }
            const auto [status, body] =
                how.how == treatment::kind::busy ? std::pair<int, json>{503, json::object()}
                                                 : execute(machine, call);
            answered(machine, call, status);
            if (!served.send(answer_text(status,
                                         head_line("Content-Type", "application/json") +
                                             head_line("Store-Era", std::to_string(era_.load())),
                                         body.dump())))
                return;
        }
    }

    std::pair<int, json> execute(int machine, const message& call)
    {
        const std::string path = call.path();
        if (path == "/v1/kv-range")
            return range(machine, decoded(call.query("pathPrefix")), decoded(call.query("after")));
        if (path == "/v1/kv-watch")
            return watch(machine, decoded(call.query("pathPrefix")),
                         std::stoull(call.query("after")), std::stoll(call.query("waitMs")));
        const std::lock_guard lock(mutex_);
        if (path == "/v1/kv-txn")
            return transact(json::parse(call.body));
        if (path == "/v1/kv-lease")
        {
            ++writes_;
            const long long time_to_live = json::parse(call.body)["ttlMs"].get<long long>();
            leases_[++last_lease_] = {time_to_live, now_ms()};
            return {200, {{"lease", last_lease_}, {"ttlMs", time_to_live}}};
        }
        const std::string name = path.substr(path.rfind('/') + 1);
        const std::uint64_t lease = std::strtoull(name.c_str(), nullptr, 10);
        const auto found = leases_.find(lease);
        if (found == leases_.end())
            return {404, json::object()};
        if (path.compare(0, 12, "/v1/kv-keep/") == 0)
            found->second.renewed_at = now_ms();
        else
            end_lease(lease);
        return {200, json::object()};
    }

    static std::string decoded(const std::string& text)
    {
        std::string result;
        for (std::size_t at = 0; at < text.size(); ++at)
            if (text[at] == '%' && at + 2 < text.size())
            {
                result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
                at += 2;
            }
            else
                result += text[at];
        return result;
    }

    // An item as a machine sees it.
    json view(int machine, const json& item) const
    {
        if (item["key"].get<std::string>().compare(0, 8, "servers/") != 0 ||
            !item.contains("value"))
            return item;
        json seen = item;
        json entry = json::parse(from_base64(item["value"].get<std::string>()));
        entry["addr"] = address_for(machine, entry["addr"].get<std::string>());
        seen["value"] = to_base64(entry.dump());
        return seen;
    }

    std::pair<int, json> range(int machine, const std::string& prefix, const std::string& after)
    {
        const std::lock_guard lock(mutex_);
        json items = json::array();
        bool more = false;
        for (const auto& [key, item] : items_)
        {
            if (key.compare(0, prefix.size(), prefix) != 0 || key <= after)
                continue;
            more = items.size() == 500;
            if (more)
                break;
            items.push_back(view(machine, item));
        }
        return {200, {{"items", items}, {"morePages", more}, {"currentRev", revision_}}};
    }

    std::pair<int, json> watch(int machine, const std::string& prefix, std::uint64_t after,
                               long long wait)
    {
        std::unique_lock lock(mutex_);
        const long long until = now_ms() + wait;
        while (true)
        {
            if (after > revision_)
                return {410, json::object()};
            json events = json::array();
            for (auto at = history_.upper_bound(after); at != history_.end(); ++at)
                if (at->second["key"].get<std::string>().compare(0, prefix.size(), prefix) == 0)
                    events.push_back(view(machine, at->second));
            if (!events.empty() || now_ms() >= until)
                return {200, {{"events", events}, {"currentRev", revision_}}};
            changed_.wait_for(lock, std::chrono::milliseconds(
                                        std::max<long long>(1, until - now_ms())));
        }
    }

    std::pair<int, json> transact(const json& change)
    {
        ++writes_;
        json rows = json::array();
        bool holds = true;
        for (const json& row : change.value("precondition", json::array()))
        {
            const auto found = items_.find(row["key"].get<std::string>());
            const std::uint64_t known =
                found == items_.end() ? 0 : found->second["revision"].get<std::uint64_t>();
            holds = holds && known == row["revision"].get<std::uint64_t>();
            if (found != items_.end())
                rows.push_back(found->second);
        }
        if (!holds)
            return {412, {{"items", rows}}};
        for (const json& row : change.value("puts", json::array()))
            if (row.value("lease", 0ULL) != 0 && !leases_.contains(row["lease"]))
                return {404, json::object()};
        for (const json& row : change.value("puts", json::array()))
            put_item(row["key"], row["value"], row.value("lease", 0ULL));
        for (const json& key : change.value("remove", json::array()))
            remove_item(key);
        changed_.notify_all();
        return {200, {{"revision", revision_}}};
    }

    void put_item(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        ++revision_;
        const auto found = items_.find(key);
        const json created =
            found == items_.end() ? json(revision_) : found->second["created"];
        const json item{{"key", key},
                        {"value", value},
                        {"revision", revision_},
                        {"created", created},
                        {"lease", lease}};
        items_[key] = item;
        history_[revision_] = item;
    }

    void remove_item(const std::string& key)
    {
        if (items_.erase(key) == 0)
            return;
        ++revision_;
        history_[revision_] = {{"key", key}, {"revision", revision_}, {"deleted", true}};
    }

    void end_lease(std::uint64_t lease)
    {
        leases_.erase(lease);
        std::vector<std::string> keys;
        for (const auto& [key, item] : items_)
            if (item["lease"].get<std::uint64_t>() == lease)
                keys.push_back(key);
        for (const std::string& key : keys)
            remove_item(key);
        changed_.notify_all();
    }

    void expire_leases()
    {
        while (true)
        {
            sleep_ms(20);
            const std::lock_guard lock(mutex_);
            std::vector<std::uint64_t> ended;
            for (const auto& [id, lease] : leases_)
                if (now_ms() - lease.renewed_at > lease.time_to_live)
                    ended.push_back(id);
            for (const std::uint64_t id : ended)
                end_lease(id);
        }
    }

    struct content
    {
        std::map<std::string, json> items;
        std::map<std::uint64_t, json> history;
        std::uint64_t revision = 1;
        std::map<std::uint64_t, lease_entry> leases;
        std::uint64_t last_lease = 100;
    };

    std::vector<std::unique_ptr<listener>> listeners_;
    std::mutex mutex_;
    std::condition_variable changed_;
    content copy_;
    std::atomic<int> era_{1};
    std::map<std::string, json> items_;
    std::map<std::uint64_t, json> history_;
    std::uint64_t revision_ = 1;
    std::map<std::uint64_t, lease_entry> leases_;
    std::uint64_t last_lease_ = 100;
    std::atomic<int> writes_{0};
};

// ------------------------------------------------------------------------------- the workers

// A run of a request, or an order, at a worker.
struct arrival
{
    long long at = 0;
    std::string worker;
    int machine = 0;
    std::string what;
    // An order's holder, fencing token and answer; a request's id and answer.
    std::string holder;
    long long token = 0;
    std::string id;
    int status = 0;
};

// A worker with one address for each machine, behind which the path to that machine can be cut.
class worker
{
public:
    worker(const std::string& ip, int machines, std::string id, std::string service,
           store& platform)
        : id_(std::move(id)), service_(std::move(service)), platform_(platform)
    {
        for (int machine = 0; machine < machines; ++machine)
            listeners_.push_back(std::make_unique<listener>(
                ip, [this, machine](connection& served) { serve(machine, served); }));
        born_ = unix_ms();
    }
    virtual ~worker() = default;

    const std::string& id() const { return id_; }
    std::string address(int machine) const
    {
        return listeners_.at(static_cast<std::size_t>(machine))->address();
    }
    void cut(int machine) { listeners_.at(static_cast<std::size_t>(machine))->shut(); }
    void heal(int machine) { listeners_.at(static_cast<std::size_t>(machine))->open(); }

    // Writes the entry now and every 1.2 s.
    void register_in_store()
    {
        std::thread(
            [this]
            {
                while (true)
                {
                    write_entry();
                    sleep_ms(1200);
                }
            })
            .detach();
    }

    virtual json entry()
    {
        return {{"service", service_},     {"addr", address(0)},
                {"zone", zone},            {"version", software},
                {"slots", slots},          {"state", "ready"},
                {"coldRemainingMs", 0},    {"seq", 0},
                {"born", born_}};
    }

    std::vector<arrival> arrivals()
    {
        const std::lock_guard lock(mutex_);
        return arrivals_;
    }

    std::string zone = "a";
    // The version of the worker's software.
    std::string software = "v1";
    int slots = 6;
    // Called with each arrival.
    std::function<void(const arrival&)> noted = [](const arrival&) {};

protected:
    // Answers one request. Returns false if the connection ends.
    virtual bool answer(int machine, connection& served, const message& request) = 0;

    void note(const arrival& entry)
    {
        {
            const std::lock_guard lock(mutex_);
            arrivals_.push_back(entry);
        }
        noted(entry);
    }

    std::string signature_of(const message& request) const
    {
        return "s-" + id_ + "-" + request.field("X-Pollenhaven-Request-Id");
    }

    std::string fields_for(const message& request) const
    {
        return head_line("X-Pollenhaven-Request-Id", request.field("X-Pollenhaven-Request-Id")) +
               head_line("X-Pollenhaven-Server-Signature", signature_of(request)) +
               head_line("X-Pollenhaven-Instance-Id", id_) + head_line("Keep-Alive", "timeout=5");
    }

    // Rejects a request for another worker. Returns true if it did.
    bool rejects(connection& served, const message& request)
    {
        const std::string expected = request.field("X-Pollenhaven-Expected-Instance");
        if (expected.empty() || expected == id_)
            return false;
        served.send(answer_text(
            421,
            head_line("X-Pollenhaven-Request-Id", request.field("X-Pollenhaven-Request-Id")) +
                head_line("X-Pollenhaven-Not-Executed", "1") +
                head_line("X-Pollenhaven-Instance-Id", id_),
            ""));
        return true;
    }

    void write_entry() { platform_.put("servers/" + id_, entry()); }

    std::string id_;
    std::string service_;
    store& platform_;
    long long born_ = 0;
    std::mutex mutex_;
    std::vector<arrival> arrivals_;

private:
    void serve(int machine, connection& served)
    {
        while (true)
        {
            message request;
            if (!served.read_message(request, 5000))
                return;
            if (rejects(served, request))
                continue;
            if (!answer(machine, served, request))
                return;
        }
    }

    std::vector<std::unique_ptr<listener>> listeners_;
};

// A plain service: works for a while on each request and answers with a body.
class plain_worker : public worker
{
public:
    using worker::worker;
    long long work_ms = 30;

protected:
    bool answer(int machine, connection& served, const message& request) override
    {
        const std::string id = request.field("X-Pollenhaven-Request-Id");
        note({now_ms(), id_, machine, request.method + " " + request.target, "", 0, id, 200});
        sleep_ms(work_ms);
        return served.send(answer_text(200,
                                       fields_for(request) +
                                           head_line("Content-Type", "application/json"),
                                       "{\"worker\":\"" + id_ + "\",\"id\":\"" + id + "\"}"));
    }
};

// A model worker: loads and unloads adapters by orders and streams events.
class engine : public worker
{
public:
    using worker::worker;
    std::string model = "m0";
    int adapter_slots = 30;
    long long load_ms = 250;
    int events = 20;
    int event_bytes = 330;
    long long event_interval_ms = 5;
    // Time until an answer begins.
    long long first_ms = 0;
    // An empty worker has to be ordered to load its model.
    bool has_model = true;
    long long model_load_ms = 600;

    json entry() override
    {
        json written = worker::entry();
        const std::lock_guard lock(state_mutex_);
        written["stage"] = "colocated";
        written["models"] = models();
        written["seq"] = sequence_;
        return written;
    }

    int overflows() const { return overflows_; }

protected:
    bool answer(int machine, connection& served, const message& request) override
    {
        if (request.path() == "/v1/order")
            return answer_order(machine, served, json::parse(request.body));
        if (request.path() == "/v1/report")
        {
            const std::lock_guard lock(state_mutex_);
            json body{{"stage", "colocated"}, {"models", models()},  {"busy", model_ready_at_ > now_ms()},
                      {"seq", sequence_},     {"waiting", 0},        {"running", running_.load()},
                      {"kvUsed", 0},          {"kvTotal", 153672},   {"handles", 0},
                      {"pending", pending()}};
            return served.send(
                answer_text(200, head_line("Content-Type", "application/json"), body.dump()));
        }
        return answer_request(machine, served, request);
    }

private:
    struct slot
    {
        int version = 1;
        long long ready_at = 0;
        int users = 0;
        bool unloading = false;
    };

    json models()
    {
        if (!has_model || model_ready_at_ > now_ms())
            return json::array();
        json adapters = json::array();
        for (const auto& [name, held] : slots_)
            if (held.ready_at <= now_ms() && !held.unloading)
                adapters.push_back(name + "@" + std::to_string(held.version));
        return {{{"name", model}, {"version", 1}, {"adapters", adapters}}};
    }

    json pending()
    {
        json loading = json::array();
        for (const auto& [name, held] : slots_)
            if (held.ready_at > now_ms())
                loading.push_back(model + "/" + name + "@" + std::to_string(held.version));
        return loading;
    }

    bool answer_order(int machine, connection& served, const json& order)
    {
        int status = 202;
        const std::string adapter = order.value("adapter", "");
        {
            const std::lock_guard lock(state_mutex_);
            if (order.contains("precondition") && order["precondition"] != sequence_)
                status = 409;
            else if (order["op"] == "unload")
                status = unload(adapter);
            else if (adapter.empty())
                status = load_model();
            else if (!has_model || model_ready_at_ > now_ms())
                status = 409;
            else
                status = load(adapter, order.value("version", 1));
        }
        note({now_ms(), id_, machine, order["op"].get<std::string>() + " " + adapter,
              order.value("holder", ""), order.value("fencingToken", 0LL), "", status});
        return served.send(answer_text(status, "", ""));
    }

    int load_model()
    {
        if (has_model)
            return model_ready_at_ > now_ms() ? 409 : 200;
        has_model = true;
        model_ready_at_ = now_ms() + model_load_ms;
        ++sequence_;
        return 202;
    }

    int load(const std::string& adapter, int version)
    {
        const auto found = slots_.find(adapter);
        if (found != slots_.end() && found->second.version == version &&
            !found->second.unloading)
            return 200;
        int loading = 0;
        for (const auto& [name, held] : slots_)
            loading += held.ready_at > now_ms() ? 1 : 0;
        if (loading >= 4)
            return 409;
        if (found == slots_.end() && static_cast<int>(slots_.size()) >= adapter_slots)
            ++overflows_;
        ++sequence_;
        slots_[adapter] = {version, now_ms() + load_ms, 0, false};
        return 202;
    }

    int unload(const std::string& adapter)
    {
        const auto found = slots_.find(adapter);
        if (found == slots_.end())
            return 200;
        ++sequence_;
        if (found->second.users == 0)
        {
            slots_.erase(found);
            return 200;
        }
        found->second.unloading = true;
        return 202;
    }

    bool begin(const std::string& adapter)
    {
        const std::lock_guard lock(state_mutex_);
        if (!has_model || model_ready_at_ > now_ms())
            return false;
        if (adapter.empty())
            return true;
        const auto found = slots_.find(adapter);
        if (found == slots_.end() || found->second.ready_at > now_ms() ||
            found->second.unloading)
            return false;
        ++found->second.users;
        return true;
    }

    void end(const std::string& adapter)
    {
        const std::lock_guard lock(state_mutex_);
        const auto found = slots_.find(adapter);
        if (found == slots_.end())
            return;
        --found->second.users;
        if (found->second.unloading && found->second.users == 0)
            slots_.erase(found);
    }

    bool answer_request(int machine, connection& served, const message& request)
    {
        const std::string id = request.field("X-Pollenhaven-Request-Id");
        const std::string named = request.field("X-Pollenhaven-Model");
        const std::size_t slash = named.find('/');
        const std::string adapter = slash == std::string::npos ? "" : named.substr(slash + 1);
        if (!begin(adapter))
            return served.send(answer_text(421,
                                           head_line("X-Pollenhaven-Request-Id", id) +
                                               head_line("X-Pollenhaven-Not-Executed", "1") +
                                               head_line("X-Pollenhaven-Instance-Id", id_),
                                           ""));
        note({now_ms(), id_, machine, request.method + " " + request.target, "", 0, id, 200});
        ++running_;
        sleep_ms(first_ms);
        bool sent = served.send("HTTP/1.1 200 OK\r\n" + fields_for(request) +
                                head_line("Content-Type", "text/event-stream") +
                                head_line("X-Pollenhaven-Weight-Versions", "1") +
                                head_line("Transfer-Encoding", "chunked") + "\r\n");
        const int last = std::atoi(request.field("Last-Event-Id").c_str());
        for (int number = last + 1; number <= events && sent; ++number)
        {
            sleep_ms(event_interval_ms);
            std::string event = "id: " + std::to_string(number) + "\ndata: " + software + " ";
            event += std::string(static_cast<std::size_t>(event_bytes), 'x') + "\n\n";
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            sent = served.send(size + event + "\r\n");
        }
        sent = sent && served.send("0\r\n\r\n");
        --running_;
        end(adapter);
        return sent;
    }

    std::mutex state_mutex_;
    std::map<std::string, slot> slots_;
    long long model_ready_at_ = 0;
    long long sequence_ = 0;
    std::atomic<int> running_{0};
    std::atomic<int> overflows_{0};
};

// ------------------------------------------------------------------------------- the daemons

inline std::string temporary_folder()
{
    std::string name = std::filesystem::temp_directory_path() / "pollenhaven-review-XXXXXX";
    if (mkdtemp(name.data()) == nullptr)
        std::exit(could_not_run);
    own_folder = name;
    return name;
}

inline std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// A network 127.x.y.0 of this run, whose first addresses are free.
inline std::string own_network()
{
    std::mt19937 random(std::random_device{}());
    for (int attempt = 0; attempt < 100; ++attempt)
    {
        const std::string network = "127." + std::to_string(20 + random() % 200) + "." +
                                    std::to_string(1 + random() % 250) + ".";
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in own = socket_address(network + "11:8149");
        const bool is_free =
            ::bind(descriptor, reinterpret_cast<const sockaddr*>(&own), sizeof own) == 0;
        ::close(descriptor);
        if (is_free)
            return network;
    }
    std::exit(could_not_run);
}

struct bounds
{
    int lease_ms = 3000;
    double retry_ratio = 0.2;
    int retry_slack = 56;
    int budget_window_s = 10;
    int grace_s = 8;
};

// A daemon as a process of its own, started with the command of the deploy file and with
// settings that are filled in as the deploy file's template says.
class daemon_process
{
public:
    daemon_process(std::string folder, std::string node, std::string zone, std::string ip,
                   std::string store_address, const bounds& figures = {})
        : folder_(std::move(folder)), node_(std::move(node)), zone_(std::move(zone)),
          ip_(std::move(ip))
    {
        std::string text = read_file("deploy/settings.toml");
        const std::size_t section = text.find("{{#bounds.quotaSlack}}");
        const std::string section_end = "{{/bounds.quotaSlack}}";
        if (section != std::string::npos)
            text.erase(section, text.find(section_end) + section_end.size() - section);
        const std::map<std::string, std::string> values{
            {"node", node_},
            {"zone", zone_},
            {"limits.memoryMb", "260"},
            {"limits.cpuShare", "0.25"},
            {"listen.frontend", callers()},
            {"listen.readiness", ip_ + ":8141"},
            {"listen.directory", directory()},
            {"ip", ip_},
            {"internalPorts.0", "7380"},
            {"platform.addr", store_address},
            {"platform.writesPerS", "400"},
            {"bounds.leaseMs", std::to_string(figures.lease_ms)},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.retryBudgetSlack", std::to_string(figures.retry_slack)},
            {"bounds.budgetWindowS", std::to_string(figures.budget_window_s)},
            {"bounds.graceS", std::to_string(figures.grace_s)}};
        for (const auto& [name, value] : values)
            for (std::size_t at; (at = text.find("{{" + name + "}}")) != std::string::npos;)
                text.replace(at, name.size() + 4, value);
        settings_ = folder_ + "/" + node_ + ".toml";
        std::ofstream(settings_) << text;
    }
    ~daemon_process() { kill(); }
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    const std::string& node() const { return node_; }
    std::string callers() const { return ip_ + ":8149"; }
    std::string readiness() const { return ip_ + ":8141"; }
    std::string directory() const { return ip_ + ":8143"; }
    std::string log_path() const { return folder_ + "/" + node_ + ".log"; }

    void start()
    {
        std::vector<std::string> words = command();
        pid_ = ::fork();
        if (pid_ > 0)
            running_processes.insert(pid_);
        if (pid_ == 0)
        {
            // Ends with the script, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setpgid(0, 0);
            const int log = ::open(log_path().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            std::vector<char*> arguments;
            for (std::string& word : words)
                arguments.push_back(word.data());
            arguments.push_back(nullptr);
            const std::string variable = "POLLENHAVEN_BOOT=" + settings_;
            const char* const own_path = std::getenv("PATH");
            std::string path = std::string("PATH=") + (own_path == nullptr ? "" : own_path);
            std::string setting = variable;
            char* environment[] = {path.data(), setting.data(), nullptr};
            ::execve(arguments[0], arguments.data(), environment);
            std::_Exit(127);
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
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        running_processes.erase(pid_);
        pid_ = -1;
    }

    // Waits for the process to end. Returns false if it still runs after the time.
    bool wait(long long time)
    {
        const long long until = now_ms() + time;
        while (pid_ > 0 && now_ms() < until)
        {
            if (::waitpid(pid_, &wait_status, WNOHANG) == pid_)
                pid_ = -1;
            else
                sleep_ms(10);
        }
        return pid_ <= 0;
    }

    bool is_running()
    {
        return pid_ > 0 && ::waitpid(pid_, &wait_status, WNOHANG) == 0;
    }

    bool is_ready() const
    {
        connection asked(connect_to(readiness()));
        message answer;
        return asked.is_open() &&
               asked.send("GET /v1/readyz HTTP/1.1\r\nHost: readiness\r\n\r\n") &&
               asked.read_message(answer, 1000) && answer.status == 200;
    }

    bool wait_until_ready(long long time) const
    {
        const long long until = now_ms() + time;
        while (now_ms() < until)
        {
            if (is_ready())
                return true;
            sleep_ms(50);
        }
        return false;
    }

    int wait_status = 0;

private:
    // The words of the deploy file's `run`.
    static std::vector<std::string> command()
    {
        std::stringstream lines(read_file("deploy/system.toml"));
        for (std::string line; std::getline(lines, line);)
        {
            if (line.compare(0, 5, "run =") != 0)
                continue;
            const std::size_t begin = line.find('"') + 1;
            std::stringstream words(line.substr(begin, line.rfind('"') - begin));
            std::vector<std::string> result;
            for (std::string word; words >> word;)
                result.push_back(word);
            return result;
        }
        std::exit(could_not_run);
    }

    std::string folder_;
    std::string node_;
    std::string zone_;
    std::string ip_;
    std::string settings_;
    pid_t pid_ = -1;
};

// ------------------------------------------------------------------------------- the clients

inline std::string new_id()
{
    static std::atomic<unsigned> number{0};
    static const unsigned run = std::random_device{}();
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", run, ++number);
    return text;
}

inline std::string request_text(const std::string& method, const std::string& host,
                                const std::string& target, const std::string& id,
                                long long deadline_ms, const std::string& fields = "",
                                const std::string& body = "")
{
    std::string text = method + " " + target + " HTTP/1.1\r\n" + head_line("Host", host) +
                       head_line("X-Pollenhaven-Request-Id", id) +
                       head_line("X-Pollenhaven-Deadline-Ms", std::to_string(deadline_ms)) +
                       fields;
    if (method != "GET")
        text += head_line("Content-Length", std::to_string(body.size()));
    return text + "\r\n" + body;
}

// Sends one request on a new connection and reads the answer whole. The status is 0 if the
// connection ended without a complete answer.
inline message ask(const std::string& address, const std::string& request, int timeout_ms)
{
    connection used(connect_to(address));
    message answer;
    if (!used.is_open() || !used.send(request) || !used.read_message(answer, timeout_ms))
        answer.status = 0;
    return answer;
}

} // namespace lab
