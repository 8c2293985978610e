#include "policy/fleet/caller_shares.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>

using namespace pollenhaven;

namespace
{

std::vector<listed_daemon> daemons_with(const std::map<double, int>& counts_by_cores)
{
    std::vector<listed_daemon> daemons;
    for (const auto& [cores, count] : counts_by_cores)
        for (int number = 0; number < count; ++number)
        {
            const std::string name = std::to_string(cores) + "-" + std::to_string(number);
            daemons.push_back({{name}, {name}, cores});
        }
    return daemons;
}

// The share of the callers that each address gets, if each response has as many callers
// and each of them picks an address at random.
std::map<std::string, double> shares_of(const std::vector<listed_daemon>& daemons)
{
    constexpr int responses = 4000;
    std::map<std::string, double> shares;
    for (std::uint64_t draw = 0; draw < responses; ++draw)
    {
        const std::vector<network_address> addresses = draw_addresses(daemons, draw);
        for (const network_address& address : addresses)
            shares[address.value] +=
                1.0 / (static_cast<double>(addresses.size()) * responses);
    }
    return shares;
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_shares)

// Guards against small daemons that get as many callers as large ones and choke.
BOOST_AUTO_TEST_CASE(callers_spread_by_cores)
{
    for (const auto& counts : {std::map<double, int>{{0.09, 40}, {0.3, 10}, {0.5, 8}},
                               std::map<double, int>{{0.12, 83}, {0.5, 6}},
                               std::map<double, int>{{0.12, 300}, {0.5, 60}}})
    {
        const std::vector<listed_daemon> daemons = daemons_with(counts);
        double all_cores = 0;
        for (const listed_daemon& daemon : daemons)
            all_cores += daemon.cores;
        const std::map<std::string, double> shares = shares_of(daemons);
        BOOST_TEST(shares.size() == daemons.size());
        for (const listed_daemon& daemon : daemons)
        {
            const double fair = daemon.cores / all_cores;
            BOOST_TEST(shares.at(daemon.id.value) < 1.5 * fair);
            BOOST_TEST(shares.at(daemon.id.value) > fair / 1.5);
        }
    }
}

// Guards against daemons that no caller ever gets because others come before them by
// name.
BOOST_AUTO_TEST_CASE(each_of_more_daemons_than_a_response_holds_gets_callers)
{
    const std::vector<listed_daemon> daemons = daemons_with({{0.25, 89}});
    std::set<std::string> listed;
    for (std::uint64_t draw = 0; draw < 20; ++draw)
    {
        const std::vector<network_address> addresses = draw_addresses(daemons, draw);
        BOOST_TEST(addresses.size() == 64U);
        for (const network_address& address : addresses)
            listed.insert(address.value);
    }
    BOOST_TEST(listed.size() == daemons.size());
}

BOOST_AUTO_TEST_CASE(few_or_equal_daemons_are_all_listed)
{
    BOOST_TEST(draw_addresses({}, 1).empty());
    BOOST_TEST(draw_addresses(daemons_with({{0.25, 60}}), 1).size() == 60U);
    BOOST_TEST(draw_addresses(daemons_with({{0.01, 4}, {4, 1}}), 1).size() == 5U);
    BOOST_TEST(draw_addresses(daemons_with({{0.1, 100}, {0.5, 2}}), 1).size() >= 8U);
    BOOST_TEST(draw_addresses(daemons_with({{0, 3}}), 1).size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
