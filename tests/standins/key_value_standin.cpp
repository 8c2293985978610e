// A stand-in for the platform's key-value service in the shape of etcd's JSON gateway:
// compare-and-swap, leases and watches, with outages, delays and lost replies on demand.

#include "tests/standins/standin.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
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
using std::chrono::seconds;

struct entry
{
    std::string value;
    std::uint64_t modified = 0;
    std::uint64_t lease = 0;
};

struct lease
{
    seconds time_to_live{};
    clock::time_point expires;
};

struct faults
{
    // "up", "down" (answers 503) or "hang" (answers nothing for long).
    std::string state = "up";
    int delay_ms = 0;
    // Carries out this many further writes without answering them.
    int lose_replies = 0;
    // During an outage, whether leases run down.
    bool leases_run = true;
};

std::uint64_t number_in(const json& object, const char* name)
{
    if (!object.contains(name))
        return 0;
    const json& value = object[name];
    return value.is_string() ? std::stoull(value.get<std::string>())
                             : value.get<std::uint64_t>();
}

class key_value_standin
{
public:
    void install(httplib::Server& server)
    {
        install_call(server, "/v3/kv/range", false, &key_value_standin::range);
        install_call(server, "/v3/kv/txn", true, &key_value_standin::txn);
        install_call(server, "/v3/lease/grant", false, &key_value_standin::grant);
        install_call(server, "/v3/lease/keepalive", false,
                     &key_value_standin::keep_alive);
        server.Post("/v3/watch",
                    [this](const httplib::Request& request, httplib::Response& response)
                    { watch(request, response); });
        server.Post("/control",
                    [this](const httplib::Request& request, httplib::Response& response)
                    { control(json::parse(request.body), response); });
        server.Get("/counts",
                   [this](const httplib::Request&, httplib::Response& response)
                   {
                       const std::lock_guard lock(mutex_);
                       response.set_content(json(counts_).dump(), "application/json");
                   });
    }

    // Ends leases that ran out. Called by a thread of its own.
    void expire_forever()
    {
        for (;;)
        {
            std::this_thread::sleep_for(milliseconds(100));
            const std::lock_guard lock(mutex_);
            if (faults_.state != "up" && !faults_.leases_run)
                prolong_all();
            else
                expire();
        }
    }

private:
    using handler = json (key_value_standin::*)(const json&);

    void install_call(httplib::Server& server, const std::string& path, bool is_write,
                      handler handle)
    {
        server.Post(
            path, [=, this](const httplib::Request& request, httplib::Response& response)
            { answer(path, is_write, handle, request, response); });
    }

    void answer(const std::string& path, bool is_write, handler handle,
                const httplib::Request& request, httplib::Response& response)
    {
        const faults now = current_faults();
        if (now.delay_ms > 0)
            std::this_thread::sleep_for(milliseconds(now.delay_ms));
        if (!wait_if_down(now, response))
            return;
        std::lock_guard lock(mutex_);
        ++counts_[path];
        expire();
        const json result = (this->*handle)(json::parse(request.body));
        if (is_write && faults_.lose_replies > 0)
        {
            --faults_.lose_replies;
            ++counts_["lost_replies"];
            // A body shorter than promised makes the server close the connection.
            response.set_content_provider(64, "application/json",
                                          [](std::size_t, std::size_t, httplib::DataSink&)
                                          { return false; });
            return;
        }
        response.set_content(result.dump(), "application/json");
    }

    faults current_faults()
    {
        const std::lock_guard lock(mutex_);
        return faults_;
    }

    bool wait_if_down(const faults& now, httplib::Response& response)
    {
        if (now.state == "up")
            return true;
        if (now.state == "hang")
            std::this_thread::sleep_for(seconds(5));
        response.status = 503;
        return false;
    }

    json header() const { return {{"revision", std::to_string(revision_)}}; }

    json to_json(const std::string& key, const entry& stored) const
    {
        return {{"key", key},
                {"value", stored.value},
                {"mod_revision", std::to_string(stored.modified)}};
    }

    // Keys stay base64 as they arrive: the prefixes used here are compared decoded.
    static std::string decode(const std::string& text)
    {
        std::string plain;
        unsigned int bits = 0;
        int count = 0;
        static const std::string alphabet =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        for (const char letter : text)
        {
            const std::size_t value = alphabet.find(letter);
            if (value == std::string::npos)
                break;
            bits = (bits << 6U) | static_cast<unsigned int>(value);
            count += 6;
            if (count < 8)
                continue;
            count -= 8;
            plain +=
                static_cast<char>((bits >> static_cast<unsigned int>(count)) & 0xffU);
        }
        return plain;
    }

    json range(const json& request)
    {
        const std::string first = decode(request.value("key", ""));
        const std::string end = decode(request.value("range_end", ""));
        json found = json::array();
        for (const auto& [plain, stored] : entries_)
        {
            const bool inside =
                end.empty() ? plain == first : plain >= first && plain < end;
            if (inside)
                found.push_back(to_json(encoded_[plain], stored));
        }
        return {{"header", header()}, {"kvs", found}};
    }

