// review/7: a machine that was cut off from the workers gives its engines up by a write whose
// answer is lost, takes up its work again, and the write is done late. Another machine then
// orders the same worker at once.
#include "lab.hpp"

using namespace lab;

namespace
{

constexpr int machines = 4;
constexpr int engines = 5;
constexpr long long lease_ms = 3000;
constexpr long long cut_ms = 5400;
constexpr long long late_ms = 4500;
// The store loses answers for this long.
constexpr long long lost_begins_after_ms = 2500;
constexpr long long lost_for_ms = 2800;
constexpr int max_cuts = 5;

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

// The machine that ordered last.
std::string last_holder(const std::vector<std::unique_ptr<engine>>& workers)
{
    arrival last;
    for (const auto& added : workers)
        for (const arrival& entry : added->arrivals())
            if (!entry.holder.empty() && entry.at > last.at)
                last = entry;
    return last.holder;
}

// The rule, as written. Returns how often it was broken.
int broken_turns(const std::vector<std::unique_ptr<engine>>& workers, record_file& record)
{
    int broken = 0;
    for (const auto& added : workers)
    {
        std::optional<arrival> last;
        for (const arrival& entry : added->arrivals())
        {
            if (entry.holder.empty())
                continue;
            const bool is_other = last && last->holder != entry.holder;
            if (is_other && entry.at - last->at < lease_ms)
            {
                ++broken;
                record.say("ONE: worker " + added->id() + " got an order of " + last->holder +
                           " (token " + std::to_string(last->token) + ") and " +
                           std::to_string(entry.at - last->at) + " ms later one of " +
                           entry.holder + " (token " + std::to_string(entry.token) + ")");
            }
            if (is_other && last->token == entry.token)
            {
                ++broken;
                record.say("ONE: two holders with one token at worker " + added->id());
            }
            if (last && entry.token < last->token)
            {
                ++broken;
                record.say("ONE: a lower token after a higher one at worker " + added->id());
            }
            last = entry;
        }
    }
    return broken;
}

} // namespace

int main(int, char** arguments)
{
    limit_time();
    record_file record(arguments[1]);
    const std::string network = own_network();
    const std::string folder = temporary_folder();
    store platform(network + "1", machines);
    std::map<std::string, std::vector<std::string>> addresses;
    platform.address_for = [&](int machine, const std::string& address)
    { return addresses.at(address).at(static_cast<std::size_t>(machine)); };

    std::atomic<long long> lost_from{-1};
    std::atomic<int> lost_writes{0};
    std::atomic<int> lost_limit{0};
    platform.treat = [&](int machine, const message& call)
    {
        const long long begin = lost_from;
        const bool loses = begin >= 0 && now_ms() >= begin && now_ms() < begin + lost_for_ms;
        if (!loses || call.path() != "/v1/kv-txn" || lost_limit-- <= 0)
            return treatment{};
        ++lost_writes;
        record.line("store: write of machine %d gets no answer, is done %lld ms later: %s",
                    machine, late_ms, call.body.c_str());
        return treatment{treatment::kind::lost, late_ms};
    };
    platform.answered = [&](int machine, const message& call, int status)
    {
        if (call.path() == "/v1/kv-txn")
            record.line("store: write of machine %d: %d%s %s", machine, std::abs(status),
                        status < 0 ? " (late, not answered)" : "", call.body.c_str());
    };

    std::vector<std::unique_ptr<engine>> workers;
    for (int number = 0; number < engines; ++number)
    {
        workers.push_back(std::make_unique<engine>(network + "2", machines,
                                                   "i-" + std::to_string(number), "assist",
                                                   platform));
        engine& added = *workers.back();
        added.slots = 64;
        for (int machine = 0; machine < machines; ++machine)
            addresses[added.address(0)].push_back(added.address(machine));
        added.noted = [&](const arrival& entry)
        {
            if (!entry.holder.empty())
                record.line("worker %s: order %s holder=%s token=%lld -> %d",
                            entry.worker.c_str(), entry.what.c_str(), entry.holder.c_str(),
                            entry.token, entry.status);
        };
    }
    platform.put("op/config", configuration());
    for (const auto& added : workers)
        added->register_in_store();

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

    // Clients ask for adapters, few of which are loaded anywhere.
    std::atomic<bool> stops{false};
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
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
                        ++(answer.status == 200 ? served : refused);
                        sleep_ms(300 + random() % 200);
                    }
                });

    sleep_ms(8000);
    // Any machine may be the first to claim what was given up, the one that gave it up too; then
    // nothing is seen, and the same happens once more.
    int broken = 0;
    int writes_meanwhile = 0;
    int cuts = 0;
    while (cuts < max_cuts && broken == 0)
    {
        ++cuts;
        // The machine that ordered last holds an engine.
        const std::string victim_node = last_holder(workers);
        if (victim_node.empty())
            record.say("no orders"), finish(could_not_run);
        const int victim = victim_node.back() - '1';
        const int writes_before = platform.writes();
        if (has_trouble())
        {
            record.say("the five workers lose the path to one of four machines, " +
                       victim_node);
            lost_limit = 1;
            lost_from = now_ms() + lost_begins_after_ms;
            for (const auto& added : workers)
                added->cut(victim);
        }
        sleep_ms(cut_ms);
        if (has_trouble())
        {
            for (const auto& added : workers)
                added->heal(victim);
            record.say("the path is back");
        }
        writes_meanwhile += platform.writes() - writes_before;
        sleep_ms(9000);
        broken = broken_turns(workers, record);
    }
    stops = true;
    for (std::thread& client : clients)
        client.join();
    std::size_t orders = 0;
    for (const auto& added : workers)
        for (const arrival& entry : added->arrivals())
            orders += entry.holder.empty() ? 0 : 1;
    record.say("orders " + std::to_string(orders) + ", answers served " +
               std::to_string(served) + ", other " + std::to_string(refused) +
               ", writes lost " + std::to_string(lost_writes) + " of " +
               std::to_string(writes_meanwhile) + " during " + std::to_string(cuts) +
               " cuts, turns within leaseMs " + std::to_string(broken));
    if (orders == 0 || served == 0 || (has_trouble() && lost_writes == 0))
        finish(could_not_run);
    finish(broken > 0 ? rule_broken : rule_held);
}
