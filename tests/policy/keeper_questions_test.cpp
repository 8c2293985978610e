#include "policy/fleet/fleet_view.hpp"
#include "policy/fleet/keeper_questions.hpp"
#include "tests/policy/property.hpp"

#include <algorithm>
#include <functional>
#include <map>

using namespace pollenhaven;

namespace
{

constexpr int keeper = 0;

daemon_id name_of(int number)
{
    return {"daemon-" + std::to_string(number)};
}

struct sent_request
{
    instant arrived{};
    bool is_sent = false;
};

// A fleet before one endpoint in virtual time: requests arrive at its daemons, which ask
// the keeper, daemon 0, before they send them, as request_flow does.
struct simulated_fleet
{
    int daemons = 0;
    int slots = 0;
    // Shares of messages that are lost, and that arrive twice, in percent.
    int lost = 0;
    int twice = 0;
    // The keeper neither receives nor sends before this time.
    instant keeper_paused_until{};

    instant now{};
    std::multimap<instant, std::function<void()>> events;
    // What each daemon knows of the endpoint.
    std::vector<endpoint_view> views;
    std::vector<keeper_contact> contacts;
    std::vector<std::uint64_t> versions;
    waiting_daemons waiting;
    std::vector<sent_request> requests;
    int running = 0;
    int most_running = 0;
    int messages = 0;
    std::uint64_t random_state = 1;

    int random(int below)
    {
        random_state = random_state * 6364136223846793005U + 1442695040888963407U;
        return static_cast<int>((random_state >> 33U) % static_cast<unsigned>(below));
    }

    void at(instant when, std::function<void()> call)
    {
        events.emplace(when, std::move(call));
    }

    // Messages overtake each other.
    void send(int from, int to, const std::function<void()>& received)
    {
        ++messages;
        const bool is_paused =
            now < keeper_paused_until && (from == keeper || to == keeper);
        if (is_paused || random(100) < lost)
            return;
        const int copies = random(100) < twice ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
            at(now + microseconds(500 + random(2500)), received);
    }

    endpoint_view& view(int daemon) { return views[static_cast<std::size_t>(daemon)]; }

    bool has_room(int daemon) { return total_in_flight(view(daemon), now) < slots; }

    // Sends the daemon's own load.
    void report(int daemon, const std::function<void()>& answer)
    {
        if (daemon == keeper)
            return inform();
        const endpoint_view& own = view(daemon);
        const int in_flight = own.in_flight + own.reserved_requests;
        const std::uint64_t version = ++versions[static_cast<std::size_t>(daemon)];
        send(daemon, keeper,
             [this, daemon, in_flight, version, answer]
             {
                 record_peer_load(view(keeper), name_of(daemon),
                                  {in_flight, 0, {}, now, version});
                 if (answer)
                     answer();
                 inform();
             });
    }

    void ask(int daemon, bool is_waiting, const std::function<void()>& done)
    {
        report(daemon,
               [this, daemon, is_waiting, done]
               {
                   record_question(waiting, name_of(daemon), is_waiting, now);
                   answer(daemon, done);
               });
    }

    void answer(int daemon, const std::function<void()>& done)
    {
        const peer_load load = load_without(view(keeper), name_of(daemon), now);
        send(keeper, daemon,
             [this, daemon, load, done]
             {
                 view(daemon).others = peer_load{load.in_flight, 0, {}, now};
                 record_answer(contacts[static_cast<std::size_t>(daemon)]);
                 if (done)
                     done();
             });
    }

    void inform()
    {
        const int free_slots = slots - total_in_flight(view(keeper), now);
        if (free_slots <= 0)
            return;
        for (const daemon_id& daemon : take_daemons_to_inform(waiting, free_slots, now))
            answer(std::stoi(daemon.value.substr(daemon.value.find('-') + 1)), nullptr);
    }

