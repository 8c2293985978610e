// The entry with which a daemon is among the members, and the lease that holds it.

#include "servers/gateway/fleet_membership.hpp"

#include "tests/contract/flow_fixture.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace pollenhaven;
using namespace pollenhaven::contract;

namespace
{

const std::string entry_key = "pollenhaven/members/daemon";

// A store with one entry of an earlier process, and a daemon's membership.
struct membership_fixture
{
    event_loop& loop;
    scripted_endpoint store;
    // The changes that the next watch call gets; empty while it has to wait.
    nlohmann::json events;
    std::vector<nlohmann::json> transactions;
    std::optional<fleet_membership> membership;

    explicit membership_fixture(gateway_context& context)
        : loop(context.loop), store(context.loop)
    {
        context.settings.id = {"daemon"};
        context.settings.store_address = store.address;
        context.settings.lease_renewal_interval = milliseconds(100);
        store.respond = [this](stream_id from, const std::string& request,
                               const std::string&) { respond(from, request); };
        membership.emplace(context, [](const endpoint_id&) {});
    }

    void respond(stream_id from, const std::string& request)
    {
        const auto is_call = [&](const char* name) {
            return request.substr(0, request.find("\r\n")).find(name) !=
                   std::string::npos;
        };
        if (is_call("kv-watch"))
            return answer_watch(from);
        nlohmann::json body{{"lease", 7}, {"ttlMs", 10000}};
        if (is_call("kv-range"))
            body = {{"items",
                     {{{"key", entry_key},
                       {"value", "e30="},
                       {"revision", 9},
                       {"created", 9},
                       {"lease", 3}}}},
                    {"currentRev", 10},
                    {"morePages", false}};
        if (is_call("kv-txn"))
        {
            transactions.push_back(
                nlohmann::json::parse(request.substr(request.find("\r\n\r\n") + 4)));
            body = {{"revision", 10 + transactions.size()}};
        }
        send(from, body);
    }

    // A watch call is kept waiting until there are events.
    void answer_watch(stream_id from)
    {
        if (events.empty())
        {
            loop.schedule_after(milliseconds(20), [this, from] { answer_watch(from); });
            return;
        }
        send(from,
             {{"events", std::exchange(events, nlohmann::json())}, {"currentRev", 20}});
    }

    void send(stream_id to, const nlohmann::json& body)
    {
        const std::string text = body.dump();
        loop.send(to, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                          std::to_string(text.size()) + "\r\n\r\n" + text);
    }

    void run_until_transactions(std::size_t count)
    {
        const instant deadline = boot_clock::now() + seconds(2);
        loop.schedule(deadline, [] {});
        loop.run(
            [&] { return transactions.size() >= count || boot_clock::now() > deadline; });
    }

    // The revision of the daemon's entry that a transaction expects; none if it expects
    // nothing of it.
    std::optional<std::uint64_t> expected_revision(std::size_t transaction) const
    {
        for (const nlohmann::json& row : transactions.at(transaction)["precondition"])
            if (row["key"] == entry_key)
                return row["revision"].get<std::uint64_t>();
        return std::nullopt;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(member_entries)

// Guards against two daemons that order one engine (ONE): a write that a killed process
// has left behind is carried out late and puts the entry of its successor under the lease
// of the killed one. It fails if the entry has changed since that process read it.
BOOST_AUTO_TEST_CASE(an_entry_is_written_only_in_place_of_the_one_that_was_read)
{
    flow_fixture daemon;
    membership_fixture test(daemon.context);
    test.run_until_transactions(1);
    BOOST_REQUIRE(test.transactions.size() == 1U);
    BOOST_TEST(test.expected_revision(0).value_or(0) == 9U);
}

// Guards against a daemon that goes on as a member without an entry, for the same reason.
BOOST_AUTO_TEST_CASE(an_entry_that_is_removed_is_written_again)
{
    flow_fixture daemon;
    membership_fixture test(daemon.context);
    test.run_until_transactions(1);
    test.events = {{{"key", entry_key}, {"revision", 20}, {"deleted", true}}};
    test.run_until_transactions(2);
    BOOST_REQUIRE(test.transactions.size() == 2U);
    BOOST_TEST(test.expected_revision(1).value_or(1) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
