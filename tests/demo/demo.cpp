// The demo: starts a deployment's stand-ins and daemons, sends a seeded load of callers,
// and compares what callers got with what the stand-ins saw.

#include "tests/harness/cluster.hpp"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <csignal>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

namespace
{

using namespace pollenhaven::harness;
using steady = std::chrono::steady_clock;

enum class caller_kind
{
    resident,
    ward,
    overnight,
    booking
};

struct planned_request
{
    double at_s = 0;
    caller_kind kind = caller_kind::resident;
    int adapter = 0;
    int tokens = 0;
    int number = 0;
};

struct outcome
{
    caller_kind kind = caller_kind::resident;
    bool served = false;
    bool wrong = false;
    int resent = 0;
    double first_token_s = 0;
    double total_s = 0;
};

struct demo_options
{
    bool kitamura = false;
    bool keep = false;
    unsigned int seed = 1;
    double seconds = 40;
    double rate = 5;
};

constexpr double popularity_skew = 1.1;
constexpr int most_resends = 20;
constexpr int entry_hold_requests = 10;

cluster_options deployment_options(const demo_options& given)
{
    cluster_options options;
    options.daemons = 8;
    options.engines = 9;
    options.service_workers = 3;
    options.adapters = 3000;
    options.slots = 8;
    options.step_ms = 20;
    options.lease_ms = 10000;
    if (!given.kitamura)
        return options;
    options.region = "doto";
    options.partner = "kitamura";
    options.service = "ledger";
    options.zones = {"shibecha", "nakashibetsu", "teshikaga"};
    options.milliloads_per_second = 3500;
    return options;
}

std::vector<double> popularity(int adapters)
{
    std::vector<double> weights;
    for (int rank = 1; rank <= adapters; ++rank)
        weights.push_back(1.0 / std::pow(rank, popularity_skew));
    return weights;
}

// The whole load, from the seed alone.
std::vector<planned_request> plan_load(const demo_options& given, int adapters)
{
    std::mt19937_64 random(given.seed);
    std::exponential_distribution<double> gap(given.rate);
    const std::vector<double> weights = popularity(adapters);
    std::discrete_distribution<int> adapter(weights.begin(), weights.end());
    std::uniform_int_distribution<int> short_answer(8, 40);
    std::uniform_int_distribution<int> long_answer(80, 160);
    std::uniform_int_distribution<int> kind(0, 9);
    std::vector<planned_request> load;
    for (double at = gap(random); at < given.seconds; at += gap(random))
    {
        planned_request request;
        request.at_s = at;
        request.number = static_cast<int>(load.size());
        request.adapter = adapter(random);
        const int drawn = kind(random);
        request.kind = drawn < 2   ? caller_kind::booking
                       : drawn < 3 ? caller_kind::ward
                                   : caller_kind::resident;
        if (request.adapter % 10 == 9 && request.kind != caller_kind::booking)
            request.kind = caller_kind::overnight;
        request.tokens = request.kind == caller_kind::resident ? short_answer(random)
                                                               : long_answer(random);
        load.push_back(request);
    }
    return load;
}

// Asks daemons in turn which address to use, and keeps the answer for a while, as callers
// do.
class address_book
{
public:
    explicit address_book(const cluster& deployment) : deployment_(deployment) {}

