// A late answer of a peer that stood still brings a worker back that had left.
#include "../standins/worker.h"

using namespace review;

namespace
{

constexpr double drain_ms = 2000;
constexpr double stability_ms = 3000;
constexpr int rounds = 4;

const std::string asker = "frontend-lautoka-1";
const std::string peer_name = "frontend-lautoka-2";

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
             {route("chat", "/chat/", "streaming", "refill-assist", 15000, 600, 1, 0),
              route("book", "/book/", "non_idempotent", "refill-orders", 2000, 300, 1, 2)}},
            {"services",
             {{{"name", "refill-assist"}, {"maxConns", 370}, {"engine", engine}},
              {{"name", "refill-orders"}, {"maxConns", 110}}}},
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
    daemon_process first(asker, "lautoka", directory, platform.open_port(asker));
    daemon_process second(peer_name, "lautoka", directory, platform.open_port(peer_name));
    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 0; number < 9; ++number)
    {
        worker::options settings;
        settings.is_engine = number < 6;
        settings.service = settings.is_engine ? "refill-assist" : "refill-orders";
        settings.slots = settings.is_engine ? 64 : 6;
        settings.work_ms = settings.is_engine ? 40 : 60;
        settings.events = 100;
        settings.event_ms = 30;
        workers.push_back(std::make_unique<worker>(
            log, platform, (settings.is_engine ? "i-engine" : "i-plain") + std::to_string(number),
            settings));
        // Both daemons use the same address.
        workers.back()->open_port("daemons");
    }
    platform.put("op/config", configuration());
    for (auto& entry : workers)
    {
        entry->join();
        sleep_ms(120);
    }
    first.start();
    second.start();
    if (!first.wait_until_ready(10000) || !second.wait_until_ready(10000))
        return 2;
    std::atomic<bool> stop{false};
    std::atomic<int> booked{0};
    // Bookings at the first daemon all the time.
    std::thread bookings(
        [&]
        {
            for (int number = 1; !stop; ++number)
            {
                const std::string id = "book-" + std::to_string(number);
                const message answer = call(first.port(), "POST", "/book/1",
                                            "Host: desk.example\r\nX-Pollenhaven-Request-Id: " +
                                                id + "\r\nX-Pollenhaven-Deadline-Ms: 4000\r\n",
                                            "x", 5000);
                booked += answer.status == 200 ? 1 : 0;
                if (answer.status != 200)
                    log.line("client: %s: %d", id.c_str(), answer.status);
                sleep_ms(100);
            }
        });
    sleep_ms(7000);

    int broken = 0;
    int cut_streams = 0;
    int whole_streams = 0;
    for (int turn = 0; turn < rounds && broken == 0; ++turn)
    {
        worker& leaving = *workers[static_cast<std::size_t>(5 - turn)];
        log.line("round %d", turn + 1);
        const double begin = now_ms();
        const auto wait_until = [&](double at) { sleep_ms(begin + at - now_ms()); };
        if (with_trouble())
        {
            log.line("%s is cut off from the store", asker.c_str());
            platform.cut(asker, true);
            wait_until(800);
            log.line("%s stands still", peer_name.c_str());
            second.signal(SIGSTOP);
        }
        wait_until(3000);
        if (with_trouble())
            log.line("%s reaches the store again", asker.c_str());
        platform.cut(asker, false);
        wait_until(4600);
        leaving.leave();
        const double left_at = now_ms();
        log.line("%s leaves: the store has removed its entry; it serves on for 4.3 s",
                 leaving.id().c_str());
        wait_until(7000);
        if (with_trouble())
            log.line("%s goes on", peer_name.c_str());
        second.signal(SIGCONT);
        wait_until(7600);
        // Chats at the first daemon, begun 3 s after the removal.
        std::vector<std::thread> chats;
        std::atomic<int> cut{0};
        std::atomic<int> whole{0};
        for (int chat = 0; chat < 12; ++chat)
            chats.emplace_back(
                [&, chat]
                {
                    const std::string id =
                        "chat-" + std::to_string(turn + 1) + "-" + std::to_string(chat);
                    const message answer =
                        call(first.port(), "POST", "/chat/1",
                             "Host: desk.example\r\nX-Pollenhaven-Request-Id: " + id +
                                 "\r\nX-Pollenhaven-Deadline-Ms: 15000\r\n"
                                 "X-Pollenhaven-Model: m0\r\n"
                                 "X-Pollenhaven-Token-Count: 300,500\r\n",
                             "x", 16000);
                    ++(answer.status == 200 && answer.complete ? whole : cut);
                    log.line("client: %s: %d, %zu bytes, %s", id.c_str(), answer.status,
                             answer.body.size(), answer.complete ? "whole" : "broken off");
                });
        wait_until(8900);
        log.line("%s ends", leaving.id().c_str());
        leaving.exit();
        for (std::thread& chat : chats)
            chat.join();
        cut_streams += cut;
        whole_streams += whole;
        for (const run_event& run : leaving.runs())
            if (run.at > left_at + drain_ms && run.at > begin + 3000 + stability_ms)
            {
                ++broken;
                log.line("DRAIN is broken: %s ran %s at %.3f s, %.0f ms after its entry was "
                         "removed",
                         run.worker.c_str(), run.request.c_str(), run.at / 1000,
                         run.at - left_at);
            }
        sleep_ms(2000);
    }
    stop = true;
    bookings.join();
    log.line("%d bookings; streams: %d whole, %d broken off; requests that reached a worker that "
             "had left: %d",
             booked.load(), whole_streams, cut_streams, broken);
    first.kill();
    second.kill();
    const bool usable = booked > 50 && whole_streams > 0;
    std::printf("%s\n", broken > 0 ? "broken" : usable ? "held" : "not usable");
    std::fflush(stdout);
    std::_Exit(broken > 0 ? 1 : usable ? 0 : 2);
}
