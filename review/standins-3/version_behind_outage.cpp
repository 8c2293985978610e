// The store falls silent. Meanwhile a worker ends and starts again under its id with the
// next version of its software, and somewhat later another worker ends. Counts the
// streams that hold events of both versions.

#include "kit.hpp"

using namespace kit;

namespace
{

constexpr int engines = 4;
constexpr int daemons = 3;
constexpr int streams_per_daemon = 24;
constexpr int streams_count = daemons * streams_per_daemon;
constexpr int adapters = 3000;
constexpr int allowed = 2;

struct stream
{
    std::string id;
    std::string text;
};

// Returns the software versions that wrote the events of an answer.
std::set<std::string> versions_in(const std::string& text)
{
    std::set<std::string> found;
    for (std::size_t at = text.find("data: "); at != std::string::npos;
         at = text.find("data: ", at + 1))
        found.insert(text.substr(at + 6, 2));
    return found;
}

} // namespace

int main(int count, char** arguments)
try
{
    const std::string folder = count > 1 ? arguments[1] : ".";
    recorder record(folder + "/record.txt");
    temporary_folder files;
    store shared;
    json first = configuration(1);
    first["routes"][0]["resumable"] = true;
    first["routes"][0]["maxAttempts"] = 2;
    first["routes"][0]["targetLatencyMs"] = 1000;
    shared.write("op/config", first);
    std::atomic<bool> is_silent{false};
    std::jthread leases(
        [&](const std::stop_token& stop)
        {
            // While the store is down, leases pause.
            while (!stop.stop_requested())
            {
                sleep_ms(50);
                if (!is_silent)
                    shared.expire();
            }
        });
    const std::vector<std::string> zones{"lautoka", "nadi", "ba"};
    std::vector<std::unique_ptr<worker_link>> fronts;
    fronts.reserve(engines);
    std::vector<std::unique_ptr<worker>> workers;
    workers.reserve(engines);
    for (int number = 0; number < engines; ++number)
    {
        workers.push_back(std::make_unique<worker>(
            shared, record, "i-" + std::to_string(number), loopback(100),
            entry("assist", zones[static_cast<std::size_t>(number % 3)], 64), true));
        workers.back()->events = 58;
        workers.back()->event_ms = 120;
        workers.back()->is_registry_up = [&is_silent] { return !is_silent; };
        fronts.push_back(
            std::make_unique<worker_link>(loopback(60), workers.back()->address()));
        workers.back()->front = fronts.back().get();
        workers.back()->restart_ms = 2000;
    }
    store_server platform(shared, loopback(50));
    for (std::size_t number = 0; number < workers.size(); ++number)
        platform.set_link(workers[number]->key(), fronts[number]->address());
    std::vector<std::unique_ptr<daemon_process>> all;
    all.reserve(daemons);
    for (int number = 0; number < daemons; ++number)
        all.push_back(std::make_unique<daemon_process>(
            "frontend-" + zones[static_cast<std::size_t>(number)] + "-1",
            loopback(1 + number), zones[static_cast<std::size_t>(number)],
            platform.address(), files.path));
    const auto is_up = [&]
    {
        const std::map<std::string, json> held = shared.values("pollenhaven/orders/");
        return held.size() == workers.size() &&
               std::all_of(all.begin(), all.end(),
                           [](const auto& each) { return each->is_ready(); });
    };
    if (!wait_for(is_up, 15))
        throw cannot_run("the daemons weren't ready in 15 s");
    sleep_ms(4000);

    std::atomic<bool> ends{false};
    std::atomic<int> turn{0};
    std::vector<std::thread> callers;
    callers.reserve(daemons);
    const auto fields = [&](const std::string& id, const std::string& model)
    {
        return httplib::Headers{{"Host", "desk.example"},
                                {"X-Pollenhaven-Request-Id", id},
                                {"X-Pollenhaven-Model", model},
                                {"X-Pollenhaven-Token-Count", "100,290"},
                                {"X-Pollenhaven-Prefix-Hash", id.substr(1) + ":100"},
                                {"X-Pollenhaven-Deadline-Ms", "15000"}};
    };
    // Chats on adapters, so that the workers get orders.
    for (const std::unique_ptr<daemon_process>& each : all)
        callers.emplace_back(
            [&, address = each->callers()]
            {
                httplib::Client client("http://" + address);
                client.set_read_timeout(15);
                std::mt19937 random(static_cast<unsigned>(address.back()));
                while (!ends)
                {
                    const std::string id = "a" + std::to_string(++turn);
                    client.Post(
                        "/chat/1",
                        fields(id, "m0/a" + std::to_string(random() % adapters + 1)),
                        "body of " + id, "application/json");
                }
            });
    std::mutex mutex;
    std::vector<stream> done;
    std::vector<std::thread> listeners;
    listeners.reserve(streams_count);
    const auto begin_streams = [&](int each_time)
    {
        for (const std::unique_ptr<daemon_process>& each : all)
            for (int number = 0; number < each_time; ++number)
                listeners.emplace_back(
                    [&, address = each->callers()]
                    {
                        const std::string id = "b" + std::to_string(++turn);
                        httplib::Client client("http://" + address);
                        client.set_read_timeout(15);
                        const auto response =
                            client.Post("/chat/1", fields(id, "m0"), "body of " + id,
                                        "application/json");
                        const std::lock_guard lock(mutex);
                        done.push_back({id, response ? response->body : ""});
                    });
    };
    sleep_ms(1500);
    if (is_troubled())
    {
        is_silent = true;
        platform.is_silent = true;
        record.line("the store is silent");
    }
    sleep_ms(300);
    std::vector<std::thread> replaced;
    for (const std::size_t number : {3, 2})
    {
        workers[number]->start_next_as("v2");
        record.line(workers[number]->id() + " ends, for the next version");
        replaced.emplace_back([&, number] { workers[number]->crash(); });
        sleep_ms(1000);
    }
    for (std::thread& each : replaced)
        each.join();
    sleep_ms(2700);
    record.line("streams begin");
    begin_streams(streams_per_daemon);
    sleep_ms(900);
    record.line("i-0 ends");
    workers[0]->crash();
    sleep_ms(1400);
    is_silent = false;
    platform.is_silent = false;
    record.line("the store answers again");
    for (std::thread& listener : listeners)
        listener.join();
    ends = true;
    for (std::thread& caller : callers)
        caller.join();

    int joined = 0;
    int whole = 0;
    for (const stream& each : done)
    {
        const std::set<std::string> versions = versions_in(each.text);
        const bool is_whole = each.text.find("id: 58\n") != std::string::npos;
        whole += is_whole ? 1 : 0;
        joined += versions.size() > 1 ? 1 : 0;
        std::string names;
        for (const std::string& version : versions)
            names.append(" ").append(version);
        record.line("stream " + each.id + (is_whole ? " whole" : " not whole") +
                    ", events of" + names);
    }
    std::ostringstream result;
    result << "streams " << done.size() << ", whole " << whole
           << ", with events of two software versions " << joined << " (allowed "
           << allowed << ")";
    record.line(result.str());
    std::cout << result.str() << '\n';
    if (whole == 0)
        throw cannot_run("no stream was whole");
    return joined > allowed ? 1 : 0;
}
catch (const std::exception& error)
{
    std::cerr << "the case couldn't run: " << error.what() << '\n';
    return 2;
}
