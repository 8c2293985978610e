#include "policy/output_patience.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// One probe may be lost.
constexpr int max_unanswered_probes = 1;
// What the limit exceeds the time by for which the output has been unread. Two probes
// then fit into the time in which an unreachable peer has to be noticed.
constexpr milliseconds limit_step{1300};

} // namespace

std::optional<milliseconds> next_unconfirmed_limit(const delivery_state& state,
                                                   milliseconds unread_for)
{
    const milliseconds silent_for = std::min(state.since_confirmation, unread_for);
    const bool expects_confirmation =
        state.has_unconfirmed_segments || state.unanswered_probes > max_unanswered_probes;
    if (silent_for >= unconfirmed_limit && expects_confirmation)
        return std::nullopt;
    return std::max(unconfirmed_limit, unread_for + output_check_interval +
                                           unread_check_interval + limit_step);
}

} // namespace pollenhaven
