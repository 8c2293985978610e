// Workers leave one after another, as in a planned change. Each time the two daemons of
// an availability zone that watch the store for the third one are partitioned from the
// store a moment later. Counts the bookings that reach a leaving worker from the third
// daemon, which is in touch all the while, later than drainMs after the store's
// acknowledgement.

#include "kit.hpp"

using namespace kit;

namespace
{

constexpr double drain_s = 2.0;
// How much longer than drainMs a leaving worker serves.
constexpr double longer_s = 1.0;
constexpr int workers_count = 10;
constexpr int daemons = 8;
constexpr int rounds = 7;
constexpr int lanes = 14;

} // namespace

int main(int count, char** arguments)
try
{
    const std::string folder = count > 1 ? arguments[1] : ".";
    recorder record(folder + "/record.txt");
    temporary_folder files;
    store shared;
    shared.write("op/config", configuration(1));
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
    std::vector<std::unique_ptr<worker_link>> fronts;
    fronts.reserve(workers_count);
    std::vector<std::unique_ptr<worker>> workers;
    workers.reserve(workers_count);
    for (int number = 0; number < workers_count; ++number)
    {
        workers.push_back(std::make_unique<worker>(
            shared, record, "d-" + std::to_string(number), loopback(100),
            entry("desk", zones[static_cast<std::size_t>(number % 3)], 6), false));
        workers.back()->work_ms = 60;
        fronts.push_back(
            std::make_unique<worker_link>(loopback(60), workers.back()->address()));
        workers.back()->front = fronts.back().get();
        // The heartbeats of the workers aren't sent at the same time.
        sleep_ms(110);
    }
    store_server platform(shared, loopback(50));
    for (std::size_t number = 0; number < workers.size(); ++number)
        platform.set_link(workers[number]->key(), fronts[number]->address());
    // The link of each daemon to the store.
    std::vector<std::unique_ptr<worker_link>> store_links;
    store_links.reserve(daemons);
    std::vector<std::unique_ptr<daemon_process>> all;
    all.reserve(daemons);
    std::mt19937 random{std::random_device{}()};
    for (int number = 0; number < daemons; ++number)
    {
        sleep_ms(static_cast<int>(random() % 37));
        const std::string& zone = zones[static_cast<std::size_t>(number % 3)];
        store_links.push_back(
            std::make_unique<worker_link>(loopback(70), platform.address()));
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

    // frontend-lautoka-1, -2 and -3.
    const std::vector<std::size_t> watchers{0, 3};
    const std::size_t follower = 6;
    std::atomic<bool> ends{false};
    std::atomic<int> turn{0};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> callers;
    callers.reserve(lanes);
    for (int lane = 0; lane < lanes; ++lane)
        callers.emplace_back(
            [&]
            {
                httplib::Client client("http://" + all[follower]->callers());
                client.set_keep_alive(true);
                client.set_read_timeout(5);
                while (!ends)
                {
                    const std::string id = "f" + std::to_string(++turn);
                    const auto response =
                        client.Post("/book/1",
                                    {{"Host", "desk.example"},
                                     {"X-Pollenhaven-Request-Id", id},
                                     {"X-Pollenhaven-Deadline-Ms", "4000"}},
                                    "order " + id, "application/json");
                    ++sent;
                    served += response && response->status == 200 ? 1 : 0;
                    lost += !response || response->status == 502 ? 1 : 0;
                    sleep_ms(30);
                }
            });
    sleep_ms(1500);
    int late = 0;
    double latest = 0;
    for (int round = 0; round < rounds; ++round)
    {
        // So that a round begins at any moment of the daemons' work.
        sleep_ms(static_cast<int>(random() % 1200));
        worker& leaving = *workers[static_cast<std::size_t>(round)];
        const double acknowledged = leaving.leave();
        record.line("the store has accepted that " + leaving.id() + " leaves");
        sleep_ms(300);
        if (is_troubled())
        {
            for (const std::size_t number : watchers)
                store_links[number]->set_cut(true);
            record.line("partitioned from the store: " + all[watchers[0]]->name() +
                        " and " + all[watchers[1]]->name());
        }
        while (seconds_now() < acknowledged + drain_s + longer_s)
            sleep_ms(10);
        leaving.exit();
        record.line(leaving.id() + " has ended");
        sleep_ms(2500);
        for (const std::size_t number : watchers)
            store_links[number]->set_cut(false);
        record.line("the store can be reached again");
        for (const auto& [at, id] : leaving.arrivals())
        {
            if (at <= acknowledged + drain_s)
                continue;
            ++late;
            latest = std::max(latest, at - acknowledged);
            std::ostringstream text;
            text << "booking " << id << " from " << all[follower]->name() << " reached "
                 << leaving.id() << ' ' << at - acknowledged
                 << " s after the acknowledgement";
            record.line(text.str());
        }
        if (late > 0)
            break;
        // Longer than stabilityMs.
        sleep_ms(4000);
    }
    ends = true;
    for (std::thread& caller : callers)
        caller.join();
    std::ostringstream result;
    result << "bookings " << sent << ", served " << served << ", lost " << lost
           << "; reached a leaving worker later than drainMs: " << late
           << ", the latest after " << latest << " s";
    record.line(result.str());
    std::cout << result.str() << '\n';
    if (served == 0)
        throw cannot_run("no bookings were served");
    return late > 0 ? 1 : 0;
}
catch (const std::exception& error)
{
    std::cerr << "the case couldn't run: " << error.what() << '\n';
    return 2;
}