    bool holds(const json& compare) const
    {
        const auto stored = entries_.find(decode(compare.value("key", "")));
        const std::uint64_t modified =
            stored == entries_.end() ? 0 : stored->second.modified;
        return modified == number_in(compare, "mod_revision");
    }

    json txn(const json& request)
    {
        bool succeeded = true;
        for (const json& compare : request.value("compare", json::array()))
            succeeded = succeeded && holds(compare);
        if (succeeded)
            ++revision_;
        json responses = json::array();
        const char* branch = succeeded ? "success" : "failure";
        for (const json& operation : request.value(branch, json::array()))
            responses.push_back(apply(operation));
        changed_.notify_all();
        return {{"header", header()}, {"succeeded", succeeded}, {"responses", responses}};
    }

    json apply(const json& operation)
    {
        if (operation.contains("request_range"))
            return {{"response_range", range(operation["request_range"])}};
        if (operation.contains("request_put"))
        {
            const json& put = operation["request_put"];
            const std::string key = decode(put.value("key", ""));
            encoded_[key] = put.value("key", "");
            entries_[key] = {put.value("value", ""), revision_, number_in(put, "lease")};
            return json::object();
        }
        entries_.erase(decode(operation["request_delete_range"].value("key", "")));
        return json::object();
    }

    json grant(const json& request)
    {
        const std::uint64_t id = ++last_lease_;
        const seconds time_to_live(number_in(request, "TTL"));
        leases_[id] = {time_to_live, clock::now() + time_to_live};
        return {{"header", header()}, {"ID", std::to_string(id)}};
    }

    json keep_alive(const json& request)
    {
        const auto held = leases_.find(number_in(request, "ID"));
        if (held == leases_.end())
            return {{"result", {{"header", header()}}}};
        held->second.expires = clock::now() + held->second.time_to_live;
        const std::string left = std::to_string(held->second.time_to_live.count());
        return {{"result", {{"header", header()}, {"TTL", left}}}};
    }

    void watch(const httplib::Request& request, httplib::Response& response)
    {
        if (!wait_if_down(current_faults(), response))
            return;
        const json create = json::parse(request.body)["create_request"];
        const std::string first = decode(create.value("key", ""));
        const std::string end = decode(create.value("range_end", ""));
        const std::uint64_t start = number_in(create, "start_revision");
        {
            const std::lock_guard lock(mutex_);
            ++counts_["/v3/watch"];
        }
        response.set_chunked_content_provider(
            "application/json", [=, this](std::size_t, httplib::DataSink& sink)
            { return wait_for_event(first, end, start, sink); });
    }

    bool wait_for_event(const std::string& first, const std::string& end,
                        std::uint64_t start, httplib::DataSink& sink)
    {
        std::unique_lock lock(mutex_);
        const auto newer = [&]
        {
            for (const auto& [key, stored] : entries_)
            {
                if (key >= first && key < end && stored.modified >= start)
                    return true;
            }
            return false;
        };
        const bool found = changed_.wait_for(lock, milliseconds(500), newer);
        lock.unlock();
        if (current_faults().state != "up")
            return false;
        const std::string line =
            found ? "{\"result\":{\"events\":[{}]}}\n" : "{\"result\":{}}\n";
        if (!sink.write(line.data(), line.size()))
            return false;
        if (found)
            sink.done();
        return true;
    }

    void expire()
    {
        const clock::time_point now = clock::now();
        for (auto held = leases_.begin(); held != leases_.end();)
        {
            if (held->second.expires > now)
            {
                ++held;
                continue;
            }
            const std::uint64_t id = held->first;
            held = leases_.erase(held);
            ++revision_;
            std::erase_if(entries_,
                          [&](const auto& stored) { return stored.second.lease == id; });
        }
    }

    void prolong_all()
    {
        for (auto& [id, held] : leases_)
            held.expires = clock::now() + held.time_to_live;
    }

    void control(const json& change, httplib::Response& response)
    {
        const std::lock_guard lock(mutex_);
        faults_.state = change.value("state", faults_.state);
        faults_.delay_ms = change.value("delay_ms", faults_.delay_ms);
        faults_.lose_replies = change.value("lose_replies", faults_.lose_replies);
        faults_.leases_run = change.value("leases_run", faults_.leases_run);
        response.set_content("{}", "application/json");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, entry> entries_;
    std::map<std::string, std::string> encoded_;
    std::map<std::uint64_t, lease> leases_;
    std::map<std::string, std::uint64_t> counts_;
    std::uint64_t revision_ = 1;
    std::uint64_t last_lease_ = 0;
    faults faults_;
};

} // namespace

int run_key_value(const options& given)
{
    key_value_standin standin;
    httplib::Server server;
    standin.install(server);
    std::thread([&standin] { standin.expire_forever(); }).detach();
    return serve(server, given);
}

} // namespace pollenhaven::standins
