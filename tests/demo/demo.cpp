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
    double send_time_s = 0;
    caller_kind kind = caller_kind::chat;
    std::string model;
    int tokens = 0;
    int number = 0;
};

struct request_outcome
{
    caller_kind kind = caller_kind::chat;
    bool served = false;
    bool wrong_response = false;
    int retries = 0;
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

constexpr int adapter_count = 3000;
constexpr double popularity_skew = 1.2;
constexpr int max_retries = 20;
constexpr std::chrono::milliseconds retry_delay{500};
// Number of requests that callers send to one address before they look up another.
constexpr std::size_t uses_per_lookup = 10;

fleet_options deployment_options(const demo_options& demo)
{
    fleet_options options;
    options.daemons = 8;
    options.engines = 9;
    options.booking_endpoints = 3;
    options.adapter_slots_per_engine = demo.kitamura ? 36 : 30;
    options.stream_attempts = 2;
    return options;
}

// Generates all requests. The result depends only on the options.
std::vector<planned_request> plan_requests(const demo_options& demo)
{
    std::mt19937_64 random(demo.seed);
    std::exponential_distribution<double> interval(demo.rate);
    std::vector<double> weights;
    weights.reserve(adapter_count);
    for (int rank = 1; rank <= adapter_count; ++rank)
        weights.push_back(1.0 / std::pow(rank, popularity_skew));
    std::discrete_distribution<int> adapter(weights.begin(), weights.end());
    std::uniform_int_distribution<int> short_output(8, 40);
    std::uniform_int_distribution<int> long_output(80, 160);
    std::uniform_int_distribution<int> kind(0, 9);
    std::vector<planned_request> requests;
    for (double at = interval(random); at < demo.seconds; at += interval(random))
    {
        planned_request request;
        request.send_time_s = at;
        request.number = static_cast<int>(requests.size());
        request.model = "base/a" + std::to_string(adapter(random));
        const int random_kind = kind(random);
        request.kind = random_kind < 2   ? caller_kind::booking
                       : random_kind < 3 ? caller_kind::digest
                                         : caller_kind::chat;
        request.tokens = request.kind == caller_kind::chat ? short_output(random)
                                                           : long_output(random);
        requests.push_back(request);
    }
    return requests;
}

// Looks up the address of a daemon and caches it for `uses_per_lookup` requests, as
// callers do. Successive lookups go to different daemons.
class address_cache
{
public:
    explicit address_cache(std::vector<std::string> daemons)
        : daemons_(std::move(daemons))
    {
    }

    std::string address()
    {
        const std::lock_guard lock(mutex_);
        if (!cached_.empty() && uses_++ % uses_per_lookup != 0)
            return cached_;
        const std::string& daemon = daemons_[uses_ % daemons_.size()];
        const nlohmann::json entry = get(daemon, "/v1/entry").parsed();
        if (entry.is_object() && entry["address"].is_string())
            cached_ = entry["address"];
        return cached_.empty() ? daemon : cached_;
    }

private:
    std::vector<std::string> daemons_;
    std::mutex mutex_;
    std::string cached_;
    std::size_t uses_ = 0;
};

std::string booking_key(const planned_request& planned)
{
    return "demo-" + std::to_string(planned.number);
}

void send_booking(const std::string& address, const planned_request& planned,
                  request_outcome& result)
{
    const std::string key = booking_key(planned);
    const http_response response =
        post(address, "/v1/services/booking/entries", "{\"entry\":\"" + key + "\"}",
             {{"Host", fleet_host}, {"Idempotency-Key", key}});
    result.served = response.status == 200;
    result.wrong_response = result.served && response.parsed().value("key", "") != key;
}

void send_chat(const std::string& address, const planned_request& planned,
               request_outcome& result)
{
    const std::string prompt = "request " + std::to_string(planned.number);
    const stream_response response =
        stream_chat(address, planned.model, prompt, planned.tokens);
    result.served = response.status == 200 && response.done;
    result.wrong_response =
        result.served &&
        response.text != expected_text(planned.model, prompt, planned.tokens);
    result.first_token_s = response.first_token_s;
}

request_outcome send(address_cache& addresses, const planned_request& planned)
{
    const auto start = steady::now();
    request_outcome result;
    result.kind = planned.kind;
    for (; result.retries <= max_retries; ++result.retries)
    {
        const std::chrono::duration<double> elapsed = steady::now() - start;
        if (planned.kind == caller_kind::booking)
            send_booking(addresses.address(), planned, result);
        else
            send_chat(addresses.address(), planned, result);
        result.first_token_s += elapsed.count();
        if (result.served)
            break;
        std::this_thread::sleep_for(retry_delay);
    }
    if (planned.kind == caller_kind::booking)
        result.first_token_s =
            std::chrono::duration<double>(steady::now() - start).count();
    return result;
}

std::vector<request_outcome> send_requests(const fleet& deployment,
                                           const std::vector<planned_request>& requests)
{
    std::vector<request_outcome> outcomes(requests.size());
    std::vector<std::jthread> callers;
    std::atomic<std::size_t> ended{0};
    address_cache addresses(deployment.caller_addresses());
    const auto start = steady::now();
    for (const planned_request& planned : requests)
    {
        std::this_thread::sleep_until(start +
                                      std::chrono::duration<double>(planned.send_time_s));
        callers.emplace_back(
            [&, planned]
            {
                outcomes[static_cast<std::size_t>(planned.number)] =
                    send(addresses, planned);
                ++ended;
            });
        if (planned.number % 50 == 49)
            std::cout << "  sent " << planned.number + 1 << " of " << requests.size()
                      << ", answered " << ended << std::endl;
    }
    callers.clear();
    return outcomes;
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(last * fraction))];
}

