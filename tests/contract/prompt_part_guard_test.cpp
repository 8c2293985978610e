#include "core/plugin_registry.hpp"
#include "servers/gateway/prompt_part_guard.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <thread>

using namespace pollenhaven;

namespace
{

// The users' bound within which all daemons must agree.
constexpr milliseconds stability_time{3000};

// The guards of several daemons, which lose a share of their messages to each other.
struct guards_fixture
{
    struct guarded_daemon
    {
        gateway_context context;
        prompt_part_guard guard;

        guarded_daemon(const gateway_settings& settings, guards_fixture& fleet)
            : context(settings,
                      plugin_registry<platform_dialect>::instance().make("fleet", "")),
              guard(
                  context,
                  [this, &fleet](const fleet_message& message)
                  { fleet.send(*this, message, fleet.daemons.size()); },
                  [this, &fleet](const fleet_message& message)
                  { fleet.send(*this, message, 3); })
        {
        }
    };

    std::vector<std::unique_ptr<guarded_daemon>> daemons;
    std::mt19937 random{7};
    double loss = 0;
    std::size_t bytes_sent = 0;
    std::size_t longest_message = 0;

    void add_daemon()
    {
        gateway_settings settings;
        settings.id = {"daemon-" + std::to_string(daemons.size())};
        daemons.push_back(std::make_unique<guarded_daemon>(settings, *this));
        for (const std::unique_ptr<guarded_daemon>& one : daemons)
            for (const std::unique_ptr<guarded_daemon>& other : daemons)
                one->context.fleet.members[other->context.settings.id].leased = true;
    }

    void send(const guarded_daemon& sender, const fleet_message& message,
              std::size_t peers)
    {
        std::vector<guarded_daemon*> receivers;
        for (const std::unique_ptr<guarded_daemon>& other : daemons)
            if (other.get() != &sender)
                receivers.push_back(other.get());
        std::shuffle(receivers.begin(), receivers.end(), random);
        receivers.resize(std::min(peers, receivers.size()));
        const std::string bytes = encode(message);
        bytes_sent += bytes.size();
        longest_message = std::max(longest_message, bytes.size());
        for (guarded_daemon* receiver : receivers)
            if (std::bernoulli_distribution(1 - loss)(random))
                receiver->guard.merge(std::get<prompt_parts_message>(decode(bytes)));
    }

    void run_until(const std::function<bool()>& done, milliseconds limit)
    {
        const instant end = boot_clock::now() + limit;
        while (!done() && boot_clock::now() < end)
            for (const std::unique_ptr<guarded_daemon>& each : daemons)
            {
                each->context.loop.schedule_after(milliseconds(1), [] {});
                int iterations = 0;
                each->context.loop.run([&] { return iterations++ > 0; });
                each->guard.run_periodic_work();
            }
    }

    static http_exchange request(const std::vector<prompt_part_id>& parts)
    {
        http_exchange exchange;
        exchange.request.shared_prompt_parts = parts;
        return exchange;
    }

    bool admits(std::size_t daemon, const std::vector<prompt_part_id>& parts)
    {
        http_exchange exchange = request(parts);
        return daemons[daemon]->guard.admits(exchange);
    }

    bool all_admit(const std::vector<prompt_part_id>& parts, bool expected)
    {
        for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon)
            if (admits(daemon, parts) != expected)
                return false;
        return true;
    }

