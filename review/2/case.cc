// Streams that began while the store fell silent, on a worker of a new software version,
// go on at a worker of the old one after their daemon was killed.
#include "../standins/worker.h"

using namespace review;

namespace
{

// platform_down lasts up to 8 s in the site file.
constexpr double outage_ms = 4500;
// The daemon is killed this long after the outage began.
constexpr double kill_after_ms = 3300;
constexpr int allowed_joined_streams = 2;

const std::vector<std::string> daemons{"frontend-lautoka-1", "frontend-nadi-1",
                                       "frontend-ba-1"};

json configuration()
{
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
            {"routes",
             {route("chat-queued", "/chat/", "streaming", "refill-assist", 15000, 1000, 2, 0,
                    true)}},
            {"services",
             {{{"name", "refill-assist"}, {"maxConns", 370}, {"engine", engine}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 10000},
              {"idleTimeoutMs", 30000}}}};
}

// What a caller got of one stream, over all its tries.
struct stream_log
{
    std::string events;
    int last_event = 0;
    std::set<std::string> versions;
    bool complete = false;
    std::string story;
};

void take_events(stream_log& stream, std::string& body)
{
    std::size_t end = 0;
    while ((end = body.find("\n\n")) != std::string::npos)
    {
        const std::string event = body.substr(0, end);
        body.erase(0, end + 2);
        const std::size_t id = event.find("id: ");
        if (id != std::string::npos)
            stream.last_event = std::atoi(event.c_str() + id + 4);
        const std::size_t version = event.rfind(" v");
        if (version != std::string::npos)
            stream.versions.insert(event.substr(version + 1));
    }
}

} // namespace

int main(int, char** arguments)
{
    ::signal(SIGPIPE, SIG_IGN);
    recorder log(arguments[1]);
    const std::string directory = make_directory();
    store platform(log);
    std::vector<std::unique_ptr<daemon_process>> processes;
    for (const std::string& name : daemons)
        processes.push_back(std::make_unique<daemon_process>(
            name, name.substr(9, name.rfind('-') - 9), directory, platform.open_port(name)));
    std::vector<std::unique_ptr<worker>> workers;
    const auto add_worker = [&](const std::string& software)
    {
        worker::options settings;
        settings.is_engine = true;
        settings.service = "refill-assist";
        settings.software = software;
        settings.slots = 64;
        settings.work_ms = 40;
        settings.events = 90;
        settings.event_ms = 60;
        workers.push_back(std::make_unique<worker>(
            log, platform, "i-engine" + std::to_string(workers.size()), settings));
        workers.back()->open_port("daemons");
        workers.back()->join();
    };
    platform.put("op/config", configuration());
    for (int number = 0; number < 5; ++number)
        add_worker("1");
    for (auto& process : processes)
        process->start();
    for (auto& process : processes)
        if (!process->wait_until_ready(10000))
            return 2;
    sleep_ms(8000);
    log.line("release: four workers of software version 2 join");
    for (int number = 0; number < 4; ++number)
        add_worker("2");
    sleep_ms(6000);

    std::mutex mutex;
    std::vector<stream_log> streams;
    std::vector<std::thread> callers;
    const auto call_stream = [&](int number)
    {
        stream_log stream;
        const std::string first_id = "stream-" + std::to_string(number);
        const double deadline = now_ms() + 15000;
        std::size_t at = 0;
        for (int attempt = 0; attempt < 3 && now_ms() < deadline && !stream.complete; ++attempt)
        {
            const std::string id =
                attempt == 0 ? first_id : first_id + "-" + std::to_string(attempt);
            std::string fields = "POST /chat/" + first_id +
                                 " HTTP/1.1\r\nHost: desk.example\r\n"
                                 "X-Pollenhaven-Request-Id: " +
                                 id + "\r\nX-Pollenhaven-Model: m0\r\n" +
                                 "X-Pollenhaven-Token-Count: 300,450\r\n" +
                                 "X-Pollenhaven-Deadline-Ms: " +
                                 std::to_string(static_cast<int>(deadline - now_ms())) + "\r\n";
            if (stream.last_event > 0)
                fields += "Last-Event-Id: " + std::to_string(stream.last_event) +
                          "\r\nResumes: " + first_id + "\r\n";
            const connection_ptr peer = connect_to(processes[at]->port());
            std::string pending;
            message answer;
            if (peer && peer->send_all(fields + "Content-Length: 1\r\n\r\nx"))
            {
                std::size_t seen = 0;
                read_message(*peer, answer, true, 4000,
                             [&](const message& so_far)
                             {
                                 if (so_far.status != 200)
                                     return;
                                 pending += so_far.body.substr(seen);
                                 seen = so_far.body.size();
                                 take_events(stream, pending);
                             });
            }
            stream.complete = answer.status == 200 && answer.complete;
            char text[200];
            snprintf(text, sizeof text, " [%.3f s %s at %s: %d, up to event %d%s]",
                     now_ms() / 1000, id.c_str(), daemons[at].c_str(), answer.status,
                     stream.last_event, stream.complete ? ", complete" : "");
            stream.story += text;
            if (!answer.field("Retry-After").empty())
                sleep_ms(1000 * std::atof(answer.field("Retry-After").c_str()));
            at = 1 + static_cast<std::size_t>(number + attempt) % (daemons.size() - 1);
        }
        for (const std::string& version : stream.versions)
            stream.story += " " + version;
        log.line("%s:%s", first_id.c_str(), stream.story.c_str());
        const std::lock_guard lock(mutex);
        streams.push_back(stream);
    };

    // Streams at the first daemon, 40 a second, from 0.5 s before the store falls silent.
    const double begin = now_ms();
    const double outage_at = begin + 500;
    std::thread trouble(
        [&]
        {
            if (!with_trouble())
                return;
            sleep_ms(outage_at - now_ms());
            log.line("the store doesn't answer any more");
            platform.set_down(true, true);
            sleep_ms(outage_at + kill_after_ms - now_ms());
            log.line("%s is killed", daemons[0].c_str());
            processes[0]->kill();
            sleep_ms(outage_at + outage_ms - now_ms());
            log.line("the store answers again");
            platform.set_down(false, false);
        });
    for (int number = 0; number < 60; ++number)
    {
        callers.emplace_back(call_stream, number);
        sleep_ms(25);
    }
    trouble.join();
    for (std::thread& caller : callers)
        caller.join();
    int joined = 0;
    int complete = 0;
    for (const stream_log& stream : streams)
    {
        joined += stream.versions.size() > 1 ? 1 : 0;
        complete += stream.complete ? 1 : 0;
    }
    const bool broken = joined > allowed_joined_streams;
    log.line("%zu streams, %d complete, %d with events of two software versions%s",
             streams.size(), complete, joined, broken ? ": ORDER is broken" : "");
    processes.clear();
    const bool usable = complete > 10;
    std::printf("%s\n", broken ? "broken" : usable ? "held" : "not usable");
    std::fflush(stdout);
    std::_Exit(broken ? 1 : usable ? 0 : 2);
}
