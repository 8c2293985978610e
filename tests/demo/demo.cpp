// Runs a complete deployment on this machine, with daemons and test stand-ins for the
// platform as processes, sends it requests, and compares the responses that callers
// received with what the stand-ins recorded.

#include "tests/harness/fleet.hpp"

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
    chat,
    digest,
    booking
};

struct planned_request
{
    double at_s = 0;
    caller_kind kind = caller_kind::chat;
    std::string model;
    int tokens = 0;
    int number = 0;
};

struct outcome
{
    caller_kind kind = caller_kind::chat;
    bool served = false;
    bool wrong = false;
    int resent = 0;
    double first_token_s = 0;
};

struct demo_options
{
    bool kitamura = false;
    bool keep = false;
    unsigned int seed = 1;
    double seconds = 30;
    double rate = 8;
};

constexpr int adapters = 3000;
constexpr double popularity_skew = 1.2;
constexpr int most_resends = 20;
constexpr std::chrono::milliseconds resend_pause{500};
// Number of requests for which a caller uses one address of a daemon.
constexpr std::size_t address_uses = 10;

fleet_options deployment_options(const demo_options& given)
{
    fleet_options options;
    options.daemons = 8;
    options.engines = 9;
    options.booking_endpoints = 3;
    options.adapter_slots_per_engine = given.kitamura ? 36 : 30;
    options.stream_attempts = 2;
    return options;
}

// Generates all requests. The result depends only on the options.
std::vector<planned_request> plan_load(const demo_options& given)
{
    std::mt19937_64 random(given.seed);
    std::exponential_distribution<double> gap(given.rate);
    std::vector<double> weights;
    weights.reserve(adapters);
    for (int rank = 1; rank <= adapters; ++rank)
        weights.push_back(1.0 / std::pow(rank, popularity_skew));
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
        request.model = "base/a" + std::to_string(adapter(random));
        const int drawn = kind(random);
        request.kind = drawn < 2   ? caller_kind::booking
                       : drawn < 3 ? caller_kind::digest
                                   : caller_kind::chat;
        request.tokens = request.kind == caller_kind::chat ? short_answer(random)
                                                           : long_answer(random);
        load.push_back(request);
    }
    return load;
}

// Looks up the address of a daemon and caches it for `address_uses` requests, as callers
// do. The lookups go to all daemons in turn.
class address_book
{
public:
    explicit address_book(std::vector<std::string> known) : known_(std::move(known)) {}

    std::string address()
    {
        const std::lock_guard lock(mutex_);
        if (!held_.empty() && uses_++ % address_uses != 0)
            return held_;
        const std::string& asked = known_[uses_ % known_.size()];
        const nlohmann::json entry = get(asked, "/v1/entry").parsed();
        if (entry.is_object() && entry["address"].is_string())
            held_ = entry["address"];
        return held_.empty() ? asked : held_;
    }

private:
    std::vector<std::string> known_;
    std::mutex mutex_;
    std::string held_;
    std::size_t uses_ = 0;
};

std::string booking_key(const planned_request& planned)
{
    return "demo-" + std::to_string(planned.number);
}

void send_booking(const std::string& address, const planned_request& planned,
                  outcome& result)
{
    const std::string key = booking_key(planned);
    const http_response answer =
        post(address, "/v1/services/booking/entries", "{\"entry\":\"" + key + "\"}",
             {{"Host", fleet_host}, {"Idempotency-Key", key}});
    result.served = answer.status == 200;
    result.wrong = result.served && answer.parsed().value("key", "") != key;
}

void send_chat(const std::string& address, const planned_request& planned,
               outcome& result)
{
    const std::string prompt = "request " + std::to_string(planned.number);
    const stream_response answer =
        stream_chat(address, planned.model, prompt, planned.tokens);
    result.served = answer.status == 200 && answer.done;
    result.wrong = result.served &&
                   answer.text != expected_text(planned.model, prompt, planned.tokens);
    result.first_token_s = answer.first_token_s;
}

outcome send(address_book& book, const planned_request& planned)
{
    const auto start = steady::now();
    outcome result;
    result.kind = planned.kind;
    for (; result.resent <= most_resends; ++result.resent)
    {
        const std::chrono::duration<double> before = steady::now() - start;
        if (planned.kind == caller_kind::booking)
            send_booking(book.address(), planned, result);
        else
            send_chat(book.address(), planned, result);
        result.first_token_s += before.count();
        if (result.served)
            break;
        std::this_thread::sleep_for(resend_pause);
    }
    if (planned.kind == caller_kind::booking)
        result.first_token_s =
            std::chrono::duration<double>(steady::now() - start).count();
    return result;
}

std::vector<outcome> run_load(const fleet& deployment,
                              const std::vector<planned_request>& load)
{
    std::vector<outcome> outcomes(load.size());
    std::vector<std::jthread> callers;
    std::atomic<std::size_t> ended{0};
    address_book book(deployment.caller_addresses());
    const auto start = steady::now();
    for (const planned_request& planned : load)
    {
        std::this_thread::sleep_until(start +
                                      std::chrono::duration<double>(planned.at_s));
        callers.emplace_back(
            [&, planned]
            {
                outcomes[static_cast<std::size_t>(planned.number)] = send(book, planned);
                ++ended;
            });
        if (planned.number % 50 == 49)
            std::cout << "  sent " << planned.number + 1 << " of " << load.size()
                      << ", answered " << ended << std::endl;
    }
    callers.clear();
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
    int resent = 0;
    for (const outcome& result : outcomes)
    {
        if (result.kind != kind)
            continue;
        first.push_back(result.first_token_s);
        resent += result.resent;
    }
    std::cout << std::left << std::setw(11) << name << std::right << std::setw(8)
              << first.size() << std::setw(9) << resent << std::fixed
              << std::setprecision(3);
    for (const double part : {0.5, 0.95, 0.99})
        std::cout << std::setw(10) << percentile(first, part);
    std::cout << '\n';
}

