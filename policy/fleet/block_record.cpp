#include "policy/fleet/block_record.hpp"

#include <algorithm>

namespace pollenhaven
{

record_change needed_record_change(const part_crash_history& history,
                                   const prompt_part_id& part,
                                   std::optional<int> recorded_trials)
{
    const auto block = history.blocked.find(part);
    if (block == history.blocked.end())
        return recorded_trials ? record_change::remove : record_change::none;
    return recorded_trials && *recorded_trials >= block->second.trials
               ? record_change::none
               : record_change::write;
}

daemon_id daemon_for_record(const fleet_view& fleet, const prompt_part_id& part)
{
    return first_member_by_hash(fleet, part.value);
}

blocked_part block_from_record(int trials, milliseconds next_trial_in, instant now)
{
    return {trials, now + std::clamp(next_trial_in, milliseconds(0), max_trial_delay)};
}

} // namespace pollenhaven