    std::string address()
    {
        const std::lock_guard lock(mutex_);
        if (!held_.empty() && uses_++ % entry_hold_requests != 0)
            return held_;
        const auto& daemons = deployment_.daemons;
        const std::string& asked = daemons[uses_ % daemons.size()].caller_address;
        const nlohmann::json entry = get(asked, "/v1/entry").parsed();
        if (entry.is_object() && entry["address"].is_string())
            held_ = entry["address"];
        return held_.empty() ? asked : held_;
    }

private:
    const cluster& deployment_;
    std::mutex mutex_;
    std::string held_;
    std::size_t uses_ = 0;
};

void send_booking(const cluster& deployment, address_book& book,
                  const planned_request& planned, outcome& result)
{
    const std::string key = "demo-" + std::to_string(planned.number);
    const std::string path = "/v1/services/" + deployment.options.service + "/entries";
    const http_answer answer = post(book.address(), path, "{\"entry\":\"" + key + "\"}",
                                    {{"Idempotency-Key", key}});
    result.served = answer.status == 200;
    result.wrong = result.served && answer.parsed().value("key", "") != key;
}

void send_question(const cluster& deployment, address_book& book,
                   const planned_request& planned, outcome& result)
{
    const std::string model = deployment.model(planned.adapter);
    const std::string prompt = "request " + std::to_string(planned.number);
    const stream_answer answer =
        stream_chat(book.address(), model, prompt, planned.tokens);
    result.served = answer.status == 200 && answer.done;
    result.wrong =
        result.served && answer.text != expected_text(model, prompt, planned.tokens);
    result.first_token_s = answer.first_token_s;
}

outcome send(const cluster& deployment, address_book& book,
             const planned_request& planned)
{
    const auto start = steady::now();
    outcome result;
    result.kind = planned.kind;
    for (; result.resent <= most_resends; ++result.resent)
    {
        const auto attempt = steady::now();
        if (planned.kind == caller_kind::booking)
            send_booking(deployment, book, planned, result);
        else
            send_question(deployment, book, planned, result);
        const double before = std::chrono::duration<double>(attempt - start).count();
        result.first_token_s += before;
        if (result.served)
            break;
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    result.total_s = std::chrono::duration<double>(steady::now() - start).count();
    return result;
}

std::vector<outcome> run_load(const cluster& deployment,
                              const std::vector<planned_request>& load)
{
    std::vector<outcome> outcomes(load.size());
    std::vector<std::thread> callers;
    std::atomic<std::size_t> ended{0};
    address_book book(deployment);
    const auto start = steady::now();
    for (const planned_request& planned : load)
    {
        std::this_thread::sleep_until(start +
                                      std::chrono::duration<double>(planned.at_s));
        callers.emplace_back(
            [&, planned]
            {
                outcomes[static_cast<std::size_t>(planned.number)] =
                    send(deployment, book, planned);
                ++ended;
            });
        if (planned.number % 50 == 49)
            std::cout << "  sent " << planned.number + 1 << " of " << load.size()
                      << ", answered " << ended << std::endl;
    }
    for (std::thread& caller : callers)
        caller.join();
    return outcomes;
}

double percentile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(last * part))];
}

void print_kind(const char* name, caller_kind kind, const std::vector<outcome>& outcomes)
{
    std::vector<double> first;
    std::vector<double> total;
    int resent = 0;
    for (const outcome& result : outcomes)
    {
        if (result.kind != kind)
            continue;
        first.push_back(result.first_token_s);
        total.push_back(result.total_s);
        resent += result.resent;
    }
    std::cout << std::left << std::setw(11) << name << std::right << std::setw(8)
              << first.size() << std::setw(9) << resent << std::fixed
              << std::setprecision(3);
    const std::vector<double>& shown = kind == caller_kind::booking ? total : first;
    for (const double part : {0.5, 0.95, 0.99})
        std::cout << std::setw(10) << percentile(shown, part);
    std::cout << '\n';
}

void print_table(const cluster& deployment, const std::vector<outcome>& outcomes)
{
    std::cout
        << "\ncallers      number   resent    p50 s     p95 s     p99 s   (first token; "
           "bookings: answer)\n";
    print_kind("residents", caller_kind::resident, outcomes);
    print_kind("wards", caller_kind::ward, outcomes);
    print_kind("overnight", caller_kind::overnight, outcomes);
    print_kind("bookings", caller_kind::booking, outcomes);
    const long tokens = deployment.engine_total("tokens");
    const long steps = std::max(1L, deployment.engine_total("busy_steps"));
    std::cout << "loads " << deployment.engine_total("loads") << ", evictions "
              << deployment.engine_total("unloads") << ", tokens " << tokens
              << ", tokens per busy step " << std::setprecision(2)
              << static_cast<double>(tokens) / static_cast<double>(steps)
              << ", key-value calls " << counts(deployment.key_value).dump() << '\n';
    const nlohmann::json shares =
        get(deployment.daemons[0].caller_address, "/v1/shares").parsed();
    for (const nlohmann::json& share : shares)
        std::cout << "share of " << share.value("partner", "") << ": "
                  << share.value("share", 0.0) << ", document "
                  << share.value("document_share", 0.0) << '\n';
}

struct verdict_counts
{
    std::size_t served = 0;
    std::size_t wrong = 0;
    std::size_t doubled = 0;
    std::size_t lost = 0;
};

