#include "policy/fleet/request_limit.hpp"

#include "policy/fleet/endpoint_selection.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <queue>
#include <random>

using namespace pollenhaven;

namespace
{

constexpr instant start{seconds(1000)};
constexpr milliseconds window{4000};
constexpr milliseconds stability{3000};

// A fleet of daemons that send requests to one endpoint, in virtual time. Every request
// that may be sent now is sent; any other is served elsewhere.
struct simulation
{
    struct daemon
    {
        limit_view view;
        permit_ledger ledger;
        int unreported = 0;
        // The daemon that gives the permits, as this one sees it.
        int giver = 0;
        bool is_running = true;
    };
    struct event
    {
        instant at;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    std::mt19937_64 random;
    std::vector<daemon> daemons;
    double demand_per_second;
    double loss = 0;
    // The endpoint's limit; none before it states one.
    std::optional<request_rate> limit;
    std::vector<instant> arrivals;
    std::vector<instant> refused;
    instant now = start;
    std::uint64_t next_order = 0;
    std::priority_queue<event> events;

    simulation(int size, double demand, std::uint64_t seed)
        : random(seed), daemons(static_cast<std::size_t>(size)), demand_per_second(demand)
    {
        schedule_request();
        // The interval of the reports of loads, as in servers/gateway.
        const milliseconds interval(700);
        for (int id = 0; id < size; ++id)
            after(milliseconds(random() % 200),
                  [this, id, interval] { report(id, interval); });
    }

    daemon& at(int id) { return daemons[static_cast<std::size_t>(id)]; }

    void after(instant::duration delay, std::function<void()> run)
    {
        events.push({now + delay, next_order++, std::move(run)});
    }

    void run_until(instant end)
    {
        while (!events.empty() && events.top().at <= end)
        {
            const event next = events.top();
            events.pop();
            now = next.at;
            next.run();
        }
        now = end;
    }

    void schedule_request()
    {
        std::exponential_distribution<double> gap(demand_per_second);
        after(microseconds(static_cast<long long>(gap(random) * 1e6)),
              [this]
              {
                  try_send(static_cast<int>(random() % daemons.size()));
                  schedule_request();
              });
    }

    // Delivers a message after 1 to 5 ms, or loses it.
    void send(int to, std::function<void()> handle)
    {
        if (std::uniform_real_distribution<double>()(random) < loss)
            return;
        after(microseconds(1000 + random() % 4000),
              [this, to, handle = std::move(handle)]
              {
                  if (at(to).is_running)
                      handle();
              });
    }

    void try_send(int id)
    {
        daemon& sender = at(id);
        if (!sender.is_running)
            return;
        const permit_status status = status_of(sender.view, now);
        if (status == permit_status::denied)
            refused.push_back(now);
        else if (status == permit_status::unknown)
            ask(id);
        else
            send_request(id);
    }

    void send_request(int id)
    {
        daemon& sender = at(id);
        const std::optional<held_permit> permit = use_permit(sender.view, now);
        arrivals.push_back(now);
        ++sender.unreported;
        after(milliseconds(60), [this, id, permit, sent = now, stated = limit]
              { on_response(id, permit, sent, stated); });
    }

    void on_response(int id, const std::optional<held_permit>& permit, instant sent,
                     std::optional<request_rate> stated)
    {
        daemon& sender = at(id);
        if (!sender.is_running)
            return;
        if (stated && learn_limit(sender.view, *stated, sent, now))
            for (int other = 0; other < static_cast<int>(daemons.size()); ++other)
                send(other,
                     [this, other, stated] { set_limit(at(other).view, *stated, now); });
        if (!stated && permit && sender.view.stated)
            send(sender.giver, [this, to = sender.giver, number = permit->number]
                 { on_ended(to, number); });
    }

    void on_ended(int id, permit_number number)
    {
        daemon& giver = at(id);
        if (!giver.view.stated || !proves_end(*giver.view.stated, number))
            return;
        giver.ledger.limit_ended_at = now;
        for (int other = 0; other < static_cast<int>(daemons.size()); ++other)
            send(other, [this, other] { remove_limit(at(other).view); });
    }

    void ask(int id)
    {
        if (!should_ask(at(id).view, now))
            return;
        const int giver = at(id).giver;
        send(giver, [this, giver, id] { answer(giver, id); });
    }

    void answer(int giver_id, int receiver)
    {
        daemon& giver = at(giver_id);
        if (!giver.view.stated)
            return;
        const permit_decision decision =
            give_permit(giver.ledger, giver.view.history, giver.view.stated->rate,
                        {std::to_string(receiver)}, now);
        send(receiver,
             [this, giver_id, receiver, decision]
             {
                 daemon& asker = at(receiver);
                 apply_answer(asker.view, {std::to_string(giver_id)},
                              decision.number.value_or(permit_number{}),
                              decision.retry_in, now);
                 if (asker.view.stated && !asker.view.permits.empty())
                     send_request(receiver);
             });
    }

