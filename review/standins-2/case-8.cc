// review/8: clients that read slowly. A client with a small receive window reads a stream
// steadily, some hundred bytes each tenth of a second, and would have it whole well within its
// deadline. The worker has answered whole; the daemon's side resets the connection meanwhile.
#include "lab.h"

using namespace lab;

namespace
{

constexpr int machines = 1;
constexpr int slow_clients = 8;
constexpr int receive_buffer = 4096;
constexpr long long read_interval_ms = 100;
constexpr std::size_t bytes_per_read = 700;
const char* const last_chunk = "\r\n0\r\n\r\n";
constexpr long long deadline_ms = 12000;
const char* const api_key = "k-4f1c09";

json configuration()
{
    const json chat{{"name", "chat"},         {"host", "desk.example"},
                    {"pathPrefix", "/chat/"}, {"kind", "streaming"},
                    {"service", "assist"},    {"timeoutMs", deadline_ms},
                    {"targetLatencyMs", 800}, {"targetGapMs", 300},
                    {"maxAttempts", 1},       {"priority", 0},
                    {"sticky", true},         {"resumable", false}};
    const json engine{{"slots", 32},
                      {"adapterSlots", 19},
                      {"weightsMb", 67000},
                      {"models",
                       {{{"name", "m0"},
                         {"weightsMb", 65100},
                         {"loadS", 0.6},
                         {"adapters", 10000},
                         {"adapterMb", 40}}}}};
    return {{"version", 3},
            {"routes", {chat}},
            {"services", {{{"name", "assist"}, {"maxConns", 730}, {"engine", engine}}}},
            {"tenants",
             {{{"name", "t1"}, {"priority", 0}, {"apiKeys", {std::string(api_key)}}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 10000},
              {"idleTimeoutMs", 10000}}}};
}

std::string chat(const std::string& id)
{
    return request_text("POST", "desk.example", "/chat/2f", id, deadline_ms,
                        head_line("Authorization", std::string("Bearer ") + api_key) +
                            head_line("X-Pollenhaven-Model", "m0") +
                            head_line("X-Pollenhaven-Token-Count", "628,952"),
                        "{}");
}

} // namespace

int main(int, char** arguments)
{
    limit_time();
    record_file record(arguments[1]);
    const std::string network = own_network();
    const std::string folder = temporary_folder();
    store platform(network + "1", machines);
    std::vector<std::unique_ptr<engine>> workers;
    for (int number = 0; number < 2; ++number)
    {
        workers.push_back(std::make_unique<engine>(network + "2", 1,
                                                   "i-" + std::to_string(number), "assist",
                                                   platform));
        engine& added = *workers.back();
        added.slots = 32;
        // The longest stream of ozet-teklif: 119 events of 420 bytes.
        added.events = 119;
        added.event_bytes = 420;
        added.noted = [&](const arrival& entry)
        {
            if (entry.holder.empty())
                record.line("worker %s: ran %s", entry.worker.c_str(), entry.id.c_str());
        };
    }
    platform.put("op/config", configuration());
    for (const auto& added : workers)
        added->register_in_store();
    daemon_process daemon(folder, "frontend-a-1", "a", network + "11", platform.address(0));
    daemon.start();
    if (!daemon.wait_until_ready(10'000))
        record.say("the daemon isn't ready"), finish(could_not_run);
    sleep_ms(4000);

    std::atomic<int> first_answers{0};
    std::atomic<int> whole{0};
    std::atomic<int> broken{0};
    std::atomic<int> ready_clients{0};
    std::atomic<bool> may_go{false};
    std::vector<std::thread> clients;
    for (int client = 0; client < slow_clients; ++client)
        clients.emplace_back(
            [&, client]
            {
                connection used(connect_to(daemon.callers(), receive_buffer));
                // A first request, so that the connection is a kept one.
                message first;
                const std::string first_id = new_id();
                if (!used.send(chat(first_id)) || !used.read_message(first, 10'000) ||
                    first.status != 200)
                {
                    ++ready_clients;
                    return record.line("client %d: the first request failed", client);
                }
                ++first_answers;
                ++ready_clients;
                while (!may_go)
                    sleep_ms(5);
                const std::string id = new_id();
                const long long sent_at = now_ms();
                message answer;
                bool is_whole = used.send(chat(id)) && used.read_head(answer, 10'000);
                record.line("client %d: %s -> %d after %lld ms", client, id.c_str(),
                            answer.status, now_ms() - sent_at);
                // A slow client reads a little at a time, and never pauses for longer.
                while (has_trouble() && is_whole && used.input.find(last_chunk) == std::string::npos)
                {
                    sleep_ms(read_interval_ms);
                    is_whole = used.fill(4000, bytes_per_read);
                }
                const std::size_t received = used.input.size();
                is_whole = is_whole && used.read_body(answer, 4000);
                record.line("client %d: %s %s after %lld ms, %zu bytes received%s%s", client,
                            id.c_str(), is_whole ? "complete" : "ended early",
                            now_ms() - sent_at, std::max(received, answer.body.size()),
                            is_whole ? "" : ": ", is_whole ? "" : used.error.c_str());
                ++(is_whole ? whole : broken);
            });
    while (ready_clients < slow_clients)
        sleep_ms(5);
    // Planned work, in both modes: the settings file is read again.
    daemon.signal(SIGHUP);
    record.say("SIGHUP to the daemon");
    sleep_ms(200);
    may_go = true;
    for (std::thread& client : clients)
        client.join();
    record.say("kept connections " + std::to_string(first_answers) +
               ", complete answers to the second request " + std::to_string(whole) +
               ", connections that ended without a complete answer " + std::to_string(broken));
    if (first_answers < 4)
        finish(could_not_run);
    // The rule allows three.
    finish(broken > 3 ? rule_broken : rule_held);
}
