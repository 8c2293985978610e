#include "policy/fleet/prompt_part_crashes.hpp"

#include <algorithm>
#include <tuple>

namespace pollenhaven
{

namespace
{

// Evidence of one crash comes from several daemons, within this time. An endpoint that
// crashes again later has restarted meanwhile.
constexpr milliseconds same_crash_time{1500};
// Endpoints that go down closer together may have a common cause, such as a rack without
// power, and count as one.
constexpr milliseconds min_crash_distance{200};
// A part is blocked after this many crashes, of which no other blocked part explains at
// least `min_unexplained`.
constexpr int min_crashes = 3;
constexpr int min_unexplained = 2;
// However close together they are, this many crashes suffice for a part that nobody has
// answered within `answer_lifetime`: no common cause is that likely.
constexpr int min_crashes_if_never_answered = 5;
// If several parts explain the crashes equally well, all are blocked after this many.
constexpr int min_crashes_if_ambiguous = 5;
// A block that another daemon still announces is outdated if the part was answered within
// this time, and was in no crash since.
constexpr milliseconds outdated_block_time{2000};
constexpr milliseconds crash_lifetime{60'000};
constexpr milliseconds answer_lifetime{10'000};
constexpr milliseconds first_trial_delay{60'000};
// A block ends if no request asks for the part for this long after a trial is due.
constexpr milliseconds unused_block_lifetime{3'600'000};
constexpr std::size_t max_crash_records = 128;
constexpr std::size_t max_answered_parts = 1024;
constexpr std::size_t max_blocked_parts = 64;

bool is_explained(const part_crash_history& history, const observed_crash& crash)
{
    return std::any_of(crash.parts.begin(), crash.parts.end(),
                       [&](const auto& entry)
                       { return history.blocked.contains(entry.first); });
}

// How well a part explains the crashes.
struct part_score
{
    prompt_part_id part;
    int unexplained = 0;
    int crashes = 0;
    // The same, but each crash counts, however close to another one.
    int all_unexplained = 0;
    int all_crashes = 0;
    // Nobody has answered a request with the part lately.
    bool is_unanswered = false;
    int position = 0;
    instant last_crash_at{};
};

std::tuple<int, int, int, bool, int> rank(const part_score& score)
{
    return {score.unexplained, score.crashes, score.all_crashes, score.is_unanswered,
            score.position};
}

bool suffices(const part_score& score)
{
    if (score.crashes >= min_crashes && score.unexplained >= min_unexplained)
        return true;
    return score.is_unanswered && score.all_crashes >= min_crashes_if_never_answered &&
           score.all_unexplained >= min_unexplained;
}

// Returns the scores of the parts that the evidence suffices for.
std::vector<part_score> score_parts(const part_crash_history& history, instant now)
{
    std::map<prompt_part_id, part_score> scores;
    for (const observed_crash& crash : history.crashes)
    {
        if (now - crash.heard_at < evidence_delay)
            continue;
        const bool explained = is_explained(history, crash);
        for (const auto& [part, position] : crash.parts)
        {
            part_score& score = scores[part];
            score.part = part;
            score.all_crashes += 1;
            score.all_unexplained += explained ? 0 : 1;
            score.position = std::max(score.position, position);
            if (score.crashes > 0 &&
                crash.heard_at - score.last_crash_at < min_crash_distance)
                continue;
            score.crashes += 1;
            score.unexplained += explained ? 0 : 1;
            score.last_crash_at = crash.heard_at;
        }
    }
    std::vector<part_score> result;
    for (auto& [part, score] : scores)
    {
        score.is_unanswered = !history.answered.contains(part);
        if (!history.blocked.contains(part) && suffices(score))
            result.push_back(score);
    }
    return result;
}

bool are_in_same_crashes(const part_crash_history& history, const prompt_part_id& left,
                         const prompt_part_id& right)
{
    return std::all_of(
        history.crashes.begin(), history.crashes.end(),
        [&](const observed_crash& crash)
        { return crash.parts.contains(left) == crash.parts.contains(right); });
}

// Returns the parts that explain the crashes best; none if the evidence doesn't suffice.
std::vector<prompt_part_id> best_explanation(const part_crash_history& history,
                                             instant now)
{
    const std::vector<part_score> scores = score_parts(history, now);
    const auto best = std::max_element(scores.begin(), scores.end(),
                                       [](const part_score& left, const part_score& right)
                                       { return rank(left) < rank(right); });
    if (best == scores.end())
        return {};
    std::vector<prompt_part_id> parts;
    for (const part_score& score : scores)
        if (rank(score) == rank(*best) &&
            are_in_same_crashes(history, score.part, best->part))
            parts.push_back(score.part);
    if (parts.size() > 1 && best->crashes < min_crashes_if_ambiguous)
        return {};
    return parts;
}

void drop_oldest_answered(part_crash_history& history)
{
    const auto oldest = std::min_element(history.answered.begin(), history.answered.end(),
                                         [](const auto& left, const auto& right)
                                         { return left.second < right.second; });
    history.answered.erase(oldest);
}

observed_crash& find_or_add_crash(part_crash_history& history,
                                  const endpoint_id& endpoint, instant now)
{
    for (observed_crash& crash : history.crashes)
        if (crash.endpoint == endpoint && now - crash.heard_at < same_crash_time)
            return crash;
    if (history.crashes.size() >= max_crash_records)
        history.crashes.erase(history.crashes.begin());
    history.crashes.push_back({endpoint, now, {}});
    return history.crashes.back();
}

bool is_suspect(const part_crash_history& history, const prompt_part_id& part)
{
    return history.blocked.contains(part) ||
           std::any_of(history.crashes.begin(), history.crashes.end(),
                       [&](const observed_crash& crash)
                       { return crash.parts.contains(part); });
}

} // namespace

void record_part_crash(part_crash_history& history, const endpoint_id& endpoint,
                       const positioned_parts& parts, instant now)
{
    if (parts.empty())
        return;
    observed_crash& crash = find_or_add_crash(history, endpoint, now);
    for (const auto& [part, position] : parts)
    {
        const auto answered = history.answered.find(part);
        const bool is_cleared =
            answered != history.answered.end() && answered->second >= crash.heard_at;
        if (!is_cleared && crash.parts.size() < max_parts_per_crash)
            crash.parts[part] = std::max(crash.parts[part], position);
    }
}

std::vector<prompt_part_id>
record_parts_answered(part_crash_history& history,
                      const std::vector<prompt_part_id>& parts, instant now)
{
    std::vector<prompt_part_id> suspects;
    for (const prompt_part_id& part : parts)
    {
        if (is_suspect(history, part))
            suspects.push_back(part);
        history.blocked.erase(part);
        for (observed_crash& crash : history.crashes)
            crash.parts.erase(part);
        history.answered[part] = now;
        if (history.answered.size() > max_answered_parts)
            drop_oldest_answered(history);
    }
    return suspects;
}

std::vector<prompt_part_id> block_crashing_parts(part_crash_history& history, instant now)
{
    std::vector<prompt_part_id> blocked;
    while (history.blocked.size() < max_blocked_parts)
    {
        const std::vector<prompt_part_id> parts = best_explanation(history, now);
        if (parts.empty())
            break;
        for (const prompt_part_id& part : parts)
        {
            history.blocked[part] = {0, now + first_trial_delay};
            blocked.push_back(part);
        }
    }
    return blocked;
}

bool adopt_block(part_crash_history& history, const prompt_part_id& part,
                 const blocked_part& block, instant now)
{
    const auto known = history.blocked.find(part);
    if (known != history.blocked.end())
    {
        if (block.trials > known->second.trials)
            known->second = block;
        return true;
    }
    const auto answered = history.answered.find(part);
    if (answered != history.answered.end() &&
        now - answered->second < outdated_block_time && !is_suspect(history, part))
        return false;
    if (history.blocked.size() < max_blocked_parts)
        history.blocked[part] = block;
    return true;
}

std::vector<prompt_part_id> blocked_among(const part_crash_history& history,
                                          const std::vector<prompt_part_id>& parts)
{
    std::vector<prompt_part_id> blocked;
    for (const prompt_part_id& part : parts)
        if (history.blocked.contains(part))
            blocked.push_back(part);
    return blocked;
}

bool is_trial_due(const part_crash_history& history, const prompt_part_id& part,
                  instant now)
{
    const auto found = history.blocked.find(part);
    return found != history.blocked.end() && now >= found->second.next_trial_at;
}

void record_trial(part_crash_history& history, const prompt_part_id& part, instant now)
{
    constexpr int max_doublings = 10;
    blocked_part& block = history.blocked.at(part);
    block.trials += 1;
    const milliseconds delay =
        first_trial_delay * (1 << std::min(block.trials, max_doublings));
    block.next_trial_at = now + std::min(delay, max_trial_delay);
}

daemon_id daemon_for_trial(const fleet_view& fleet, const prompt_part_id& part,
                           int trials)
{
    return first_member_by_hash(fleet, part.value + "/" + std::to_string(trials));
}

void remove_expired(part_crash_history& history, instant now)
{
    std::erase_if(history.crashes,
                  [&](const observed_crash& crash) {
                      return now - crash.heard_at > crash_lifetime &&
                             !is_explained(history, crash);
                  });
    std::erase_if(history.answered, [&](const auto& entry)
                  { return now - entry.second > answer_lifetime; });
    std::erase_if(history.blocked, [&](const auto& entry)
                  { return now - entry.second.next_trial_at > unused_block_lifetime; });
}

} // namespace pollenhaven