    // Tells the daemons that give permits now or may give them later.
    void report(int id, milliseconds interval)
    {
        after(interval, [this, id, interval] { report(id, interval); });
        daemon& sender = at(id);
        const int requests = std::exchange(sender.unreported, 0);
        for (const int giver : {0, 1})
            send(giver,
                 [this, giver, id, requests]
                 {
                     record_reported_requests(at(giver).ledger, at(giver).view.history,
                                              {std::to_string(id)}, requests, now);
                 });
    }

    // The most requests in one window that ends at `from` or later.
    int max_in_window(instant from) const
    {
        int most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < arrivals.size(); ++last)
        {
            while (arrivals[last] - arrivals[first] >= window)
                ++first;
            if (arrivals[last] >= from)
                most = std::max(most, static_cast<int>(last - first + 1));
        }
        return most;
    }

    int arrivals_between(instant from, instant to) const
    {
        return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(),
                                              [&](instant at)
                                              { return at >= from && at < to; }));
    }
};

int stated_in_window(double per_second)
{
    return static_cast<int>(per_second * 4);
}

// The limit with the allowance for accidents that the platform makes.
int tolerated_in_window(double per_second)
{
    return static_cast<int>(per_second * 4 * 1.5) + 5;
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_limit)

BOOST_AUTO_TEST_CASE(requests_keep_to_the_limit_in_one_second_and_in_four)
{
    request_history history;
    const request_rate limit{2.5};
    std::vector<int> per_second(8, 0);
    for (instant now = start; now < start + seconds(8); now += milliseconds(10))
        if (next_request_at(history, limit, now) <= now)
        {
            add_requests(history, 1, now);
            ++per_second.at(static_cast<std::size_t>((now - start) / seconds(1)));
        }
    for (const int requests : per_second)
        BOOST_TEST(requests <= 3);
    BOOST_TEST(per_second[0] + per_second[1] + per_second[2] + per_second[3] == 10);
}

BOOST_AUTO_TEST_CASE(a_limit_below_one_request_in_four_seconds_applies_to_a_longer_time)
{
    request_history history;
    add_requests(history, 1, start);
    BOOST_TEST((next_request_at(history, {0.125}, start) == start + seconds(8)));
    // Without any request nobody would learn that the endpoint takes more again.
    BOOST_TEST((next_request_at(history, {0}, start) == start + seconds(10)));
    BOOST_TEST((next_request_at({}, {0}, start) == start));
    BOOST_TEST((next_request_at(history, {99999999999.0}, start) == start));
}

BOOST_AUTO_TEST_CASE(requests_before_the_limit_was_known_count)
{
    request_history history;
    add_requests(history, 12, start);
    BOOST_TEST(
        (next_request_at(history, {2.5}, start + seconds(1)) == start + seconds(4)));
}

BOOST_AUTO_TEST_CASE(daemons_without_a_permit_return_one_after_the_other)
{
    permit_ledger ledger;
    request_history history;
    const request_rate limit{2};
    while (give_permit(ledger, history, limit, {"a"}, start).number)
    {
    }
    milliseconds previous = give_permit(ledger, history, limit, {"b"}, start).retry_in;
    for (const char* const daemon : {"c", "d", "e"})
    {
        const milliseconds retry =
            give_permit(ledger, history, limit, {daemon}, start).retry_in;
        BOOST_TEST((retry - previous).count() == 250);
        previous = retry;
    }
}

BOOST_AUTO_TEST_CASE(reported_requests_with_a_permit_count_once)
{
    permit_ledger ledger;
    request_history history;
    give_permit(ledger, history, {2.5}, {"a"}, start);
    record_reported_requests(ledger, history, {"a"}, 3, start + milliseconds(100));
    int counted = 0;
    for (const request_history::entry& entry : history.entries)
        counted += entry.requests;
    BOOST_TEST(counted == 3);
}

// Responses may overtake each other, so one that left before the limit was lowered may
// arrive later.
BOOST_AUTO_TEST_CASE(a_higher_limit_is_believed_only_from_a_later_request)
{
    limit_view view;
    BOOST_TEST(learn_limit(view, {4}, start, start + seconds(1)));
    BOOST_TEST(learn_limit(view, {2}, start, start + seconds(2)));
    BOOST_TEST(!learn_limit(view, {4}, start + seconds(1), start + seconds(3)));
    BOOST_TEST(view.stated->rate.per_second == 2);
    BOOST_TEST(learn_limit(view, {4}, start + seconds(3), start + seconds(4)));
}

