#ifndef POLLENHAVEN_POLICY_FLEET_PROMPT_PART_CRASHES_HPP
#define POLLENHAVEN_POLICY_FLEET_PROMPT_PART_CRASHES_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "policy/fleet/fleet_view.hpp"

#include <map>
#include <string>
#include <vector>

namespace pollenhaven
{

// A crash counts once its evidence has had this time to arrive from all daemons.
inline constexpr milliseconds evidence_delay{60};

// The longest time between two trials of a blocked part.
inline constexpr milliseconds max_trial_delay{3'600'000};

// The most parts that are kept of one crash.
inline constexpr std::size_t max_parts_per_crash = 128;

// Parts of prompts, each with its position, counted from 0.
using positioned_parts = std::map<prompt_part_id, int>;

// The crash of an endpoint, and the parts of the requests that it had not begun to
// answer, without those that were answered since.
struct observed_crash
{
    endpoint_id endpoint;
    // When this daemon first heard of the crash.
    instant heard_at{};
    positioned_parts parts;
};

// A part whose requests aren't sent to endpoints.
struct blocked_part
{
    // Requests that were sent since then to find out whether the part still crashes.
    int trials = 0;
    instant next_trial_at{};
};

// Finds parts of prompts that crash engines, whatever else a request holds, by group
// testing: a crash is a positive test of the parts in it, the first event of a response a
// negative test of its request's parts. Of the parts that are in most crashes, one that
// was not answered lately is blocked, and of several the one furthest from the beginning
// of the prompt, since it is shared least; it explains its crashes, so that they don't
// count against the parts beside it.
struct part_crash_history
{
    // Oldest first; bounded in number and age.
    std::vector<observed_crash> crashes;
    // When a request with this part was last answered. Bounded in number and age.
    std::map<prompt_part_id, instant> answered;
    std::map<prompt_part_id, blocked_part> blocked;
};

// Adds what one daemon knows about a crash. Does nothing if no parts are given.
void record_part_crash(part_crash_history& history, const endpoint_id& endpoint,
                       const positioned_parts& parts, instant now);

// Records that an engine has begun to answer a request with these parts. Returns those
// that were suspects or blocked, which the other daemons must be told.
std::vector<prompt_part_id>
record_parts_answered(part_crash_history& history,
                      const std::vector<prompt_part_id>& parts, instant now);

// Blocks the parts that explain the crashes, if there is enough evidence. Returns the
// newly blocked ones.
std::vector<prompt_part_id> block_crashing_parts(part_crash_history& history,
                                                 instant now);

// Adopts a block that another daemon decided on. Returns false, and changes nothing, if a
// request with the part was answered meanwhile.
bool adopt_block(part_crash_history& history, const prompt_part_id& part,
                 const blocked_part& block, instant now);

// Returns those of the parts that are blocked.
std::vector<prompt_part_id> blocked_among(const part_crash_history& history,
                                          const std::vector<prompt_part_id>& parts);

// Returns true if a request whose only blocked part is this one may be sent as a trial.
bool is_trial_due(const part_crash_history& history, const prompt_part_id& part,
                  instant now);

// Records that a trial was sent; the next one is due after twice the time.
void record_trial(part_crash_history& history, const prompt_part_id& part, instant now);

// Returns the daemon that makes a part's next trial. All daemons choose the same one, as
// far as they know the same members.
daemon_id daemon_for_trial(const fleet_view& fleet, const prompt_part_id& part,
                           int trials);

// Removes what is too old to count.
void remove_expired(part_crash_history& history, instant now);

} // namespace pollenhaven

#endif
