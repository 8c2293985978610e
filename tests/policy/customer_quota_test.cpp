#include "policy/customers/caller_identity.hpp"
#include "policy/customers/quota_allowance.hpp"
#include "tests/policy/property.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <numeric>
#include <random>

using namespace pollenhaven;

namespace
{

constexpr instant start{seconds(1000)};
constexpr milliseconds window{8000};
constexpr double slack = 17000;
constexpr double max_debt = slack / 2;

// Daemons that serve one customer, in virtual time, in steps of a millisecond. The quota
// is in tokens, and messages take a few milliseconds.
struct quota_fleet
{
    struct daemon
    {
        quota_allowance allowance;
        std::deque<double> waiting;
        // Questions that arrive later, while the daemon is paused.
        instant paused_until{};
    };
    struct message
    {
        instant at;
        std::size_t daemon = 0;
        bool to_keeper = true;
        quota_question question;
        quota_answer answer;
    };

    std::mt19937_64 random;
    customer_quota quota;
    std::vector<daemon> daemons;
    quota_ledger ledger = start_ledger(start);
    std::vector<message> messages;
    // The cost of each request that ran, with its time.
    std::vector<std::pair<instant, double>> ran;
    double loss = 0;
    // The share of the requests that end without having run.
    double not_run = 0;
    // No answers before this time: the keeper was killed.
    instant keeper_back{};
    double demand = 0;
    double run_cost = 0;
    double refused_cost = 0;
    int requests = 0;
    int sent = 0;
    instant now = start;

    quota_fleet(std::size_t size, double rate, std::uint64_t seed)
        : random(seed), quota{rate, rate, quota_unit::tokens, 200}, daemons(size)
    {
    }

    double draw(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random);
    }

    void send(message sent_message)
    {
        ++sent;
        sent_message.at = now + milliseconds(1 + random() % 4);
        if (draw(0, 1) >= loss)
            messages.push_back(sent_message);
    }

    void ask(std::size_t id)
    {
        daemon& asker = daemons[id];
        const double all =
            std::accumulate(asker.waiting.begin(), asker.waiting.end(), 0.0);
        const std::optional<quota_question> question =
            asker.waiting.empty()
                ? next_return(asker.allowance, now)
                : next_question(asker.allowance, asker.waiting.front(), all, {1}, now);
        if (question)
            send({{}, id, true, *question, {}});
    }

    // Decides on what waits, as servers/gateway does.
    void serve(std::size_t id)
    {
        daemon& server = daemons[id];
        while (!server.waiting.empty())
        {
            const double cost = server.waiting.front();
            if (const auto charge = take_credit(server.allowance, cost, now))
            {
                if (draw(0, 1) < not_run)
                    give_back(server.allowance, *charge, now);
                else
                {
                    ran.push_back({now, cost});
                    run_cost += cost;
                }
            }
            else if (now < server.allowance.denied_until)
                refused_cost += cost;
            else
                break;
            server.waiting.pop_front();
        }
        ask(id);
    }

    void handle(const message& received)
    {
        if (!received.to_keeper)
        {
            apply_answer(daemons[received.daemon].allowance, received.answer, now);
            return serve(received.daemon);
        }
        if (now < keeper_back)
            return;
        const quota_answer answer =
            answer_question(ledger, quota, max_debt, {std::to_string(received.daemon)},
                            received.question, now);
        if (received.question.needed > 0)
            send({{}, received.daemon, false, {}, answer});
    }

    void arrive(std::size_t id, double cost)
    {
        ++requests;
        record_request(daemons[id].allowance, cost, now);
        daemons[id].waiting.push_back(cost);
        serve(id);
    }

    // Requests of 200 to 4,000 tokens arrive at the demand, in tokens a second, at the
    // first `spread` daemons.
    void run_for(milliseconds time, double tokens_per_second, std::size_t spread)
    {
        for (const instant end = now + time; now < end; now += milliseconds(1))
        {
            demand += tokens_per_second / 1000;
            while (demand > 0)
            {
                const double cost = std::floor(draw(200, 4000));
                demand -= cost;
                arrive(random() % spread, cost);
            }
            std::vector<message> due;
            std::erase_if(messages,
                          [&](const message& pending)
                          {
                              const bool is_due =
                                  pending.at <= now &&
                                  daemons[pending.daemon].paused_until <= now;
                              if (is_due)
                                  due.push_back(pending);
                              return is_due;
                          });
            for (const message& received : due)
                handle(received);
            if ((now - start).count() % 50000 == 0)
                for (std::size_t id = 0; id < daemons.size(); ++id)
                    if (daemons[id].paused_until <= now)
                        serve(id);
        }
    }

    // The most that ran within any window.
    double most_in_a_window() const
    {
        double most = 0;
        double sum = 0;
        for (std::size_t first = 0, last = 0; last < ran.size(); ++last)
        {
            sum += ran[last].second;
            while (ran[first].first + window <= ran[last].first)
                sum -= ran[first++].second;
            most = std::max(most, sum);
        }
        return most;
    }

