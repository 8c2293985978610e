// review/10: the store turns two of six machines away, the two that watch it for their zone,
// and the operator writes a configuration. The third machine of the zone, which reaches the
// store, goes on by the old one for longer than configApplyMs.
#include "lab.h"

using namespace lab;

namespace
{

constexpr int machines = 6;
constexpr int rounds = 6;
constexpr long long config_apply_ms = 2000;
constexpr long long cut_ms = 5000;
constexpr int follower = 2;

json configuration(int version, const std::string& service)
{
    const json route{{"name", "orders"},       {"host", "desk.example"},
                     {"pathPrefix", "/puxa403/"}, {"kind", "idempotent"},
                     {"service", service},     {"timeoutMs", 2000},
                     {"targetLatencyMs", 300}, {"maxAttempts", 2},
                     {"priority", 2}};
    return {{"version", version},
            {"routes", {route}},
            {"services",
             {{{"name", "orders-a"}, {"maxConns", 110}},
              {{"name", "orders-b"}, {"maxConns", 110}}}},
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
    std::vector<std::atomic<long long>> last_answer(machines);
    platform.answered = [&](int machine, const message&, int)
    { last_answer[static_cast<std::size_t>(machine)] = now_ms(); };

    std::mutex mutex;
    std::map<std::string, std::string> run_by;
    std::vector<std::unique_ptr<plain_worker>> workers;
    for (const char* service : {"orders-a", "orders-b"})
        for (int number = 0; number < 3; ++number)
        {
            workers.push_back(std::make_unique<plain_worker>(
                network + "2", 1, std::string("i-") + service + "-" + std::to_string(number),
                service, platform));
            workers.back()->work_ms = 5;
            workers.back()->noted = [&, service](const arrival& entry)
            {
                const std::lock_guard lock(mutex);
                run_by[entry.id] = service;
            };
        }
    int version = 3;
    platform.put("op/config", configuration(version, "orders-a"));
    for (const auto& added : workers)
        added->register_in_store();
    std::vector<std::unique_ptr<daemon_process>> daemons;
    for (int machine = 0; machine < machines; ++machine)
    {
        const std::string zone = machine < 3 ? "a" : "b";
        daemons.push_back(std::make_unique<daemon_process>(
            folder, "frontend-" + zone + "-" + std::to_string(machine % 3 + 1), zone,
            network + std::to_string(11 + machine), platform.address(machine)));
        daemons.back()->start();
    }
    for (const auto& daemon : daemons)
        if (!daemon->wait_until_ready(10'000))
            record.say("a daemon isn't ready"), finish(could_not_run);
    sleep_ms(5000);

    int broken_rounds = 0;
    int served = 0;
    for (int round = 0; round < rounds; ++round)
    {
        // The machines that are turned away have been answered just before.
        const long long asked = now_ms();
        while (last_answer[0] < asked && now_ms() - asked < 2000)
            sleep_ms(1);
        if (has_trouble())
        {
            platform.cut(0);
            platform.cut(1);
        }
        const std::string service = round % 2 == 0 ? "orders-b" : "orders-a";
        version += 3;
        platform.put("op/config", configuration(version, service));
        const long long acknowledged = now_ms();
        record.line("store: acknowledged configuration %d (route to %s)%s", version,
                    service.c_str(),
                    has_trouble() ? "; turns frontend-a-1 and frontend-a-2 away" : "");
        std::vector<std::thread> requests;
        std::atomic<int> late{0};
        std::atomic<int> answered{0};
        std::atomic<long long> last_old{0};
        while (now_ms() - acknowledged < 3200)
        {
            requests.emplace_back(
                [&, service]
                {
                    const std::string id = new_id();
                    const long long sent = now_ms() - acknowledged;
                    const message answer =
                        ask(daemons[follower]->callers(),
                            request_text("GET", "desk.example", "/puxa403/2f", id, 4000), 4500);
                    const std::lock_guard lock(mutex);
                    const std::string ran = run_by.contains(id) ? run_by[id] : "none";
                    answered += answer.status == 200 ? 1 : 0;
                    if (ran == service)
                        return;
                    if (ran != "none" && sent > last_old)
                        last_old = sent;
                    const bool is_late = sent > config_apply_ms && ran != "none";
                    late += is_late ? 1 : 0;
                    record.line("client: %s sent %lld ms after the acknowledgement -> %d, run "
                                "by %s%s",
                                id.c_str(), sent, answer.status, ran.c_str(),
                                is_late ? " CONFIG" : "");
                });
            sleep_ms(20);
        }
        for (std::thread& request : requests)
            request.join();
        served += answered;
        broken_rounds += late > 0 ? 1 : 0;
        record.say("round " + std::to_string(round + 1) + ": " + std::to_string(answered) +
                   " answers; the last one by the old configuration was sent " +
                   std::to_string(last_old) + " ms after the acknowledgement; " +
                   std::to_string(late) + " break CONFIG");
        sleep_ms(cut_ms - (now_ms() - acknowledged));
        if (has_trouble())
        {
            platform.heal(0);
            platform.heal(1);
        }
        sleep_ms(6000);
    }
    record.say("rounds in which CONFIG was broken: " + std::to_string(broken_rounds) + " of " +
               std::to_string(rounds));
    if (served == 0)
        finish(could_not_run);
    finish(broken_rounds > 0 ? rule_broken : rule_held);
}
