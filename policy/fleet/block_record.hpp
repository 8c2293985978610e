#ifndef POLLENHAVEN_POLICY_FLEET_BLOCK_RECORD_HPP
#define POLLENHAVEN_POLICY_FLEET_BLOCK_RECORD_HPP

#include "policy/fleet/prompt_part_crashes.hpp"

#include <optional>

namespace pollenhaven
{

// Blocked parts have records in the store, so that a part that crashes engines stays
// blocked after all daemons have restarted. One daemon keeps the record of each part.

// What has to be done with the record of a part.
enum class record_change
{
    none,
    write,
    remove
};

// Returns what the record needs. `recorded_trials` is the number of trials in the
// record; none if there is no record.
record_change needed_record_change(const part_crash_history& history,
                                   const prompt_part_id& part,
                                   std::optional<int> recorded_trials);

// Returns the daemon that keeps the part's record. All daemons choose the same one, as
// far as they know the same members.
daemon_id daemon_for_record(const fleet_view& fleet, const prompt_part_id& part);

// Returns the block that a record describes. `next_trial_in` is the time until its next
// trial by the wall clock, which may have been stepped.
blocked_part block_from_record(int trials, milliseconds next_trial_in, instant now);

} // namespace pollenhaven

#endif
