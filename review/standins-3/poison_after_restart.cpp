// A request crashes each worker that begins to run it, and its caller sends it again and
// again. Once it is blocked, the daemons are stopped and started in turn, as for a
// release. Counts how often it reaches workers later than stabilityMs after its third
// crash, from daemons in touch.

#include "kit.hpp"

using namespace kit;

namespace
{

constexpr double stability_s = 3.0;
constexpr int workers_count = 6;
constexpr int daemons = 5;
constexpr std::size_t lanes = 8;
constexpr int max_later_arrivals = 3;

struct arrival
{
    double at = 0;
    std::string id;
};

struct answer
{
    int status = 0;
    double sent_at = 0;
};

answer send(const std::string& address, const std::string& id, const std::string& path,
            const std::string& body)
{
    httplib::Client client("http://" + address);
    client.set_read_timeout(5);
    answer result;
    result.sent_at = seconds_now();
    const auto response = client.Post(path,
                                      {{"Host", "desk.example"},
                                       {"X-Pollenhaven-Request-Id", id},
                                       {"X-Pollenhaven-Deadline-Ms", "4000"}},
                                      body, "application/json");
    result.status = response ? response->status : 0;
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
    std::mutex mutex;
    std::vector<arrival> arrivals;
    std::vector<std::unique_ptr<worker_link>> fronts;
    fronts.reserve(workers_count);
    std::vector<std::unique_ptr<worker>> workers;
    workers.reserve(workers_count);
    for (int number = 0; number < workers_count; ++number)
    {
        const std::string id = "d-" + std::to_string(number);
        workers.push_back(std::make_unique<worker>(
            shared, record, id, loopback(100),
            entry("desk", zones[static_cast<std::size_t>(number % 3)], 6), false));
        fronts.push_back(
            std::make_unique<worker_link>(loopback(60), workers.back()->address()));
        workers.back()->front = fronts.back().get();
        workers.back()->work_ms = 60;
        workers.back()->crashes_at = [&, id](const httplib::Request& request)
        {
            if (request.body != "poison")
                return false;
            const std::lock_guard lock(mutex);
            const std::string request_id =
                request.get_header_value("X-Pollenhaven-Request-Id");
            arrivals.push_back({seconds_now(), request_id});
            std::string text = "worker ";
            text.append(id).append(" begins to run ").append(request_id);
            record.line(text.append(" and crashes"));
            return true;
        };
    }
    store_server platform(shared, loopback(50));
    for (std::size_t number = 0; number < workers.size(); ++number)
        platform.set_link(workers[number]->key(), fronts[number]->address());
    std::vector<std::unique_ptr<daemon_process>> all;
    all.reserve(daemons);
    for (int number = 0; number < daemons; ++number)
    {
        const std::string& zone = zones[static_cast<std::size_t>(number % 3)];
        all.push_back(std::make_unique<daemon_process>(
            "frontend-" + zone + "-" + std::to_string(number / 3 + 1),
            loopback(1 + number), zone, platform.address(), files.path));
    }
    const auto is_up = [&]
    {
        return std::all_of(all.begin(), all.end(),
                           [](const auto& each) { return each->is_ready(); });
    };
    if (!wait_for(is_up, 15))
        throw cannot_run("the daemons weren't ready in 15 s");
    sleep_ms(3500);

    // Bookings of other callers, which run beside it.
    std::atomic<bool> ends{false};
    std::atomic<int> bookings{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> callers;
    callers.reserve(lanes);
    for (std::size_t lane = 0; lane < lanes; ++lane)
        callers.emplace_back(
            [&, lane]
            {
                for (int turn = 0; !ends; ++turn)
                {
                    const std::string id =
                        "b" + std::to_string(lane) + "-" + std::to_string(turn);
                    const std::size_t first = (lane + static_cast<std::size_t>(turn));
                    const auto& daemon = all[first % all.size()];
                    if (daemon->is_taken_out)
                        continue;
                    const answer got = send(daemon->callers(), id, "/book/1", id);
                    ++bookings;
                    if (got.status == 502 || got.status == 504)
                    {
                        ++lost;
                        record.line("booking " + id + " -> " +
                                    std::to_string(got.status));
                    }
                    sleep_ms(100);
                }
            });

    int turn = 0;
    const auto send_poison = [&](std::size_t number)
    {
        const std::string id = "poison-" + std::to_string(++turn);
        const answer got = send(all[number]->callers(), id, "/look/1", "poison");
        record.line(id + " at " + all[number]->name() + " -> " +
                    std::to_string(got.status));
        return got.status;
    };
    // The caller sends it again, at any daemon, until each of them refuses it.
    for (int round = 0; round < 3; ++round)
        for (std::size_t number = 0; number < all.size(); ++number)
        {
            send_poison(number);
            sleep_ms(700);
        }
    const std::size_t before = arrivals.size();
    record.line("crashes before the restarts: " + std::to_string(before));
    for (std::size_t number = 0; number < all.size(); ++number)
    {
        if (is_troubled())
        {
            all[number]->is_taken_out = true;
            all[number]->signal(SIGTERM);
            record.line("SIGTERM to " + all[number]->name());
            if (!all[number]->wait_for_end(10))
                throw cannot_run("a daemon didn't stop");
            all[number]->start();
            record.line("started " + all[number]->name());
            if (!wait_for([&] { return all[number]->is_ready(); }, 10))
                throw cannot_run("a daemon wasn't ready again");
            all[number]->is_taken_out = false;
        }
        // Longer than stabilityMs, so that the daemon is in touch.
        sleep_ms(4500);
        for (int again = 0; again < 3; ++again)
        {
            send_poison(number);
            sleep_ms(700);
        }
    }
    ends = true;
    for (std::thread& caller : callers)
        caller.join();

    int later = 0;
    for (std::size_t at = 3; at < arrivals.size(); ++at)
        later += arrivals[at].at > arrivals[2].at + stability_s ? 1 : 0;
    std::ostringstream result;
    result << "crashes " << arrivals.size() << ", before the restarts " << before
           << "; arrivals later than stabilityMs after the third crash " << later
           << " (allowed " << max_later_arrivals << "); bookings " << bookings
           << ", ended with 502 or 504 " << lost;
    record.line(result.str());
    std::cout << result.str() << '\n';
    if (before < 2)
        throw cannot_run("the request crashed no workers");
    return later > max_later_arrivals ? 1 : 0;
}
catch (const std::exception& error)
{
    std::cerr << "the case couldn't run: " << error.what() << '\n';
    return 2;
}