struct promise_counts
{
    std::size_t served = 0;
    std::size_t wrong = 0;
    std::size_t doubled = 0;
    std::size_t lost = 0;
};

// Counts requests whose outcome breaks a guarantee: responses of a wrong adapter,
// bookings that were executed twice, and confirmed bookings that weren't executed.
promise_counts count_outcomes(const fleet& deployment,
                              const std::vector<planned_request>& load,
                              const std::vector<outcome>& outcomes)
{
    promise_counts counted;
    const std::map<std::string, int> carried_out = deployment.booking_executions();
    for (const auto& [key, times] : carried_out)
        counted.doubled += times > 1 ? 1 : 0;
    for (const planned_request& planned : load)
    {
        const outcome& result = outcomes[static_cast<std::size_t>(planned.number)];
        counted.served += result.served ? 1 : 0;
        counted.wrong += result.wrong ? 1 : 0;
        const bool is_booking = planned.kind == caller_kind::booking;
        const bool done = carried_out.contains(booking_key(planned));
        counted.lost += is_booking && result.served && !done ? 1 : 0;
    }
    return counted;
}

int report(const fleet& deployment, const std::vector<planned_request>& load,
           const std::vector<outcome>& outcomes)
{
    std::cout << "\ncallers      number   resent    p50 s     p95 s     p99 s   (first "
                 "token; bookings: answer)\n";
    print_kind("chats", caller_kind::chat, outcomes);
    print_kind("digests", caller_kind::digest, outcomes);
    print_kind("bookings", caller_kind::booking, outcomes);
    std::size_t orders = 0;
    for (int engine = 0; engine < 9; ++engine)
        orders += deployment.received_orders(engine).size();
    const promise_counts counted = count_outcomes(deployment, load, outcomes);
    std::cout << "orders to engines " << orders << ", engines overfilled "
              << deployment.adapter_slot_overflows() << "\ndemo: served "
              << counted.served << " of " << load.size() << " requests, wrong adapter "
              << counted.wrong << ", doubled " << counted.doubled << ", lost "
              << counted.lost << std::endl;
    const bool clean = counted.served == load.size() && counted.wrong == 0 &&
                       counted.doubled == 0 && counted.lost == 0 &&
                       deployment.adapter_slot_overflows() == 0;
    return clean ? 0 : 1;
}

int stop_daemons(fleet& deployment)
{
    int failures = 0;
    for (int number = 0; number < deployment.daemon_count(); ++number)
        deployment.daemon(number).signal(SIGTERM);
    for (int number = 0; number < deployment.daemon_count(); ++number)
    {
        const std::optional<int> code =
            deployment.daemon(number).wait(std::chrono::seconds(30));
        if (code.value_or(-1) == 0)
            continue;
        std::cout << "daemon-" << number << " did not stop in order\n";
        ++failures;
    }
    return failures;
}

void keep_running(const fleet& deployment)
{
    const std::string& address = deployment.caller_address(0);
    const std::string curl =
        std::string("  curl -sN -H 'Host: ") + fleet_host + "' http://" + address;
    std::cout << "daemons, with the addresses for callers and for operators:\n";
    for (int number = 0; number < deployment.daemon_count(); ++number)
        std::cout << "  " << deployment.caller_address(number) << "  "
                  << deployment.operator_address(number) << '\n';
    std::cout << "try:\n"
              << curl << "/v1/entry\n"
              << curl << "/v1/chat/completions -d '"
              << chat_body("base/a1", "kapok?", 16, true) << "'\n"
              << curl
              << "/v1/services/booking/entries -H 'Idempotency-Key: try-1' -d '{}'\n"
              << "  build/main/pollenhavenctl holders --daemon "
              << deployment.operator_address(0)
              << "\n  build/main/pollenhavenctl config show --store "
              << deployment.store_address() << "\nCtrl-C stops everything." << std::endl;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    int received = 0;
    sigwait(&signals, &received);
}

demo_options parse(int count, char** arguments)
{
    TCLAP::CmdLine line("Runs a complete pollenhaven deployment on this machine.", ' ',
                        "0.1.0");
    const TCLAP::SwitchArg kitamura("", "kitamura",
                                    "Use Kitamura's sizes instead of Suva's.", line);
    const TCLAP::SwitchArg keep("", "keep",
                                "Keep the deployment running until interrupted.", line);
    const TCLAP::ValueArg<unsigned int> seed("", "seed", "Seed of the random requests.",
                                             false, 1, "N", line);
    const TCLAP::ValueArg<double> seconds(
        "", "seconds", "Duration of the load in seconds.", false, 30, "S", line);
    const TCLAP::ValueArg<double> rate("", "rate", "Requests per second.", false, 8, "R",
                                       line);
    line.parse(count, arguments);
    return {kitamura.getValue(), keep.getValue(), seed.getValue(), seconds.getValue(),
            rate.getValue()};
}

int run(const demo_options& given)
{
    // Child processes inherit the blocked signal; the daemons unblock the signals that
    // they handle.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    if (given.keep)
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    fleet deployment(deployment_options(given));
    std::cout << "started " << deployment.daemon_count() << " daemons, 9 engines, "
              << adapters << " adapters, seed " << given.seed << std::endl;
    if (given.keep)
    {
        keep_running(deployment);
        return stop_daemons(deployment);
    }
    const std::vector<planned_request> load = plan_load(given);
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
