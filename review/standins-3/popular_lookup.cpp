// Many callers look the same thing up. Two of eight workers crash at the same moment, as
// in one rack, and are back after two seconds; this happens again, four times at most,
// until no lookup is served any more. Counts how many lookups and bookings are served
// later than recoveryS after the last crash.

#include "kit.hpp"

using namespace kit;

namespace
{

constexpr double recovery_s = 12.0;
constexpr int workers_count = 8;
constexpr int daemons = 4;
constexpr int lanes = 24;

struct tally
{
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
};

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
        workers.back()->restart_ms = 2000;
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

    std::atomic<bool> ends{false};
    std::atomic<bool> counts{false};
    std::atomic<int> turn{0};
    std::atomic<int> served_lookups{0};
    tally lookups;
    tally bookings;
    std::vector<std::thread> callers;
    callers.reserve(lanes);
    for (int lane = 0; lane < lanes; ++lane)
        callers.emplace_back(
            [&, lane]
            {
                const bool looks_up = lane < 16;
                httplib::Client client(
                    "http://" +
                    all[static_cast<std::size_t>(lane) % all.size()]->callers());
                client.set_read_timeout(5);
                client.set_keep_alive(true);
                while (!ends)
                {
                    const std::string id = "r" + std::to_string(++turn);
                    const httplib::Headers fields{{"Host", "desk.example"},
                                                  {"X-Pollenhaven-Request-Id", id},
                                                  {"X-Pollenhaven-Deadline-Ms", "4000"}};
                    const auto response =
                        looks_up ? client.Get("/look/price-list", fields)
                                 : client.Post("/book/1", fields, "order " + id,
                                               "application/json");
                    if (looks_up && response && response->status == 200)
                        ++served_lookups;
                    if (counts)
                    {
                        tally& own = looks_up ? lookups : bookings;
                        ++own.sent;
                        own.served += response && response->status == 200 ? 1 : 0;
                        own.refused += response && response->status == 503 ? 1 : 0;
                        if (own.sent <= 5)
                            record.line(
                                (looks_up ? "lookup " : "booking ") + id + " -> " +
                                (response ? std::to_string(response->status) + " " +
                                                response->body.substr(0, 160)
                                          : "none"));
                    }
                    sleep_ms(response && response->status == 503 ? 300 : 40);
                }
            });
    sleep_ms(2000);
    for (int round = 0; round < 4 && is_troubled(); ++round)
    {
        const std::size_t first = static_cast<std::size_t>(round) * 2;
        record.line("crash: " + workers[first]->id() + " and " +
                    workers[first + 1]->id());
        std::thread other([&] { workers[first + 1]->crash(); });
        workers[first]->crash();
        other.join();
        sleep_ms(5000);
        served_lookups = 0;
        sleep_ms(2000);
        record.line("lookups served in the last two seconds: " +
                    std::to_string(served_lookups));
        if (served_lookups == 0)
            break;
    }
    record.line("recovery time");
    sleep_ms(static_cast<int>(recovery_s * 1000));
    counts = true;
    sleep_ms(15000);
    ends = true;
    for (std::thread& caller : callers)
        caller.join();

    const int sent = lookups.sent + bookings.sent;
    const int served = lookups.served + bookings.served;
    const double of_all = sent == 0 ? 0 : static_cast<double>(served) / sent;
    const double of_lookups =
        lookups.sent == 0 ? 0 : static_cast<double>(lookups.served) / lookups.sent;
    std::ostringstream result;
    result << "later than recoveryS after the last crash: lookups " << lookups.sent
           << ", served " << lookups.served << ", refused " << lookups.refused
           << "; bookings " << bookings.sent << ", served " << bookings.served;
    record.line(result.str());
    std::cout << result.str() << '\n';
    if (bookings.served == 0 || lookups.sent == 0)
        throw cannot_run("no bookings were served");
    return of_lookups < of_all / 4 ? 1 : 0;
}
catch (const std::exception& error)
{
    std::cerr << "the case couldn't run: " << error.what() << '\n';
    return 2;
}
