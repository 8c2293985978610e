// review/9: a configuration adds a route with the prefix /v1/. Requests of clients on it that
// have the paths of the system's own readiness and directory calls, sent to the address for
// clients, are answered by the daemon itself with 200 and reach no worker.
#include "lab.h"

using namespace lab;

namespace
{

constexpr int machines = 2;
constexpr long long config_apply_ms = 2000;

json configuration(int version, bool adds_route)
{
    const auto route = [](const char* name, const char* prefix)
    {
        return json{{"name", name},          {"host", "desk.example"},
                    {"pathPrefix", prefix},  {"kind", "idempotent"},
                    {"service", "tickets"},  {"timeoutMs", 2000},
                    {"targetLatencyMs", 300}, {"maxAttempts", 2},
                    {"priority", 2}};
    };
    json routes{route("tickets", "/puxa403/")};
    if (adds_route)
        routes.push_back(route("tickets-v1", "/v1/"));
    return {{"version", version},
            {"routes", routes},
            {"services", {{{"name", "tickets"}, {"maxConns", 110}}}},
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
    std::vector<std::unique_ptr<plain_worker>> workers;
    for (int number = 0; number < 3; ++number)
    {
        workers.push_back(std::make_unique<plain_worker>(
            network + "2", 1, "i-" + std::to_string(number), "tickets", platform));
        workers.back()->noted = [&](const arrival& entry)
        {
            record.line("worker %s: ran %s (%s)", entry.worker.c_str(), entry.id.c_str(),
                        entry.what.c_str());
        };
    }
    platform.put("op/config", configuration(3, false));
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
    sleep_ms(3000);
    if (has_trouble())
    {
        platform.put("op/config", configuration(8, true));
        record.say("the store acknowledged configuration 8, which adds the route /v1/");
    }
    sleep_ms(2 * config_apply_ms);

    const std::string prefix = has_trouble() ? "/v1/" : "/puxa403/";
    int broken = 0;
    int served = 0;
    for (int round = 0; round < 10; ++round)
        for (const auto& daemon : daemons)
            for (const char* name : {"resolve?ticket=17", "readyz", "tickets/9"})
            {
                const std::string id = new_id();
                const std::string target = prefix + name;
                const message answer =
                    ask(daemon->callers(), request_text("GET", "desk.example", target, id, 4000),
                        4500);
                const std::string signature = answer.field("X-Pollenhaven-Server-Signature");
                const bool is_success = answer.status >= 200 && answer.status < 300;
                const bool is_foreign = is_success && signature.empty();
                served += is_success && !is_foreign ? 1 : 0;
                record.line("client: %s GET %s -> %d signature='%s' body='%s'%s", id.c_str(),
                            target.c_str(), answer.status, signature.c_str(),
                            answer.body.substr(0, 100).c_str(),
                            is_foreign ? " MIXED" : "");
                broken += is_foreign ? 1 : 0;
            }
    record.say("answers with a worker's signature " + std::to_string(served) +
               ", successes without one (MIXED) " + std::to_string(broken));
    if (served == 0)
        finish(could_not_run);
    finish(broken > 0 ? rule_broken : rule_held);
}