    double bound() const { return (quota.rate * 8 + quota.burst) * 1.1 + slack; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(customer_quotas)

// Guards against a quota that is exceeded when a customer's demand jumps, its requests
// move between daemons, daemons are paused or restarted, messages are lost, and the
// keeper is killed, with all daemons or alone, at drawn times.
BOOST_AUTO_TEST_CASE(no_drawn_history_exceeds_the_quota)
{
    check_property(
        "a customer's requests stay within its quota in any window",
        [](std::uint64_t seed)
        {
            std::mt19937_64 random(seed);
            const std::size_t size = std::array{8, 30, 89}[random() % 3];
            const double rate = std::array{16000, 100000, 300000}[random() % 3];
            quota_fleet fleet(size, rate, seed);
            fleet.loss = std::array{0.0, 0.02, 0.2}[random() % 3];
            fleet.not_run = std::array{0.0, 0.1, 0.5}[random() % 3];
            for (int phase = 0; phase < 6; ++phase)
            {
                const double demand = rate * std::array{0.0, 1.0, 3.0, 6.0}[random() % 4];
                fleet.run_for(milliseconds(500 + random() % 2500), demand,
                              1 + random() % size);
                switch (random() % 4)
                {
                case 0:
                    // The keeper is killed; the next one starts after a while.
                    fleet.keeper_back = fleet.now + milliseconds(random() % 2500);
                    fleet.ledger = start_ledger(fleet.now);
                    break;
                case 1:
                    // All are killed.
                    fleet.keeper_back = fleet.now + milliseconds(random() % 1500);
                    fleet.ledger = start_ledger(fleet.now);
                    for (quota_fleet::daemon& daemon : fleet.daemons)
                        daemon = {};
                    fleet.messages.clear();
                    break;
                case 2:
                    for (std::size_t id = 0; id < size; id += 3)
                        fleet.daemons[id].paused_until = fleet.now + seconds(4);
                    break;
                default:
                    break;
                }
            }
            RC_CLASSIFY(fleet.most_in_a_window() > 0.8 * fleet.bound(), "near the bound");
            RC_ASSERT(fleet.most_in_a_window() <= fleet.bound());
        });
}

// Guards against credit that is lost in reserves while a customer asks for more than its
// quota all the time: callers would be refused what they have paid for.
BOOST_AUTO_TEST_CASE(a_customer_over_its_quota_gets_nearly_all_of_it)
{
    for (const std::size_t size : {std::size_t{8}, std::size_t{89}, std::size_t{360}})
    {
        quota_fleet fleet(size, 100000, size);
        fleet.run_for(seconds(2), 300000, size);
        fleet.run_cost = 0;
        fleet.run_for(seconds(10), 300000, size);
        BOOST_TEST(fleet.run_cost >= 0.95 * 10 * fleet.quota.rate);
        BOOST_TEST(fleet.run_cost <= 1.05 * 10 * fleet.quota.rate);
    }
}

// Guards against refusals of a customer that stays below its quota, wherever its requests
// arrive.
BOOST_AUTO_TEST_CASE(a_customer_below_its_quota_is_not_refused)
{
    for (const std::size_t size : {std::size_t{8}, std::size_t{89}, std::size_t{360}})
    {
        quota_fleet fleet(size, 16000, size);
        fleet.run_for(seconds(1), 0, 1);
        fleet.run_for(seconds(20), 0.6 * fleet.quota.rate, size);
        BOOST_TEST(fleet.refused_cost == 0);
        BOOST_TEST_MESSAGE(size << " daemons: " << fleet.sent << " messages for "
                                << fleet.requests << " requests");
    }
}

// Guards against more than the target of 0.2 messages for each request of a large
// customer.
BOOST_AUTO_TEST_CASE(a_busy_daemon_asks_for_several_requests_at_once)
{
    quota_fleet fleet(8, 1e6, 1);
    fleet.run_for(seconds(1), 0, 1);
    fleet.run_for(seconds(10), 550000, 8);
    BOOST_TEST(fleet.refused_cost == 0);
    BOOST_TEST(fleet.sent <= 0.2 * fleet.requests,
               fleet.sent << " messages for " << fleet.requests << " requests");
}

// Guards against large requests that never get credit because small ones take it first.
BOOST_AUTO_TEST_CASE(large_requests_get_credit_beside_small_ones)
{
    quota_fleet fleet(2, 20000, 1);
    int large = 0;
    int large_ran = 0;
    for (int round = 0; round < 300; ++round)
    {
        for (int small = 0; small < 5; ++small)
            fleet.arrive(0, 200);
        const std::size_t before = fleet.ran.size();
        fleet.arrive(1, 6000);
        ++large;
        fleet.run_for(milliseconds(50), 0, 1);
        large_ran +=
            std::any_of(fleet.ran.begin() + static_cast<long>(before), fleet.ran.end(),
                        [](const auto& entry) { return entry.second == 6000; })
                ? 1
                : 0;
    }
    BOOST_TEST(large_ran >= large / 10);
}

// Guards against credit that is used after the process was paused, when the keeper has
// granted the same again.
BOOST_AUTO_TEST_CASE(credit_expires_and_is_returned_once)
{
    quota_allowance allowance;
    record_request(allowance, 100, start);
    const auto question = next_question(allowance, 100, 300, {7}, start);
    BOOST_REQUIRE(question);
    BOOST_TEST(question->number.value == 7U);
    BOOST_TEST(!next_question(allowance, 100, 300, {7}, start + milliseconds(50)));
    apply_answer(allowance, {{6}, 300, {}}, start + milliseconds(2));
    BOOST_TEST(usable_credit(allowance, start + milliseconds(2)) == 0);
    apply_answer(allowance, {{7}, 300, {}}, start + milliseconds(2));
    const auto charge = take_credit(allowance, 100, start + milliseconds(3));
    BOOST_REQUIRE(charge);
    give_back(allowance, *charge, start + milliseconds(4));
    BOOST_TEST(usable_credit(allowance, start + milliseconds(5)) == 300);
    BOOST_TEST(!take_credit(allowance, 100, start + credit_lifetime));
    BOOST_TEST(!next_return(allowance, start + credit_lifetime));
    const instant later = start + credit_lifetime + return_delay;
    const auto returned = next_return(allowance, later);
    BOOST_REQUIRE(returned);
    BOOST_TEST(returned->returned == 300);
    BOOST_TEST(!next_return(allowance, later));
    give_back(allowance, *charge, start + credit_lifetime);
    BOOST_TEST(usable_credit(allowance, start + credit_lifetime) == 0);
}

BOOST_AUTO_TEST_CASE(a_repeated_question_is_answered_once)
{
    const customer_quota quota{1000, 1000, quota_unit::tokens, 1};
    quota_ledger ledger = start_ledger(start);
    const quota_question question{{1}, 100, 100, 0};
    const instant later = start + seconds(2);
    BOOST_TEST(answer_question(ledger, quota, 0, {"d"}, question, later).granted == 100);
    BOOST_TEST(answer_question(ledger, quota, 0, {"d"}, question, later).granted == 0);
    BOOST_TEST(ledger.level == 900);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(caller_identities)

BOOST_AUTO_TEST_CASE(a_key_names_its_customer_and_costs_what_its_quota_counts)
{
    routing_table table;
    route needs_key;
    BOOST_TEST(identify_caller(table, needs_key, std::nullopt).is_admitted);
    table.customers.emplace();
    table.customers->customers[{"c"}] = {{"c"}, 1, std::nullopt};
    add_key(*table.customers, "key", {"c"});
    const caller_identity known = identify_caller(table, needs_key, "key");
    BOOST_TEST(known.is_admitted);
    BOOST_REQUIRE(known.customer != nullptr);
    BOOST_TEST(known.customer->id.value == "c");
    for (const std::optional<std::string>& key :
         {std::optional<std::string>{}, std::optional<std::string>{"ke"},
          std::optional<std::string>{"Key"}, std::optional<std::string>{"key "}})
        BOOST_TEST(!identify_caller(table, needs_key, key).is_admitted);
    needs_key.is_public = true;
    BOOST_TEST(identify_caller(table, needs_key, std::nullopt).is_admitted);
    BOOST_TEST(identify_caller(table, needs_key, "other").customer == nullptr);

    caller_request request;
    const customer_quota in_tokens{10, 10, quota_unit::tokens, 200};
    BOOST_TEST(request_cost(in_tokens, request) == 200);
    request.states_tokens = true;
    request.prompt_tokens = 30;
    request.output_tokens = 4;
    BOOST_TEST(request_cost(in_tokens, request) == 34);
    BOOST_TEST(request_cost({10, 10, quota_unit::requests, 1}, request) == 1);
}

// Guards against a customer of a lower rank that goes before one of a higher rank,
// because its route is more urgent.
BOOST_AUTO_TEST_CASE(a_customers_priority_comes_before_the_routes)
{
    const customer_record first{{"a"}, 1, std::nullopt};
    const customer_record second{{"b"}, 2, std::nullopt};
    route urgent;
    route patient;
    patient.priority = 2;
    BOOST_TEST((rank_of(&first, patient) < rank_of(&second, urgent)));
    BOOST_TEST(urgency_of(&first, patient) < urgency_of(&second, urgent));
    BOOST_TEST(urgency_of(&first, urgent) < urgency_of(&first, patient));
    BOOST_TEST(urgency_of(nullptr, patient) == 2);
    patient.priority = 20;
    BOOST_TEST(urgency_of(&first, patient) < urgency_of(&second, urgent));
    const customer_record last{{"c"}, 20, std::nullopt};
    BOOST_TEST(urgency_of(&last, patient) == 9);
    BOOST_TEST(urgency_of(nullptr, patient) == 9);
}

BOOST_AUTO_TEST_SUITE_END()
