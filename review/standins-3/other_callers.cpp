// One caller's booking crashes each worker that begins to run it, and is sent again. The
// bookings of the other callers are the same but for who makes them (`user`). Counts how
// often the first one reaches workers later than stabilityMs after its third crash.

#include "kit.hpp"

using namespace kit;

namespace
{

constexpr double stability_s = 3.0;
constexpr int workers_count = 6;
constexpr int daemons = 3;
constexpr int lanes = 6;
constexpr int repetitions = 20;
constexpr int max_later_arrivals = 3;

struct tally
{
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> lost{0};
};

std::string booking_of(const std::string& user)
{
    return json{{"service", "refill"}, {"pillows", 2}, {"user", user}}.dump();
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
    const std::string deadly = booking_of("u13");
    std::mutex mutex;
    std::vector<double> crashes;
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
            if (request.body != deadly)
                return false;
            const std::lock_guard lock(mutex);
            crashes.push_back(seconds_now());
            record.line("worker " + id + " begins to run " +
                        request.get_header_value("X-Pollenhaven-Request-Id") +
                        " and crashes");
            return true;
        };
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
        return std::all_of(all.begin(), all.end(),
                           [](const auto& each) { return each->is_ready(); });
    };
    if (!wait_for(is_up, 15))
        throw cannot_run("the daemons weren't ready in 15 s");
    sleep_ms(3500);

    std::atomic<bool> ends{false};
    std::atomic<int> turn{0};
    tally lookups;
    tally bookings;
    const auto send =
        [&](httplib::Client& client, const std::string& path, const std::string& body)
    {
        const std::string id = "r" + std::to_string(++turn);
        return client.Post(path,
                           {{"Host", "desk.example"},
                            {"X-Pollenhaven-Request-Id", id},
                            {"X-Pollenhaven-Deadline-Ms", "4000"}},
                           body, "application/json");
    };
    std::vector<std::thread> callers;
    callers.reserve(lanes);
    for (int lane = 0; lane < lanes; ++lane)
        callers.emplace_back(
            [&, lane]
            {
                const bool looks_up = lane % 2 == 1;
                httplib::Client client(
                    "http://" +
                    all[static_cast<std::size_t>(lane) % all.size()]->callers());
                client.set_read_timeout(5);
                for (int number = 0; !ends; ++number)
                {
                    // Any user but the one whose booking crashes workers.
                    const std::string user =
                        "u" + std::to_string(1000 + lane * 1000 + number);
                    const auto response =
                        looks_up ? send(client, "/look/1", "{\"of\":\"" + user + "\"}")
                                 : send(client, "/book/1", booking_of(user));
                    tally& own = looks_up ? lookups : bookings;
                    const int status = response ? response->status : 0;
                    ++own.sent;
                    own.served += status == 200 ? 1 : 0;
                    own.lost += status == 502 || status == 504 ? 1 : 0;
                    sleep_ms(60);
                }
            });
    sleep_ms(1000);
    for (int again = 0; again < repetitions && is_troubled(); ++again)
    {
        const std::unique_ptr<daemon_process>& each =
            all[static_cast<std::size_t>(again) % all.size()];
        httplib::Client client("http://" + each->callers());
        client.set_read_timeout(5);
        const auto response = send(client, "/book/1", deadly);
        record.line("booking of u13 at " + each->name() + " -> " +
                    std::to_string(response ? response->status : 0));
        sleep_ms(1200);
    }
    // The same time as with the disruption.
    if (!is_troubled())
        sleep_ms(repetitions * 1200);
    ends = true;
    for (std::thread& caller : callers)
        caller.join();

    int later = 0;
    for (std::size_t at = 3; at < crashes.size(); ++at)
        later += crashes[at] > crashes[2] + stability_s ? 1 : 0;
    std::ostringstream result;
    result << "crashes " << crashes.size()
           << "; arrivals later than stabilityMs after the third crash " << later
           << " (allowed " << max_later_arrivals << "); bookings of other users "
           << bookings.sent << ", served " << bookings.served << ", 502 or 504 "
           << bookings.lost << "; lookups " << lookups.sent << ", served "
           << lookups.served;
    record.line(result.str());
    std::cout << result.str() << '\n';
    if (bookings.served == 0)
        throw cannot_run("no bookings were served");
    return later > max_later_arrivals ? 1 : 0;
}
catch (const std::exception& error)
{
    std::cerr << "the case couldn't run: " << error.what() << '\n';
    return 2;
}
