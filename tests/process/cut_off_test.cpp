// Daemons that have lost their links to all endpoints, while callers, the store and the
// other daemons still reach them.

#define BOOST_TEST_MODULE cut_off_daemons
#include "tests/process/checks.hpp"

#include <atomic>
#include <set>
#include <thread>

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// The time after which callers of a daemon must be served again.
constexpr seconds stability{3};
constexpr milliseconds request_pause{15};
constexpr int adapters = 3;

fleet_options links_of_their_own()
{
    fleet_options options;
    options.daemons = 3;
    options.engines = 3;
    options.proxy_links = true;
    return options;
}

// What became of the first attempts of callers.
struct attempt_counts
{
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
};

// Sends chats and plain requests to each daemon, each from a caller of its own, and
// counts what was served by the daemons that are cut off and by the others.
class attempts
{
public:
    attempts(const fleet& deployment, std::set<int> cut_off)
        : deployment_(deployment), cut_off_(std::move(cut_off))
    {
        for (int daemon = 0; daemon < deployment.daemon_count(); ++daemon)
        {
            threads_.emplace_back([this, daemon] { run(daemon, true); });
            threads_.emplace_back([this, daemon] { run(daemon, false); });
        }
    }
    ~attempts() { stop(); }
    attempts(const attempts&) = delete;
    attempts& operator=(const attempts&) = delete;

    void count_from_now() { counts_ = true; }
    void stop()
    {
        stop_ = true;
        for (std::thread& thread : threads_)
            if (thread.joinable())
                thread.join();
    }
    double share_of_cut_off() const { return share(at_cut_off_); }
    double share_of_others() const { return share(at_others_); }
    int failed() const
    {
        return at_cut_off_.sent - at_cut_off_.served + at_others_.sent -
               at_others_.served;
    }
    int sent() const { return at_cut_off_.sent + at_others_.sent; }

private:
    static double share(const attempt_counts& counts)
    {
        return counts.sent == 0 ? 1 : static_cast<double>(counts.served) / counts.sent;
    }

    void run(int daemon, bool is_chat)
    {
        for (int turn = 0; !stop_; ++turn)
        {
            const std::string id = std::to_string(daemon) + (is_chat ? "-chat-" : "-") +
                                   std::to_string(turn);
            const bool is_counted = counts_;
            const http_response response =
                is_chat ? deployment_.send_platform_chat(
                              daemon, id, "a" + std::to_string(turn % adapters))
                        : deployment_.send_platform_request(daemon, id);
            attempt_counts& counts = cut_off_.contains(daemon) ? at_cut_off_ : at_others_;
            if (is_counted)
            {
                ++counts.sent;
                counts.served += response.status == 200 ? 1 : 0;
            }
            std::this_thread::sleep_for(request_pause);
        }
    }

    const fleet& deployment_;
    std::set<int> cut_off_;
    std::atomic<bool> stop_{false};
    std::atomic<bool> counts_{false};
    attempt_counts at_cut_off_;
    attempt_counts at_others_;
    std::vector<std::thread> threads_;
};

// Cuts daemons off from all endpoints while callers send requests.
void check_callers_are_served(const fleet& deployment, const std::set<int>& cut_off,
                              const std::string& mode)
{
    attempts callers(deployment, cut_off);
    std::this_thread::sleep_for(seconds(1));
    for (const int daemon : cut_off)
        deployment.set_links(daemon, mode);
    std::this_thread::sleep_for(stability);
    callers.count_from_now();
    std::this_thread::sleep_for(seconds(4));
    callers.stop();
    for (const int daemon : cut_off)
        deployment.set_links(daemon, "pass");
    // The bounds are those of the users' rule, applied to each of its conditions.
    BOOST_TEST(callers.share_of_cut_off() >= callers.share_of_others() * 2 / 3,
               mode << ": served " << callers.share_of_cut_off()
                    << " at cut-off daemons, " << callers.share_of_others()
                    << " at the others");
    BOOST_TEST(callers.failed() <= 10 + callers.sent() / 50,
               mode << ": " << callers.failed() << " of " << callers.sent()
                    << " first attempts failed");
    BOOST_TEST(deployment.max_executions_per_request() <= 1);
}

} // namespace

// Guards against callers who are refused by a daemon that reaches no endpoint, although
// other daemons reach all of them (RECOVER): connections hang.
BOOST_AUTO_TEST_CASE(callers_of_daemons_with_hanging_links_are_served)
{
    const fleet deployment(links_of_their_own());
    check_callers_are_served(deployment, {1, 2}, "unreachable");
}

// As above, with connections that are reset and refused.
BOOST_AUTO_TEST_CASE(callers_of_daemons_with_refused_links_are_served)
{
    const fleet deployment(links_of_their_own());
    check_callers_are_served(deployment, {0}, "refuse");
}

// As above, with open connections that work on while new ones are refused.
BOOST_AUTO_TEST_CASE(callers_of_daemons_that_get_no_new_connections_are_served)
{
    const fleet deployment(links_of_their_own());
    check_callers_are_served(deployment, {1}, "refuse_new");
}