    void run(std::size_t request, int daemon)
    {
        requests[request].is_sent = true;
        ++view(daemon).in_flight;
        most_running = std::max(most_running, ++running);
        at(now + milliseconds(20 + random(60)),
           [this, daemon]
           {
               --running;
               --view(daemon).in_flight;
               report(daemon, nullptr);
           });
    }

    void dispatch(std::size_t request, int daemon)
    {
        if (requests[request].is_sent)
            return;
        const bool must_ask =
            daemon != keeper && may_ask(contacts[static_cast<std::size_t>(daemon)], now);
        if (!has_room(daemon))
        {
            if (must_ask)
                ask(daemon, true, nullptr);
            return at(now + waiting_question_interval / 10,
                      [this, request, daemon] { dispatch(request, daemon); });
        }
        if (!must_ask)
        {
            run(request, daemon);
            return report(daemon, nullptr);
        }
        ++view(daemon).reserved_requests;
        const auto settled = std::make_shared<bool>(false);
        const auto settle = [this, request, daemon, settled]
        {
            if (std::exchange(*settled, true))
                return;
            --view(daemon).reserved_requests;
            if (has_room(daemon))
                return run(request, daemon);
            report(daemon, nullptr);
            dispatch(request, daemon);
        };
        ask(daemon, false, settle);
        at(now + keeper_answer_time,
           [this, daemon, settled, settle]
           {
               if (!*settled)
                   record_unanswered(contacts[static_cast<std::size_t>(daemon)], now);
               settle();
           });
    }

    void start(int request_count, milliseconds time)
    {
        views.resize(static_cast<std::size_t>(daemons));
        contacts.resize(static_cast<std::size_t>(daemons));
        versions.resize(static_cast<std::size_t>(daemons));
        requests.resize(static_cast<std::size_t>(request_count));
        for (std::size_t request = 0; request < requests.size(); ++request)
        {
            const instant arrives =
                now + milliseconds(random(static_cast<int>(time.count())));
            const int daemon = random(daemons);
            requests[request].arrived = arrives;
            at(arrives, [this, request, daemon] { dispatch(request, daemon); });
        }
    }

    void start_repeated_reports(milliseconds time)
    {
        for (int daemon = 0; daemon < daemons; ++daemon)
            repeat_report(daemon, now + time);
    }

    void repeat_report(int daemon, instant end)
    {
        if (now > end)
            return;
        report(daemon, nullptr);
        at(now + milliseconds(700), [this, daemon, end] { repeat_report(daemon, end); });
    }

    void run_all()
    {
        while (!events.empty())
        {
            const auto first = events.begin();
            now = first->first;
            const std::function<void()> call = std::move(first->second);
            events.erase(first);
            call();
        }
    }