void print_kind(const char* name, caller_kind kind,
                const std::vector<request_outcome>& outcomes)
{
    std::vector<double> first_token_times;
    int retries = 0;
    for (const request_outcome& result : outcomes)
    {
        if (result.kind != kind)
            continue;
        first_token_times.push_back(result.first_token_s);
        retries += result.retries;
    }
    std::cout << std::left << std::setw(11) << name << std::right << std::setw(8)
              << first_token_times.size() << std::setw(9) << retries << std::fixed
              << std::setprecision(3);
    for (const double fraction : {0.5, 0.95, 0.99})
        std::cout << std::setw(10) << percentile(first_token_times, fraction);
    std::cout << '\n';
}

struct guarantee_counts
{
    std::size_t served = 0;
    std::size_t wrong_response = 0;
    std::size_t executed_twice = 0;
    std::size_t lost = 0;
};

// Counts the served requests, and outcomes that break a guarantee: wrong responses,
// bookings that were executed twice, and confirmed bookings that weren't executed.
guarantee_counts count_outcomes(const fleet& deployment,
                                const std::vector<planned_request>& requests,
                                const std::vector<request_outcome>& outcomes)
{
    guarantee_counts counts;
    const std::map<std::string, int> executions = deployment.booking_executions();
    for (const auto& [key, times] : executions)
        counts.executed_twice += times > 1 ? 1 : 0;
    for (const planned_request& planned : requests)
    {
        const request_outcome& result =
            outcomes[static_cast<std::size_t>(planned.number)];
        counts.served += result.served ? 1 : 0;
        counts.wrong_response += result.wrong_response ? 1 : 0;
        const bool is_booking = planned.kind == caller_kind::booking;
        const bool done = executions.contains(booking_key(planned));
        counts.lost += is_booking && result.served && !done ? 1 : 0;
    }
    return counts;
}

int report(const fleet& deployment, const std::vector<planned_request>& requests,
           const std::vector<request_outcome>& outcomes)
{
    std::cout << "\ncallers      number   resent    p50 s     p95 s     p99 s   (first "
                 "token; bookings: answer)\n";
    print_kind("chats", caller_kind::chat, outcomes);
    print_kind("digests", caller_kind::digest, outcomes);
    print_kind("bookings", caller_kind::booking, outcomes);
    std::size_t orders = 0;
    for (int engine = 0; engine < 9; ++engine)
        orders += deployment.received_orders(engine).size();
    const guarantee_counts counts = count_outcomes(deployment, requests, outcomes);
    std::cout << "orders to engines " << orders << ", engines overfilled "
              << deployment.adapter_slot_overflows() << "\ndemo: served " << counts.served
              << " of " << requests.size() << " requests, wrong adapter "
              << counts.wrong_response << ", doubled " << counts.executed_twice
              << ", lost " << counts.lost << std::endl;
    const bool passed = counts.served == requests.size() && counts.wrong_response == 0 &&
                        counts.executed_twice == 0 && counts.lost == 0 &&
                        deployment.adapter_slot_overflows() == 0;
    return passed ? 0 : 1;
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
        std::cout << "daemon-" << number << " did not exit with code 0 within 30 s\n";
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

int run(const demo_options& demo)
{
    // SIGINT is blocked so that sigwait() in keep_running() receives it. Child processes
    // inherit the blocked signal, so Ctrl-C does not stop the daemons; stop_daemons()
    // sends them SIGTERM.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    if (demo.keep)
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    fleet deployment(deployment_options(demo));
    std::cout << "started " << deployment.daemon_count() << " daemons, 9 engines, "
              << adapter_count << " adapters, seed " << demo.seed << std::endl;
    if (demo.keep)
    {
        keep_running(deployment);
        return stop_daemons(deployment);
    }
    const std::vector<planned_request> requests = plan_requests(demo);
    const std::vector<request_outcome> outcomes = send_requests(deployment, requests);
    const int code = report(deployment, requests, outcomes);
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
