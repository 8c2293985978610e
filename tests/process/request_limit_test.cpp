// Endpoints that state a limit on the requests from all daemons together.

#define BOOST_TEST_MODULE request_limits
#include "tests/process/checks.hpp"

#include <atomic>
#include <cmath>
#include <thread>

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

using arrival_times = std::vector<long long>;

constexpr int adapters = 4;
constexpr milliseconds request_pause{25};
// The span over which the limit is checked, and the time after which it must hold.
constexpr long long window_ms = 4000;
constexpr long long settling_ms = 3000;

// Sends chats through every daemon, one after the other on a thread for each, until it is
// destroyed.
class chat_traffic
{
public:
    explicit chat_traffic(const fleet& deployment) : deployment_(deployment)
    {
        for (int daemon = 0; daemon < deployment.daemon_count(); ++daemon)
            threads_.emplace_back([this, daemon] { run(daemon); });
    }
    ~chat_traffic() { stop(); }
    chat_traffic(const chat_traffic&) = delete;
    chat_traffic& operator=(const chat_traffic&) = delete;

    void stop()
    {
        stop_ = true;
        for (std::thread& thread : threads_)
            if (thread.joinable())
                thread.join();
    }
    int sent() const { return sent_; }
    int served() const { return served_; }

private:
    void run(int daemon)
    {
        for (int turn = 0; !stop_; ++turn)
        {
            const std::string id = std::to_string(daemon) + "-" + std::to_string(turn);
            const std::string adapter = "a" + std::to_string(turn % adapters);
            ++sent_;
            if (deployment_.send_platform_chat(daemon, id, adapter).status == 200)
                ++served_;
            std::this_thread::sleep_for(request_pause);
        }
    }

    const fleet& deployment_;
    std::atomic<bool> stop_{false};
    std::atomic<int> sent_{0};
    std::atomic<int> served_{0};
    std::vector<std::thread> threads_;
};

long long wall_clock_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

arrival_times arrivals_at(const fleet& deployment, int engine)
{
    return deployment.engine_counts(engine)["arrivals"].get<arrival_times>();
}

// The largest number of requests in one window that ends at `from` or later.
int max_in_window(const arrival_times& arrivals, long long from)
{
    int most = 0;
    for (const long long end : arrivals)
    {
        if (end < from)
            continue;
        const auto in_window = [&](long long at)
        { return at > end - window_ms && at <= end; };
        most = std::max(most, static_cast<int>(std::count_if(arrivals.begin(),
                                                             arrivals.end(), in_window)));
    }
    return most;
}

// What the limit allows in one window, and one request whose arrival crosses the
// window's edge.
int allowed_in_window(double per_second)
{
    return static_cast<int>(std::floor(per_second * window_ms / 1000)) + 1;
}

void state_limit(const fleet& deployment, int engine, const std::string& limit)
{
    control_standin(deployment.engine_address(engine), {{"limit", limit}});
}

} // namespace

// Guards against daemons that send an engine more than the limit that it states, each of
// them or all together, and against refusing callers whom another engine can serve.
BOOST_AUTO_TEST_CASE(all_daemons_together_keep_to_the_limit_that_an_engine_states)
{
    fleet_options options;
    options.daemons = 4;
    options.engines = 2;
    const fleet deployment(options);
    chat_traffic traffic(deployment);
    std::this_thread::sleep_for(seconds(3));
    const long long stated_at = wall_clock_ms();
    state_limit(deployment, 0, "2.5");
    state_limit(deployment, 1, "200");
    std::this_thread::sleep_for(seconds(9));
    traffic.stop();
    const arrival_times limited = arrivals_at(deployment, 0);
    BOOST_TEST(max_in_window(limited, stated_at + settling_ms) <= allowed_in_window(2.5));
    BOOST_TEST(traffic.served() >= traffic.sent() * 9 / 10,
               traffic.served() << " of " << traffic.sent() << " served");
}
