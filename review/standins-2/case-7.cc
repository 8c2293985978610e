// review/7: a machine is killed soon after its start, while the answer to a write of its first
// process was lost. The store does that write late, after the second process has written its
// own entry under a lease of its own, so that the entry ends with the lease of the first one.
// The second process goes on; the others take it for gone. Both order the same new worker.
#include "lab.h"

using namespace lab;

namespace
{

constexpr int machines = 2;
constexpr int engines = 12;
// Empty workers that are added: a quarter of those that are there.
constexpr int added_engines = 3;
constexpr long long lease_ms = 3000;
constexpr long long late_ms = 1300;

json configuration()
{
    const json chat{{"name", "chat"},          {"host", "desk.example"},
                    {"pathPrefix", "/chat/"},  {"kind", "streaming"},
                    {"service", "assist"},     {"timeoutMs", 15000},
                    {"targetLatencyMs", 600},  {"targetGapMs", 250},
                    {"maxAttempts", 1},        {"priority", 0},
                    {"sticky", true},          {"resumable", false}};
    const json engine{{"slots", 64},
                      {"adapterSlots", 30},
                      {"weightsMb", 68000},
                      {"models",
                       {{{"name", "m0"},
                         {"weightsMb", 65500},
                         {"loadS", 0.6},
                         {"adapters", 3000},
                         {"adapterMb", 40}}}}};
    return {{"version", 3},
            {"routes", {chat}},
            {"services", {{{"name", "assist"}, {"maxConns", 370}, {"engine", engine}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 10000},
              {"idleTimeoutMs", 10000}}}};
}

} // namespace

int main(int, char** arguments)
{
    limit_time();
    record_file record(arguments[1]);
    const std::string network = own_network();
    const std::string folder = temporary_folder();
    store platform(network + "1", machines);
    constexpr int victim = 0;

    std::atomic<int> writes_to_lose{0};
    std::atomic<int> lost_writes{0};
    platform.treat = [&](int machine, const message& call)
    {
        if (call.path() != "/v1/kv-txn" || machine != victim || writes_to_lose-- <= 0)
            return treatment{};
        record.line("store: write of machine %d gets no answer, is done %lld ms later: %s",
                    machine, late_ms, call.body.c_str());
        ++lost_writes;
        return treatment{treatment::kind::lost, late_ms};
    };
    platform.answered = [&](int machine, const message& call, int status)
    {
        if (call.path() == "/v1/kv-txn" || call.path() == "/v1/kv-lease")
            record.line("store: write of machine %d: %d%s %s", machine, std::abs(status),
                        status < 0 ? " (late, not answered)" : "", call.body.c_str());
    };

    std::vector<std::unique_ptr<engine>> workers;
    for (int number = 0; number < engines + added_engines; ++number)
    {
        workers.push_back(std::make_unique<engine>(network + "2", 1,
                                                   "i-" + std::to_string(number), "assist",
                                                   platform));
        engine& added = *workers.back();
        added.slots = 64;
        added.has_model = number < engines;
        added.noted = [&](const arrival& entry)
        {
            if (!entry.holder.empty())
                record.line("worker %s: order %s holder=%s token=%lld -> %d",
                            entry.worker.c_str(), entry.what.c_str(), entry.holder.c_str(),
                            entry.token, entry.status);
        };
    }
    platform.put("op/config", configuration());
    for (int number = 0; number < engines; ++number)
        workers[static_cast<std::size_t>(number)]->register_in_store();

    std::vector<std::unique_ptr<daemon_process>> daemons;
    for (int machine = 0; machine < machines; ++machine)
    {
        daemons.push_back(std::make_unique<daemon_process>(
            folder, "frontend-a-" + std::to_string(machine + 1), "a",
            network + std::to_string(11 + machine), platform.address(machine)));
        daemons.back()->start();
    }
    for (const auto& daemon : daemons)
        if (!daemon->wait_until_ready(10'000))
            record.say("a daemon isn't ready"), finish(could_not_run);

    std::atomic<bool> stops{false};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (int machine = 0; machine < machines; ++machine)
        for (int client = 0; client < 6; ++client)
            clients.emplace_back(
                [&, machine, client]
                {
                    std::mt19937 random(static_cast<unsigned>(machine * 100 + client));
                    while (!stops)
                    {
                        const std::string adapter = "m0/a" + std::to_string(1 + random() % 3000);
                        const message answer =
                            ask(daemons[static_cast<std::size_t>(machine)]->callers(),
                                request_text("POST", "desk.example", "/chat/2f", new_id(), 15000,
                                             head_line("X-Pollenhaven-Model", adapter) +
                                                 head_line("X-Pollenhaven-Token-Count",
                                                           "628,100") +
                                                 head_line("X-Pollenhaven-Prefix-Hash",
                                                           "5c1e07a2:198,91bd3f06:430"),
                                             "{}"),
                                16000);
                        served += answer.status == 200 ? 1 : 0;
                        sleep_ms(300 + random() % 200);
                    }
                });
    sleep_ms(6000);

    if (has_trouble())
    {
        record.say("machine " + daemons[victim]->node() + " is killed and starts again");
        daemons[victim]->kill();
        sleep_ms(200);
        writes_to_lose = 1;
        daemons[victim]->start();
        for (int waited = 0; lost_writes == 0 && waited < 5000; waited += 10)
            sleep_ms(10);
        sleep_ms(400);
        record.say("it is killed once more and starts again");
        daemons[victim]->kill();
        sleep_ms(200);
        daemons[victim]->start();
    }
    sleep_ms(15'000);
    record.say("its entry in the store: " +
               platform.value("pollenhaven/members/" + daemons[victim]->node()).dump());
    for (int number = engines; number < engines + added_engines; ++number)
    {
        record.say("empty worker i-" + std::to_string(number) + " is added");
        workers[static_cast<std::size_t>(number)]->register_in_store();
        sleep_ms(2000);
    }
    sleep_ms(4000);
    stops = true;
    for (std::thread& client : clients)
        client.join();

    int broken = 0;
    int orders = 0;
    for (const auto& added : workers)
    {
        std::optional<arrival> last;
        for (const arrival& entry : added->arrivals())
        {
            if (entry.holder.empty())
                continue;
            ++orders;
            const bool turns =
                last && last->holder != entry.holder && entry.at - last->at < lease_ms;
            if (turns)
                record.say("ONE: worker " + added->id() + " got an order of " + last->holder +
                           " (token " + std::to_string(last->token) + ") and " +
                           std::to_string(entry.at - last->at) + " ms later one of " +
                           entry.holder + " (token " + std::to_string(entry.token) + ")");
            broken += turns ? 1 : 0;
            last = entry;
        }
    }
    record.say("orders " + std::to_string(orders) + ", answers served " +
               std::to_string(served) + ", writes lost " + std::to_string(lost_writes) + " of " +
               std::to_string(platform.writes()) + ", turns within leaseMs " +
               std::to_string(broken));
    if (orders == 0 || served == 0 || (has_trouble() && lost_writes == 0))
        finish(could_not_run);
    finish(broken > 0 ? rule_broken : rule_held);
}
