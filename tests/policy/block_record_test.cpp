#include "policy/fleet/block_record.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;

namespace
{

const prompt_part_id part{"bad"};

part_crash_history history_with_block(int trials)
{
    part_crash_history history;
    history.blocked[part] = {trials, instant{}};
    return history;
}

} // namespace

BOOST_AUTO_TEST_SUITE(block_records)

// Guards against blocks that only the daemons' memory has, and against records of blocks
// that have ended, which would block the part again after a restart.
BOOST_AUTO_TEST_CASE(a_record_follows_its_block)
{
    struct row
    {
        const char* what;
        part_crash_history history;
        std::optional<int> recorded_trials;
        record_change expected;
    };
    const row rows[] = {
        {"no block, no record", {}, std::nullopt, record_change::none},
        {"a new block", history_with_block(0), std::nullopt, record_change::write},
        {"a recorded block", history_with_block(2), 2, record_change::none},
        {"another trial", history_with_block(3), 2, record_change::write},
        {"a record of a later trial", history_with_block(1), 2, record_change::none},
        {"a block that has ended", {}, 2, record_change::remove},
    };
    for (const row& one : rows)
        BOOST_TEST((needed_record_change(one.history, part, one.recorded_trials) ==
                    one.expected),
                   one.what);
}

// Guards against a step of the wall clock that keeps a sound part blocked for longer than
// any trial takes to come.
BOOST_AUTO_TEST_CASE(a_stepped_wall_clock_delays_no_trial_beyond_the_longest_delay)
{
    const instant now = instant{} + seconds(50);
    BOOST_TEST((block_from_record(1, milliseconds(700), now).next_trial_at ==
                now + milliseconds(700)));
    BOOST_TEST((block_from_record(1, milliseconds(-700), now).next_trial_at == now));
    BOOST_TEST((block_from_record(1, 2 * max_trial_delay, now).next_trial_at ==
                now + max_trial_delay));
}

// Guards against a record that no daemon, or each daemon, keeps.
BOOST_AUTO_TEST_CASE(one_member_keeps_each_record)
{
    int keepers = 0;
    for (const char* const self : {"d1", "d2", "d3", "d4"})
    {
        fleet_view fleet;
        fleet.self = {self};
        for (const char* const member : {"d1", "d2", "d3", "d4"})
            fleet.members[{member}].leased = true;
        keepers += daemon_for_record(fleet, part) == fleet.self ? 1 : 0;
    }
    BOOST_TEST(keepers == 1);
}

BOOST_AUTO_TEST_SUITE_END()