    // Three engines crash, each under a request of another daemon.
    void crash_engines()
    {
        for (std::size_t crash = 0; crash < 3; ++crash)
        {
            daemons[crash]->guard.on_crash({"i-" + std::to_string(crash)},
                                           {{{"shared"}, 0}, {{"bad"}, 1}});
            run_until([] { return false; }, milliseconds(260));
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(prompt_part_guards)

// Guards against daemons that go on sending requests that crash engines, because a
// message was lost or they have just started (BUDGET).
BOOST_FIXTURE_TEST_CASE(all_daemons_block_a_part_though_messages_are_lost, guards_fixture)
{
    loss = 0.4;
    for (int i = 0; i < 8; ++i)
        add_daemon();
    crash_engines();
    const std::vector<prompt_part_id> bad{{"shared"}, {"bad"}};
    run_until([&] { return all_admit(bad, false); }, stability_time);
    BOOST_TEST(all_admit(bad, false));
    BOOST_TEST(all_admit({{"shared"}}, true));
    add_daemon();
    BOOST_TEST(admits(8, bad));
    run_until([&] { return !admits(8, bad); }, stability_time);
    BOOST_TEST(!admits(8, bad));
}

// Guards against a sound part that stays refused at some daemons after it was answered.
BOOST_FIXTURE_TEST_CASE(an_answer_ends_a_block_at_all_daemons, guards_fixture)
{
    loss = 0.4;
    for (int i = 0; i < 8; ++i)
        add_daemon();
    crash_engines();
    const std::vector<prompt_part_id> parts{{"shared"}, {"bad"}};
    run_until([&] { return all_admit(parts, false); }, stability_time);
    daemons[5]->guard.on_answered(request(parts));
    run_until([&] { return all_admit(parts, true); }, stability_time);
    run_until([] { return false; }, milliseconds(1500));
    BOOST_TEST(all_admit(parts, true));
}

// Guards against a sound part that is blocked because a daemon was paused and repeats its
// report of a crash so late that it counts as another one.
BOOST_FIXTURE_TEST_CASE(a_paused_daemon_does_not_report_a_crash_again, guards_fixture)
{
    for (int i = 0; i < 3; ++i)
        add_daemon();
    daemons[0]->guard.on_crash({"i-0"}, {{{"part"}, 0}});
    run_until([] { return false; }, milliseconds(230));
    daemons[1]->guard.on_crash({"i-1"}, {{{"part"}, 0}});
    run_until([] { return false; }, milliseconds(20));
    std::this_thread::sleep_for(milliseconds(1700));
    run_until([] { return false; }, milliseconds(800));
    BOOST_TEST(all_admit({{"part"}}, true));
}

// Guards against control traffic that grows with the number of engines that crash
// together.
BOOST_FIXTURE_TEST_CASE(
    evidence_of_many_crashes_stays_within_the_target_for_control_traffic, guards_fixture)
{
    // The target for the control traffic of a daemon, in bytes a second.
    constexpr std::size_t max_bytes_per_second = 10'000;
    constexpr seconds duration{2};
    add_daemon();
    for (int engine = 0; engine < 14; ++engine)
    {
        positioned_parts parts;
        for (int request = 0; request < 6; ++request)
            parts[{"1234567890a" + std::to_string(request % 4)}] = request % 2;
        daemons[0]->guard.on_crash({"i-1234567890" + std::to_string(engine)}, parts);
    }
    run_until([] { return false; }, duration);
    BOOST_TEST(bytes_sent > 0U);
    BOOST_TEST(bytes_sent <= max_bytes_per_second * duration.count());
}

// Guards against evidence that doesn't arrive because it is too long for a datagram.
BOOST_FIXTURE_TEST_CASE(the_evidence_of_many_crashes_is_sent_in_several_messages,
                        guards_fixture)
{
    constexpr std::size_t max_message_bytes = 8192;
    for (int i = 0; i < 3; ++i)
        add_daemon();
    for (int engine = 0; engine < 40; ++engine)
    {
        positioned_parts parts;
        for (int part = 0; part < 60; ++part)
            parts[{"1234567890-" + std::to_string(engine) + "-" + std::to_string(part)}] =
                1;
        parts[{"bad"}] = 1;
        daemons[0]->guard.on_crash({"i-1234567890" + std::to_string(engine)}, parts);
    }
    run_until([] { return false; }, milliseconds(300));
    crash_engines();
    run_until([&] { return !admits(1, {{"bad"}}); }, stability_time);
    BOOST_TEST(!admits(1, {{"bad"}}));
    BOOST_TEST(longest_message <= max_message_bytes);
}

// A block that turns out to be wrong gives way to the next explanation without another
// crash.
BOOST_FIXTURE_TEST_CASE(the_next_explanation_is_blocked_when_a_block_ends, guards_fixture)
{
    for (int i = 0; i < 3; ++i)
        add_daemon();
    crash_engines();
    run_until([&] { return all_admit({{"bad"}}, false); }, stability_time);
    daemons[1]->guard.on_answered(request({{"bad"}}));
    run_until([&] { return all_admit({{"shared"}}, false); }, stability_time);
    BOOST_TEST(all_admit({{"shared"}}, false));
    BOOST_TEST(all_admit({{"bad"}}, true));
}

BOOST_AUTO_TEST_SUITE_END()