BOOST_AUTO_TEST_CASE(a_limit_ends_only_by_a_request_that_was_sent_after_it_was_learned)
{
    permit_ledger ledger;
    request_history history;
    const permit_number early = *give_permit(ledger, history, {2}, {"a"}, start).number;
    const stated_limit limit{{2}, start + milliseconds(10)};
    BOOST_TEST(!proves_end(limit, early));
    const permit_number late =
        *give_permit(ledger, history, {2}, {"a"}, start + milliseconds(20)).number;
    BOOST_TEST(proves_end(limit, late));
}

BOOST_AUTO_TEST_CASE(a_giver_that_does_not_answer_is_not_waited_for)
{
    limit_view view;
    set_limit(view, {2}, start);
    instant now = start;
    while (status_of(view, now) == permit_status::unknown && now < start + seconds(2))
    {
        should_ask(view, now);
        now += milliseconds(15);
    }
    BOOST_TEST((now < start + milliseconds(400)));
    BOOST_TEST((status_of(view, now) == permit_status::denied));
    BOOST_TEST((status_of(view, now + seconds(1)) == permit_status::unknown));
}

// Guards against refusing a request that an endpoint without a limit can serve after a
// short back-off.
BOOST_AUTO_TEST_CASE(only_limits_of_all_endpoints_that_may_serve_count_as_no_permit)
{
    fleet_view fleet;
    for (const char* const id : {"limited", "busy"})
    {
        endpoint_view& endpoint = fleet.endpoints[{id}];
        endpoint.record.id = {id};
        endpoint.record.service = {"plain"};
    }
    endpoint_view& limited = fleet.endpoints.at({"limited"});
    set_limit(limited.limit, {1}, start);
    limited.limit.denied_until = start + seconds(3);
    endpoint_view& busy = fleet.endpoints.at({"busy"});
    busy.backoff_until = start + milliseconds(40);
    dispatch_query query;
    query.service = {"plain"};
    BOOST_TEST(!choose_endpoint(fleet, query, start).denied_until.has_value());
    busy.draining = true;
    BOOST_TEST((choose_endpoint(fleet, query, start).denied_until ==
                limited.limit.denied_until));
}

// Guards against limits that each daemon keeps alone, and against shares so small that
// the endpoint gets nothing, in fleets of any size.
BOOST_AUTO_TEST_CASE(fleets_of_any_size_keep_to_a_limit_and_use_it)
{
    for (const int size : {8, 61, 360})
        for (std::uint64_t seed = 1; seed <= (size > 100 ? 3 : 10); ++seed)
            for (const double limit : {2.5, 12.0})
            {
                simulation fleet(size, limit * 3, seed);
                fleet.run_until(start + seconds(8));
                fleet.limit = {limit};
                fleet.run_until(start + seconds(24));
                const int most = fleet.max_in_window(start + seconds(8) + stability);
                BOOST_TEST(most <= tolerated_in_window(limit),
                           size << " daemons, seed " << seed << ": " << most);
                const int settled = fleet.max_in_window(start + seconds(16));
                BOOST_TEST(settled <= stated_in_window(limit) + 1,
                           size << " daemons, seed " << seed << ": " << settled);
                const int used =
                    fleet.arrivals_between(start + seconds(14), start + seconds(24));
                BOOST_TEST(used >= limit * 10 * 0.7,
                           size << " daemons, seed " << seed << ": " << used << " used");
            }
}

// The daemon that gives the permits is killed, messages are lost, and the other daemons
// see another giver at different times.
BOOST_AUTO_TEST_CASE(a_limit_holds_while_the_giver_changes_and_messages_are_lost)
{
    for (const int size : {8, 61})
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            const double limit = 2.5;
            simulation fleet(size, limit * 3, seed);
            fleet.loss = 0.1;
            fleet.run_until(start + seconds(8));
            fleet.limit = {limit};
            fleet.run_until(start + seconds(12) + milliseconds(fleet.random() % 3000));
            fleet.at(0).is_running = fleet.random() % 2 == 0;
            for (int id = 0; id < size; ++id)
                fleet.after(milliseconds(2000 + fleet.random() % 1500),
                            [&fleet, id] { fleet.at(id).giver = 1; });
            fleet.run_until(start + seconds(30));
            const int most = fleet.max_in_window(start + seconds(8) + stability);
            BOOST_TEST(most <= tolerated_in_window(limit),
                       size << " daemons, seed " << seed << ": " << most);
            BOOST_TEST(fleet.arrivals_between(start + seconds(24), start + seconds(30)) >
                       limit * 6 * 0.5);
        }
}

BOOST_AUTO_TEST_CASE(the_end_of_a_limit_reaches_all_daemons)
{
    simulation fleet(61, 20, 1);
    fleet.limit = request_rate{2.5};
    fleet.run_until(start + seconds(10));
    fleet.limit.reset();
    fleet.run_until(start + seconds(14));
    for (const simulation::daemon& daemon : fleet.daemons)
        BOOST_TEST(!daemon.view.stated.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
