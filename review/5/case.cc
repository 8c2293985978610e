// Workers that fail after they ran a booking, with a 503 that doesn't say that it has not
// run.
#include "../standins/worker.h"

using namespace review;

namespace
{

const std::vector<std::string> daemons{"frontend-lautoka-1", "frontend-nadi-1"};

json configuration()
{
    return {{"version", 3},
            {"routes",
             {route("book", "/book/", "non_idempotent", "refill-orders", 2000, 300, 1, 2)}},
            {"services", {{{"name", "refill-orders"}, {"maxConns", 110}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 10000},
              {"idleTimeoutMs", 30000}}}};
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
        processes.push_back(std::make_unique<daemon_process>(name, "lautoka", directory,
                                                             platform.open_port(name)));
    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 0; number < 3; ++number)
    {
        worker::options settings;
        settings.service = "refill-orders";
        settings.slots = 6;
        settings.work_ms = 60;
        workers.push_back(std::make_unique<worker>(
            log, platform, "i-plain" + std::to_string(number), settings));
        workers.back()->open_port("daemons");
    }
    platform.put("op/config", configuration());
    for (auto& entry : workers)
        entry->join();
    for (auto& process : processes)
        process->start();
    for (auto& process : processes)
        if (!process->wait_until_ready(10000))
            return 2;
    sleep_ms(4000);
    if (with_trouble())
    {
        log.line("two workers of three fail 45 of 100 requests after they ran them");
        workers[0]->fail_percent(45);
        workers[1]->fail_percent(45);
    }
    std::map<std::string, int> answers;
    std::mutex mutex;
    std::vector<std::thread> callers;
    for (std::size_t caller = 0; caller < 4; ++caller)
        callers.emplace_back(
            [&, caller]
            {
                for (int number = 0; number < 50; ++number)
                {
                    // A client tries again after a promise that its booking has not run.
                    for (int attempt = 0; attempt < 2; ++attempt)
                    {
                        const std::string id = "book-" + std::to_string(caller) + "-" +
                                               std::to_string(number) + "-" +
                                               std::to_string(attempt);
                        const message answer = call(
                            processes[caller % daemons.size()]->port(), "POST", "/book/1",
                            "Host: desk.example\r\nX-Pollenhaven-Request-Id: " + id +
                                "\r\nX-Pollenhaven-Deadline-Ms: 4000\r\n",
                            "booking", 5000);
                        log.line("client: %s: %d%s", id.c_str(), answer.status,
                                 answer.field("X-Pollenhaven-Not-Executed").empty()
                                     ? ""
                                     : ", not executed");
                        const std::lock_guard lock(mutex);
                        answers[id] = answer.status;
                        if (answer.status != 503)
                            break;
                    }
                    sleep_ms(20);
                }
            });
    for (std::thread& caller : callers)
        caller.join();
    std::map<std::string, int> runs;
    std::map<std::string, int> bookings;
    for (auto& entry : workers)
        for (const run_event& run : entry->runs())
        {
            ++runs[run.request];
            ++bookings[run.request.substr(0, run.request.rfind('-'))];
        }
    int broken = 0;
    int served = 0;
    for (const auto& [id, status] : answers)
    {
        served += status == 200 ? 1 : 0;
        const bool is_promise =
            status == 503 || status == 429 || status == 408 || status == 421;
        if (!is_promise || runs[id] == 0)
            continue;
        ++broken;
        log.line("REFUSED is broken: %s was answered %d and has run", id.c_str(), status);
    }
    int doubled = 0;
    for (const auto& [booking, count] : bookings)
        doubled += count > 1 ? 1 : 0;
    log.line("%zu requests, %d served; answered as not run though they ran: %d; bookings that "
             "were made twice because of that: %d",
             answers.size(), served, broken, doubled);
    processes.clear();
    const bool usable = served > 50;
    std::printf("%s\n", broken > 0 ? "broken" : usable ? "held" : "not usable");
    std::fflush(stdout);
    std::_Exit(broken > 0 ? 1 : usable ? 0 : 2);
}