// Compares what callers got with what the service stand-ins carried out.
verdict_counts count_outcomes(const cluster& deployment,
                              const std::vector<planned_request>& load,
                              const std::vector<outcome>& outcomes)
{
    verdict_counts counted;
    const std::map<std::string, int> carried_out = deployment.carried_out();
    for (const auto& [key, times] : carried_out)
        counted.doubled += times > 1 ? 1 : 0;
    for (const planned_request& planned : load)
    {
        const outcome& result = outcomes[static_cast<std::size_t>(planned.number)];
        counted.served += result.served ? 1 : 0;
        counted.wrong += result.wrong ? 1 : 0;
        const bool is_booking = planned.kind == caller_kind::booking;
        const bool done = carried_out.count("demo-" + std::to_string(planned.number)) > 0;
        counted.lost += is_booking && result.served && !done ? 1 : 0;
    }
    return counted;
}

int report(const cluster& deployment, const std::vector<planned_request>& load,
           const std::vector<outcome>& outcomes)
{
    print_table(deployment, outcomes);
    const verdict_counts counted = count_outcomes(deployment, load, outcomes);
    const long evicted = deployment.engine_total("evicted_in_use");
    if (evicted > 0)
        std::cout << "adapters evicted in use: " << evicted << '\n';
    std::cout << "demo: served " << counted.served << " of " << load.size()
              << " requests, wrong adapter " << counted.wrong << ", doubled "
              << counted.doubled << ", lost " << counted.lost << std::endl;
    const bool clean = counted.served == load.size() && counted.wrong == 0 &&
                       counted.doubled == 0 && counted.lost == 0 && evicted == 0;
    return clean ? 0 : 1;
}

int stop_daemons(cluster& deployment)
{
    int failures = 0;
    for (running_daemon& daemon : deployment.daemons)
        daemon.program->signal(SIGTERM);
    for (running_daemon& daemon : deployment.daemons)
    {
        const std::optional<int> code = daemon.program->wait(std::chrono::seconds(30));
        if (code.value_or(-1) == 0)
            continue;
        std::cout << daemon.id << " did not stop in order\n";
        ++failures;
    }
    return failures;
}

void keep_running(const cluster& deployment)
{
    const std::string& address = deployment.daemons[0].caller_address;
    const std::string& model = deployment.model(0);
    std::cout << "daemons:\n";
    for (const running_daemon& daemon : deployment.daemons)
        std::cout << "  " << daemon.id << " " << daemon.caller_address << '\n';
    std::cout << "try:\n  curl -s http://" << address << "/v1/entry\n  curl -sN http://"
              << address << "/v1/chat/completions -d '"
              << chat_body(model, "kapok?", 16, true) << "'\n  curl -s http://" << address
              << "/v1/services/" << deployment.options.service
              << "/entries -H 'Idempotency-Key: try-1' -d '{}'\nCtrl-C stops everything."
              << std::endl;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    int received = 0;
    sigwait(&signals, &received);
}

demo_options parse(int count, char** arguments)
{
    TCLAP::CmdLine line("Runs a whole pollenhaven deployment on this machine.", ' ',
                        "0.1.0");
    const TCLAP::SwitchArg kitamura("", "kitamura", "Kitamura's sizes, not Suva's.",
                                    line);
    const TCLAP::SwitchArg keep("", "keep", "Leave it running until interrupted.", line);
    const TCLAP::ValueArg<unsigned int> seed("", "seed", "Seed of the load.", false, 1,
                                             "N", line);
    const TCLAP::ValueArg<double> seconds("", "seconds", "Length of the load.", false, 40,
                                          "S", line);
    const TCLAP::ValueArg<double> rate("", "rate", "Requests a second.", false, 5, "R",
                                       line);
    line.parse(count, arguments);
    return {kitamura.getValue(), keep.getValue(), seed.getValue(), seconds.getValue(),
            rate.getValue()};
}

int run(const demo_options& given)
{
    // Programs that are started inherit this; daemons wait for these signals themselves.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    if (given.keep)
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    cluster deployment(deployment_options(given));
    std::cout << "started " << deployment.daemons.size() << " daemons, "
              << deployment.engines.size() << " engines, " << deployment.services.size()
              << " service workers, " << deployment.options.adapters << " adapters, seed "
              << given.seed << std::endl;
    deployment.wait_ready();
    if (given.keep)
    {
        keep_running(deployment);
        return stop_daemons(deployment);
    }
    const std::vector<planned_request> load =
        plan_load(given, deployment.options.adapters);
    const std::vector<outcome> outcomes = run_load(deployment, load);
    const int code = report(deployment, load, outcomes);
    return stop_daemons(deployment) > 0 ? 1 : code;
}

} // namespace

int main(int count, char** arguments)
{
    try
    {
        return run(parse(count, arguments));
    }
    catch (const std::exception& error)
    {
        std::cerr << "demo: " << error.what() << '\n';
        return 1;
    }
}
