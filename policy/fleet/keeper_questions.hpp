#ifndef POLLENHAVEN_POLICY_FLEET_KEEPER_QUESTIONS_HPP
#define POLLENHAVEN_POLICY_FLEET_KEEPER_QUESTIONS_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"

#include <map>
#include <vector>

namespace pollenhaven
{

// A daemon asks an endpoint's keeper for the load there before it sends a request. The
// question reserves the place, so two daemons that ask at the same time don't both take
// the last one. The number of messages grows with the requests, not with the daemons.

// Numbers the questions of one daemon; 0 is no question.
using question_number = strong_number<struct question_number_tag>;

// A keeper that doesn't answer within this time is paused, unreachable or of an earlier
// release; the request is then sent by what is known. Longer than a round trip between
// availability zones.
constexpr milliseconds keeper_answer_time{15};
// Questions for one request. Each answer may show that another endpoint is better.
constexpr int max_questions_per_request = 3;
// While a request waits for an endpoint to take it, the keeper is asked again at this
// interval.
constexpr milliseconds waiting_question_interval{100};

// How a keeper has answered lately.
struct keeper_contact
{
    int unanswered = 0;
    // No question is sent to the keeper before this time.
    instant pause_ends{};
};

void record_answer(keeper_contact& contact);

// Records a question that got no answer. After some in a row the keeper isn't asked for a
// while, so that requests don't wait for its answers in vain.
void record_unanswered(keeper_contact& contact, instant now);

bool may_ask(const keeper_contact& contact, instant now);

// The daemons that wait until an endpoint can take a request, as its keeper knows them.
struct waiting_daemons
{
    // When each last asked.
    std::map<daemon_id, instant> asked_at;
};

// Records a question of a daemon. One that doesn't wait any more is forgotten.
void record_question(waiting_daemons& waiting, const daemon_id& daemon, bool is_waiting,
                     instant now);

// Takes the daemons to inform of an endpoint with `free_slots` more requests to take: one
// more than there are free slots, in the order of their last questions. Those that asked
// too long ago are dropped: they have asked again or don't wait any more.
std::vector<daemon_id> take_daemons_to_inform(waiting_daemons& waiting, int free_slots,
                                              instant now);

} // namespace pollenhaven

#endif
