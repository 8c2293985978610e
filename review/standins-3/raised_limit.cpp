// The operator raises the limit on the size of bodies. Callers keep connections open
// across the change, and send a larger booking on them later than configApplyMs after it
// was acknowledged.

#include "kit.hpp"

using namespace kit;

namespace
{

constexpr int daemons = 2;
constexpr int callers_per_daemon = 8;
constexpr std::size_t small_bytes = 600;
constexpr std::size_t large_bytes = 5'000'000;
constexpr int old_limit = 4'194'304;
constexpr int new_limit = 8'388'608;
// Later than configApplyMs, which is 2 s.
constexpr int wait_ms = 4000;

json with_limit(int version, int bytes)
{
    json result = configuration(version);
    result["limits"]["maxBodyBytes"] = bytes;
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
    shared.write("op/config", with_limit(1, is_troubled() ? old_limit : new_limit));
    std::jthread leases(
        [&](const std::stop_token& stop)
        {
            while (!stop.stop_requested())
            {
                sleep_ms(50);
                shared.expire();
            }
        });
    std::vector<std::unique_ptr<worker>> workers;
    workers.reserve(3);
    for (int number = 0; number < 3; ++number)
        workers.push_back(
            std::make_unique<worker>(shared, record, "d-" + std::to_string(number),
                                     loopback(100), entry("desk", "lautoka", 6), false));
    store_server platform(shared, loopback(50));
    std::vector<std::unique_ptr<daemon_process>> all;
    all.reserve(daemons);
    for (int number = 0; number < daemons; ++number)
        all.push_back(std::make_unique<daemon_process>(
            "frontend-lautoka-" + std::to_string(number + 1), loopback(1 + number),
            "lautoka", platform.address(), files.path));
    const auto is_up = [&]
    {
        return std::all_of(all.begin(), all.end(),
                           [](const auto& each) { return each->is_ready(); });
    };
    if (!wait_for(is_up, 15))
        throw cannot_run("the daemons weren't ready in 15 s");
    sleep_ms(3500);

    struct connection
    {
        std::unique_ptr<httplib::Client> client;
        std::string daemon;
    };
    std::vector<connection> connections;
    for (const std::unique_ptr<daemon_process>& each : all)
        for (int lane = 0; lane < callers_per_daemon; ++lane)
        {
            connections.push_back(
                {std::make_unique<httplib::Client>("http://" + each->callers()),
                 each->name()});
            connections.back().client->set_keep_alive(true);
            connections.back().client->set_read_timeout(6);
        }
    int turn = 0;
    const auto book = [&](connection& caller, std::size_t bytes)
    {
        const std::string id = "b" + std::to_string(++turn);
        const auto response =
            caller.client->Post("/book/1",
                                {{"Host", "desk.example"},
                                 {"X-Pollenhaven-Request-Id", id},
                                 {"X-Pollenhaven-Deadline-Ms", "4000"}},
                                std::string(bytes, 'b'), "application/octet-stream");
        const int status = response ? response->status : 0;
        record.line("booking " + id + " of " + std::to_string(bytes) + " bytes at " +
                    caller.daemon + " -> " + std::to_string(status));
        return status;
    };
    int served_before = 0;
    for (connection& caller : connections)
        served_before += book(caller, small_bytes) == 200 ? 1 : 0;
    if (is_troubled())
    {
        shared.write("op/config", with_limit(2, new_limit));
        record.line("acknowledged: configuration 2 with maxBodyBytes " +
                    std::to_string(new_limit));
    }
    sleep_ms(wait_ms);
    int refused = 0;
    int served = 0;
    for (connection& caller : connections)
    {
        const int status = book(caller, large_bytes);
        refused += status == 413 ? 1 : 0;
        served += status == 200 ? 1 : 0;
    }
    std::ostringstream result;
    result << "small bookings served " << served_before << "; large ones sent "
           << connections.size() << ", served " << served << ", answered 413 " << refused;
    record.line(result.str());
    std::cout << result.str() << '\n';
    if (served_before != static_cast<int>(connections.size()))
        throw cannot_run("small bookings weren't served");
    return refused > 5 ? 1 : 0;
}
catch (const std::exception& error)
{
    std::cerr << "the case couldn't run: " << error.what() << '\n';
    return 2;
}
