// review/6: workers of two software versions serve side by side. A machine loses power for good
// just as the store comes back from a copy that lacks the records of the streams which that
// machine has begun. Their clients notice by the silence, some seconds later, and take the
// streams up at another machine, where they go on at the other version.
#include "lab.h"

using namespace lab;

namespace
{

constexpr int machines = 3;
constexpr int old_workers = 5;
constexpr int new_workers = 4;
constexpr int streams = 40;
constexpr int victim = 0;
constexpr int events = 58;
constexpr long long event_interval_ms = 110;
constexpr long long deadline_ms = 15000;
// A client leaves a stream after a gap of four times the objective (1,000 ms).
constexpr int abandonment_ms = 4000;
// The store comes back from a copy of this age.
constexpr long long copy_age_ms = 4000;
constexpr long long away_ms = 300;

json configuration()
{
    const json chat{{"name", "chat"},          {"host", "desk.example"},
                    {"pathPrefix", "/chat/"},  {"kind", "streaming"},
                    {"service", "assist"},     {"timeoutMs", deadline_ms},
                    {"targetLatencyMs", 1000}, {"targetGapMs", 250},
                    {"maxAttempts", 2},        {"priority", 0},
                    {"sticky", true},          {"resumable", true}};
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

// What a client has received of one stream, over all its tries.
struct stream_state
{
    int last_event = 0;
    std::set<std::string> versions;
    bool is_whole = false;
    int tries = 0;
};

// Reads events until the end of the answer, a gap or the end of the connection.
void read_events(connection& used, stream_state& state, int gap_ms)
{
    while (true)
    {
        std::string line;
        std::string chunk;
        std::string end;
        if (!used.read_line(line, gap_ms))
            return;
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if ((size > 0 && !used.read_exactly(chunk, size, gap_ms)) || !used.read_line(end, gap_ms))
            return;
        if (size == 0)
        {
            state.is_whole = state.last_event == events;
            return;
        }
        std::stringstream lines(chunk);
        for (std::string text; std::getline(lines, text);)
            if (text.compare(0, 4, "id: ") == 0)
                state.last_event = std::atoi(text.c_str() + 4);
            else if (text.compare(0, 6, "data: ") == 0)
                state.versions.insert(text.substr(6, 2));
    }
}

} // namespace

int main(int, char** arguments)
{
    limit_time();
    record_file record(arguments[1]);
    const std::string network = own_network();
    const std::string folder = temporary_folder();
    store platform(network + "1", machines);
    std::atomic<bool> is_away{false};
    platform.treat = [&](int, const message&)
    { return is_away ? treatment{treatment::kind::busy, 0} : treatment{}; };

    std::vector<std::unique_ptr<engine>> workers;
    for (int number = 0; number < old_workers + new_workers; ++number)
    {
        workers.push_back(std::make_unique<engine>(network + "2", 1,
                                                   "i-" + std::to_string(number), "assist",
                                                   platform));
        engine& added = *workers.back();
        added.slots = 64;
        added.events = events;
        added.event_interval_ms = event_interval_ms;
        added.event_bytes = 50;
        added.first_ms = 60;
        added.software = number < old_workers ? "v1" : "v2";
        added.noted = [&, version = added.software](const arrival& entry)
        {
            if (entry.holder.empty())
                record.line("worker %s (%s): ran %s", entry.worker.c_str(), version.c_str(),
                            entry.id.c_str());
        };
    }
    platform.put("op/config", configuration());
    for (int number = 0; number < old_workers; ++number)
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
    sleep_ms(4000);
    // Planned work: workers of the next version join.
    for (int number = old_workers; number < old_workers + new_workers; ++number)
        workers[static_cast<std::size_t>(number)]->register_in_store();
    record.say("workers of version v2 have joined");
    sleep_ms(8000);

    platform.save_copy();
    record.line("store: the copy is made");
    const long long copied_at = now_ms();
    std::mutex mutex;
    std::vector<stream_state> states(streams);
    std::vector<std::thread> clients;
    for (int client = 0; client < streams; ++client)
        clients.emplace_back(
            [&, client]
            {
                sleep_ms(500 + client * 50);
                stream_state& state = states[static_cast<std::size_t>(client)];
                const long long until = now_ms() + deadline_ms;
                const std::string first_id = new_id();
                std::string id = first_id;
                int machine = victim;
                // One try, one retry of it after a refusal, and one resumption.
                for (int tries = 0; tries < 3 && !state.is_whole; ++tries)
                {
                    ++state.tries;
                    connection used(
                        connect_to(daemons[static_cast<std::size_t>(machine)]->callers()));
                    std::string fields = head_line("X-Pollenhaven-Model", "m0") +
                                         head_line("X-Pollenhaven-Token-Count", "628,290");
                    if (state.last_event > 0)
                        fields += head_line("Last-Event-Id", std::to_string(state.last_event)) +
                                  head_line("Resumes", first_id);
                    message answer;
                    const int before = state.last_event;
                    if (used.is_open() &&
                        used.send(request_text("POST", "desk.example", "/chat/2f", id,
                                               until - now_ms(), fields, "{}")) &&
                        used.read_head(answer, 6000) && answer.status == 200)
                        read_events(used, state, abandonment_ms);
                    std::string versions;
                    for (const std::string& version : state.versions)
                        versions += version + " ";
                    record.line("client %d: %s at machine %d, after event %d -> %d, now at event "
                                "%d, versions %s%s",
                                client, id.c_str(), machine, before, answer.status,
                                state.last_event, versions.c_str(),
                                state.is_whole ? "complete" : "");
                    if (state.is_whole)
                        return;
                    const std::string wait = answer.field("Retry-After");
                    if (answer.status == 503 && !wait.empty())
                        sleep_ms(static_cast<long long>(
                            std::min(std::atof(wait.c_str()) * 1000,
                                     static_cast<double>(until - now_ms()) / 3)));
                    id = new_id();
                    machine = 1 + client % 2;
                }
            });
    sleep_ms(copy_age_ms - (now_ms() - copied_at));
    if (has_trouble())
    {
        record.say("machine " + daemons[victim]->node() +
                   " loses power for good; the store is away for a moment");
        daemons[victim]->signal(SIGSTOP);
        is_away = true;
        sleep_ms(away_ms);
        platform.restore_copy();
        platform.put("op/config", configuration());
        is_away = false;
        record.say("the store is back from a copy " + std::to_string(copy_age_ms / 1000) +
                   " s old");
    }
    for (std::thread& client : clients)
        client.join();
    int joined = 0;
    int whole = 0;
    int resumed = 0;
    for (const stream_state& state : states)
    {
        joined += state.versions.size() > 1 ? 1 : 0;
        whole += state.is_whole ? 1 : 0;
        resumed += state.tries > 1 ? 1 : 0;
    }
    record.say("streams " + std::to_string(streams) + ", complete " + std::to_string(whole) +
               ", taken up again " + std::to_string(resumed) +
               ", with events of two versions (ORDER) " + std::to_string(joined));
    if (whole == 0 && !has_trouble())
        finish(could_not_run);
    // The rule allows two.
    finish(joined > 2 ? rule_broken : rule_held);
}