    bool all_sent() const
    {
        return std::all_of(requests.begin(), requests.end(),
                           [](const sent_request& request) { return request.is_sent; });
    }
};

simulated_fleet any_fleet()
{
    simulated_fleet fleet;
    fleet.now = instant(seconds(1000));
    fleet.daemons = *rc::gen::inRange(2, 250);
    fleet.slots = *rc::gen::inRange(1, 17);
    fleet.random_state = *rc::gen::inRange<std::uint64_t>(1, 1U << 30U);
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_SUITE(keeper_questions)

// Many daemons with few requests each find the same endpoint free: without a reservation
// all that ask within a round trip send theirs.
BOOST_AUTO_TEST_CASE(an_endpoint_gets_no_more_requests_than_it_runs_while_messages_arrive)
{
    check_property("an endpoint gets no more requests than it runs while messages arrive",
                   []
                   {
                       simulated_fleet fleet = any_fleet();
                       fleet.start(60, milliseconds(400));
                       fleet.start_repeated_reports(seconds(3));
                       fleet.run_all();
                       RC_ASSERT(fleet.all_sent());
                       RC_ASSERT(fleet.most_running <= fleet.slots);
                   });
}

// Nothing waits for ever for a keeper that is gone, paused or hard to reach, and the
// counts are right again soon after.
BOOST_AUTO_TEST_CASE(all_requests_are_sent_while_messages_are_lost_and_the_keeper_stands)
{
    check_property(
        "all requests are sent while messages are lost and the keeper stands still",
        []
        {
            simulated_fleet fleet = any_fleet();
            fleet.lost = *rc::gen::inRange(0, 40);
            fleet.twice = *rc::gen::inRange(0, 40);
            fleet.keeper_paused_until =
                fleet.now + milliseconds(*rc::gen::inRange(0, 2000));
            fleet.start(60, milliseconds(400));
            fleet.start_repeated_reports(seconds(3));
            fleet.run_all();
            RC_ASSERT(fleet.all_sent());
            RC_ASSERT(total_in_flight(fleet.view(keeper), fleet.now + seconds(2)) == 0);
        });
}

// The messages for a request don't depend on how many daemons there are.
BOOST_AUTO_TEST_CASE(the_messages_for_a_request_have_a_bound_in_any_fleet)
{
    // A question, its answer and a report of the end.
    constexpr int messages_per_request = 3;
    for (const int daemons : {2, 8, 61, 195, 363})
    {
        simulated_fleet fleet;
        fleet.now = instant(seconds(1000));
        fleet.daemons = daemons;
        fleet.slots = 64;
        fleet.start(60, milliseconds(400));
        fleet.run_all();
        BOOST_TEST(fleet.messages <= 60 * messages_per_request, daemons);
    }
}

BOOST_AUTO_TEST_CASE(a_silent_keeper_is_not_asked_for_a_while)
{
    const instant now(seconds(1000));
    keeper_contact contact;
    BOOST_TEST(may_ask(contact, now));
    record_unanswered(contact, now);
    BOOST_TEST(may_ask(contact, now));
    record_unanswered(contact, now);
    BOOST_TEST(!may_ask(contact, now));
    BOOST_TEST(may_ask(contact, now + seconds(1)));
    record_answer(contact);
    BOOST_TEST(may_ask(contact, now));
}

// A place that becomes free is offered to few of those that wait, the first ones first.
BOOST_AUTO_TEST_CASE(those_that_wait_are_informed_in_their_order)
{
    const instant now(seconds(1000));
    waiting_daemons waiting;
    record_question(waiting, name_of(3), true, now);
    record_question(waiting, name_of(1), true, now + milliseconds(1));
    record_question(waiting, name_of(2), true, now + milliseconds(2));
    record_question(waiting, name_of(4), true, now + milliseconds(3));
    record_question(waiting, name_of(1), false, now + milliseconds(4));
    const std::vector<daemon_id> expected{name_of(3), name_of(2)};
    BOOST_TEST((take_daemons_to_inform(waiting, 1, now + milliseconds(5)) == expected));
    BOOST_TEST(take_daemons_to_inform(waiting, 1, now + seconds(1)).empty());
    BOOST_TEST(waiting.asked_at.empty());
}

BOOST_AUTO_TEST_CASE(the_keeper_is_the_holder_or_the_first_by_its_hash)
{
    fleet_view fleet;
    fleet.self = name_of(0);
    const endpoint_id engine{"i-1"};
    BOOST_TEST(endpoint_keeper(fleet, engine).empty());
    for (int number = 0; number < 5; ++number)
        fleet.members[name_of(number)].leased = true;
    const daemon_id first = endpoint_keeper(fleet, engine);
    BOOST_TEST(!first.empty());
    const daemon_id holder = first == name_of(2) ? name_of(3) : name_of(2);
    fleet.endpoints[engine].holder = holder;
    BOOST_TEST(endpoint_keeper(fleet, engine).value == holder.value);
    fleet.members.at(holder).leaving = true;
    BOOST_TEST(endpoint_keeper(fleet, engine).value == first.value);
    fleet.members.at(holder).leaving = false;
    fleet.members.at(holder).leased = false;
    BOOST_TEST(endpoint_keeper(fleet, engine).value == first.value);
}

BOOST_AUTO_TEST_SUITE_END()
