// A daemon that is cut off from all workers passes its callers' requests on to its peers.
// One of these is partitioned from the store just as the configuration moves a route to
// another service. Counts the requests of the first daemon's callers that are run by the
// old service later than rollbackSlackMs after a worker saw the new one in force there.

#include "kit.hpp"

using namespace kit;

namespace
{

constexpr double rollback_slack_s = 0.25;
constexpr int daemons = 4;
constexpr int workers_per_service = 3;
constexpr int workers_count = 2 * workers_per_service;
constexpr int lanes = 8;
constexpr int rounds = 1;

json with_service(int version, const std::string& service)
{
    json result = configuration(version);
    result["routes"][1]["service"] = service;
    result["services"].push_back({{"name", "desk-2"}, {"maxConns", 110}});
    return result;
}

} // namespace

int main(int count, char** arguments)
try
{
    const std::string folder = count > 1 ? arguments[1] : ".";
    recorder record(folder + "/record.txt");
    temporary_folder files;
    store shared;
    shared.write("op/config", with_service(1, "desk"));
    std::jthread leases(
        [&](const std::stop_token& stop)
        {
            while (!stop.stop_requested())
            {
                sleep_ms(50);
                shared.expire();
            }
        });
    const std::vector<std::string> zones{"lautoka", "nadi", "ba"};
    std::vector<std::unique_ptr<worker>> workers;
    workers.reserve(workers_count);
    for (int number = 0; number < workers_count; ++number)
    {
        const bool is_new = number >= workers_per_service;
        workers.push_back(std::make_unique<worker>(
            shared, record, (is_new ? "n-" : "o-") + std::to_string(number),
            loopback(100),
            entry(is_new ? "desk-2" : "desk", zones[static_cast<std::size_t>(number % 3)],
                  6),
            false));
    }
    // The first daemon reaches the workers over links of its own.
    store_server platform(shared, loopback(50));
    store_server platform_of_first(shared, loopback(51));
    std::vector<std::unique_ptr<worker_link>> links;
    links.reserve(workers.size());
    for (const std::unique_ptr<worker>& each : workers)
    {
        links.push_back(std::make_unique<worker_link>(loopback(60), each->address()));
        platform_of_first.set_link(each->key(), links.back()->address());
    }
    std::vector<std::unique_ptr<worker_link>> store_links;
    store_links.reserve(daemons);
    std::vector<std::unique_ptr<daemon_process>> all;
    all.reserve(daemons);
    for (int number = 0; number < daemons; ++number)
    {
        const std::string& zone = zones[static_cast<std::size_t>(number % 3)];
        store_links.push_back(std::make_unique<worker_link>(
            loopback(70),
            number == 0 ? platform_of_first.address() : platform.address()));
        all.push_back(std::make_unique<daemon_process>(
            "frontend-" + zone + "-" + std::to_string(number / 3 + 1),
            loopback(1 + number), zone, store_links.back()->address(), files.path));
    }
    const auto is_up = [&]
    {
        return std::all_of(all.begin(), all.end(),
                           [](const auto& each) { return each->is_ready(); });
    };
    if (!wait_for(is_up, 15))
        throw cannot_run("the daemons weren't ready in 15 s");
    sleep_ms(4000);

    std::atomic<bool> ends{false};
    std::atomic<int> turn{0};
    std::atomic<int> served{0};
    std::mutex mutex;
    std::map<std::string, double> sent_at;
    std::vector<std::thread> callers;
    callers.reserve(lanes);
    for (int lane = 0; lane < lanes; ++lane)
        callers.emplace_back(
            [&]
            {
                httplib::Client client("http://" + all[0]->callers());
                client.set_keep_alive(true);
                client.set_read_timeout(5);
                while (!ends)
                {
                    const std::string id = "b" + std::to_string(++turn);
                    {
                        const std::lock_guard lock(mutex);
                        sent_at[id] = seconds_now();
                    }
                    const auto response =
                        client.Post("/book/1",
                                    {{"Host", "desk.example"},
                                     {"X-Pollenhaven-Request-Id", id},
                                     {"X-Pollenhaven-Deadline-Ms", "4000"}},
                                    "order " + id, "application/json");
                    served += response && response->status == 200 ? 1 : 0;
                    sleep_ms(20);
                }
            });
    sleep_ms(1500);
    if (is_troubled())
    {
        record.line("cut off from all workers: " + all[0]->name());
        for (const std::unique_ptr<worker_link>& each : links)
            each->set_cut(true);
    }
    sleep_ms(4000);
    int back = 0;
    double latest = 0;
    for (int round = 0; round < rounds; ++round)
    {
        const bool to_new = round % 2 == 0;
        if (is_troubled())
        {
            record.line("partitioned from the store: " + all[1]->name());
            store_links[1]->set_cut(true);
        }
        sleep_ms(50);
        shared.write("op/config", with_service(2 + round, to_new ? "desk-2" : "desk"));
        const double acknowledged = seconds_now();
        record.line("acknowledged: configuration " + std::to_string(2 + round) +
                    ", bookings are run by " + (to_new ? "desk-2" : "desk"));
        sleep_ms(2500);
        store_links[1]->set_cut(false);
        for (const std::unique_ptr<worker_link>& each : links)
            each->set_cut(false);
        record.line("all links are back");
        std::map<std::string, std::pair<double, bool>> arrivals;
        for (std::size_t number = 0; number < workers.size(); ++number)
            for (const auto& [at, id] : workers[number]->arrivals())
                if (at > acknowledged)
                    arrivals[id] = {at, number >= workers_per_service};
        double seen = acknowledged + 1000;
        for (const auto& [id, arrival] : arrivals)
            if (arrival.second == to_new)
                seen = std::min(seen, arrival.first);
        const std::lock_guard lock(mutex);
        for (const auto& [id, arrival] : arrivals)
        {
            const double after = sent_at[id] - seen;
            if (arrival.second == to_new || after <= rollback_slack_s)
                continue;
            ++back;
            latest = std::max(latest, after);
            std::ostringstream text;
            text << "booking " << id << " sent to " << all[0]->name() << ' ' << after
                 << " s after a worker had seen configuration " << 2 + round
                 << " was run by the old service";
            record.line(text.str());
        }
    }
    ends = true;
    for (std::thread& caller : callers)
        caller.join();
    std::ostringstream result;
    result << "bookings " << sent_at.size() << ", served " << served
           << "; run by the old service later than rollbackSlackMs: " << back
           << ", the latest after " << latest << " s";
    record.line(result.str());
    std::cout << result.str() << '\n';
    if (served == 0)
        throw cannot_run("no bookings were served");
    return back > 0 ? 1 : 0;
}
catch (const std::exception& error)
{
    std::cerr << "the case couldn't run: " << error.what() << '\n';
    return 2;
}
