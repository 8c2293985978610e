#include "policy/fleet/keeper_questions.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

constexpr int max_unanswered = 2;
constexpr milliseconds contact_pause{500};
constexpr milliseconds waiting_lifetime = 3 * waiting_question_interval;

} // namespace

void record_answer(keeper_contact& contact)
{
    contact = {};
}

void record_unanswered(keeper_contact& contact, instant now)
{
    if (++contact.unanswered >= max_unanswered)
        contact.pause_ends = now + contact_pause;
}

bool may_ask(const keeper_contact& contact, instant now)
{
    return now >= contact.pause_ends;
}

void record_question(waiting_daemons& waiting, const daemon_id& daemon, bool is_waiting,
                     instant now)
{
    if (is_waiting)
        waiting.asked_at[daemon] = now;
    else
        waiting.asked_at.erase(daemon);
}

std::vector<daemon_id> take_daemons_to_inform(waiting_daemons& waiting, int free_slots,
                                              instant now)
{
    std::erase_if(waiting.asked_at, [now](const auto& entry)
                  { return now - entry.second > waiting_lifetime; });
    std::vector<std::pair<instant, daemon_id>> order;
    for (const auto& [daemon, asked_at] : waiting.asked_at)
        order.emplace_back(asked_at, daemon);
    std::sort(order.begin(), order.end());
    const auto count = static_cast<std::size_t>(std::max(0, free_slots) + 1);
    order.resize(std::min(order.size(), count));
    std::vector<daemon_id> informed;
    for (const auto& [asked_at, daemon] : order)
    {
        waiting.asked_at.erase(daemon);
        informed.push_back(daemon);
    }
    return informed;
}

} // namespace pollenhaven
