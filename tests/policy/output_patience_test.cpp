#include "policy/output_patience.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace pollenhaven;

BOOST_AUTO_TEST_SUITE(output_patience)

// Guards against an unreachable peer that is noticed late because the limit was extended
// for a slow one, and against a slow peer that counts as unreachable because it was idle
// before, one probe was lost, or the window is closed between two probes.
BOOST_AUTO_TEST_CASE(only_a_peer_that_confirms_nothing_is_unreachable)
{
    struct patience_case
    {
        const char* case_name;
        milliseconds since_confirmation;
        bool has_unconfirmed_segments;
        int unanswered_probes;
        milliseconds unread_for;
        bool is_unreachable;
    };
    const std::vector<patience_case> rows{
        {"reads slowly", milliseconds(100), true, 0, seconds(9), false},
        {"window closed, probes answered", milliseconds(1900), false, 0, seconds(9),
         false},
        {"window closed, one probe lost", milliseconds(4100), false, 1, seconds(9),
         false},
        {"window closed, no answers", milliseconds(4100), false, 2, seconds(9), true},
        {"window closed, no answers yet", milliseconds(3900), false, 2, seconds(9),
         false},
        {"segments unconfirmed", milliseconds(4000), true, 0, seconds(4), true},
        {"idle before", seconds(60), true, 0, seconds(1), false},
        {"idle before, no probes answered", seconds(60), false, 3, seconds(4), true}};
    for (const patience_case& row : rows)
    {
        const std::optional<milliseconds> limit = next_unconfirmed_limit(
            {row.since_confirmation, row.has_unconfirmed_segments, row.unanswered_probes},
            row.unread_for);
        BOOST_TEST(!limit.has_value() == row.is_unreachable, row.case_name);
        if (limit)
            BOOST_TEST((*limit >= unconfirmed_limit && *limit > row.unread_for),
                       row.case_name);
    }
}

// Guards against probes of a closed window that come so seldom that an unreachable peer
// is noticed late: the kernel probes at the latest as the limit passes.
BOOST_AUTO_TEST_CASE(two_probes_fit_into_the_time_to_notice_an_unreachable_peer)
{
    for (milliseconds unread_for = unconfirmed_limit; unread_for < seconds(60);
         unread_for += unread_check_interval)
    {
        const std::optional<milliseconds> limit =
            next_unconfirmed_limit({milliseconds(100), false, 0}, unread_for);
        BOOST_REQUIRE(limit.has_value());
        BOOST_TEST(2 * (*limit - unread_for).count() <= unconfirmed_limit.count());
    }
}

BOOST_AUTO_TEST_SUITE_END()
