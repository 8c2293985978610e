// Requests whose transfer coding isn't `chunked` at the end, with the text of another
// request in their body.
#include "../standins/worker.h"

using namespace review;

namespace
{

const std::vector<std::string> daemons{"frontend-lautoka-1", "frontend-nadi-1"};

json configuration()
{
    return {{"version", 3},
            {"routes", {route("book", "/book/", "non_idempotent", "refill-orders", 2000, 300, 1, 2)}},
            {"services", {{{"name", "refill-orders"}, {"maxConns", 110}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 10000},
              {"idleTimeoutMs", 30000}}}};
}

std::string request_text(const std::string& id, const std::string& framing,
                         const std::string& body)
{
    return "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nX-Pollenhaven-Request-Id: " + id +
           "\r\nX-Pollenhaven-Deadline-Ms: 4000\r\n" + framing + "\r\n" + body;
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
        for (const std::string& name : daemons)
            workers.back()->open_port(name);
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

    const std::vector<std::string> codings{"xchunked", "identity", "chunked, identity"};
    std::set<std::string> sent;
    std::set<std::string> inner_ids;
    int answered = 0;
    for (int turn = 0; turn < 10; ++turn)
        for (std::size_t at = 0; at < processes.size(); ++at)
            for (std::size_t coding = 0; coding < codings.size(); ++coding)
            {
                const std::string name = std::to_string(turn) + "-" + std::to_string(at) +
                                         "-" + std::to_string(coding);
                const std::string outer = "outer-" + name;
                const std::string inner = "inner-" + name;
                const std::string body =
                    request_text(inner, "Content-Length: 4\r\n", "book");
                sent.insert(outer);
                inner_ids.insert(inner);
                char size[16];
                snprintf(size, sizeof size, "%zx\r\n", body.size());
                const std::string text =
                    with_trouble()
                        ? request_text(outer, "Transfer-Encoding: " + codings[coding] + "\r\n",
                                       body)
                        : request_text(outer, "Transfer-Encoding: chunked\r\n",
                                       size + body + "\r\n0\r\n\r\n");
                const connection_ptr peer = connect_to(processes[at]->port());
                if (!peer || !peer->send_all(text))
                    continue;
                log.line("client sends %s to %s, Transfer-Encoding: %s, its body is the text "
                         "of %s",
                         outer.c_str(), daemons[at].c_str(),
                         with_trouble() ? codings[coding].c_str() : "chunked", inner.c_str());
                message answer;
                int number = 0;
                while (read_message(*peer, answer, true, 400))
                {
                    ++answered;
                    log.line("client gets answer %d on that connection: %d, request id %s",
                             ++number, answer.status,
                             answer.field("X-Pollenhaven-Request-Id").c_str());
                }
            }
    int broken = 0;
    int runs = 0;
    for (auto& entry : workers)
        for (const run_event& run : entry->runs())
        {
            ++runs;
            if (!inner_ids.contains(run.request))
                continue;
            ++broken;
            log.line("UNASKED is broken: %s ran %s, the text of which was the body of another "
                     "request",
                     run.worker.c_str(), run.request.c_str());
        }
    log.line("%zu requests, %d answers, %d runs, of which were smuggled: %d", sent.size(),
             answered, runs, broken);
    processes.clear();
    const bool usable = answered >= static_cast<int>(sent.size());
    std::printf("%s\n", broken > 0 ? "broken" : usable ? "held" : "not usable");
    std::fflush(stdout);
    std::_Exit(broken > 0 ? 1 : usable ? 0 : 2);
}
