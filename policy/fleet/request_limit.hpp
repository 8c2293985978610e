#ifndef POLLENHAVEN_POLICY_FLEET_REQUEST_LIMIT_HPP
#define POLLENHAVEN_POLICY_FLEET_REQUEST_LIMIT_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "core/records/endpoint_record.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace pollenhaven
{

// An endpoint may state a limit on the requests from all daemons together. One daemon,
// the endpoint's permit giver, then counts the requests and gives a permit for each one
// that keeps to the limit. The other daemons ask it before they send one.

// Identifies a permit for its giver; a later permit of a giver has a larger number.
using permit_number = strong_number<struct permit_number_tag>;

// The requests that an endpoint recently got from all daemons, as far as known.
struct request_history
{
    struct entry
    {
        instant first;
        instant last;
        int requests = 0;
    };
    // The oldest first.
    std::vector<entry> entries;
};

// The limit that an endpoint stated, and when this daemon last learned that it applies.
struct stated_limit
{
    request_rate rate;
    instant learned_at{};
};

// A permit to send one request.
struct held_permit
{
    daemon_id giver;
    permit_number number;
    instant valid_until{};
};

// What a daemon knows of an endpoint's limit and of its own permits.
struct limit_view
{
    std::optional<stated_limit> stated;
    request_history history;
    std::vector<held_permit> permits;
    // When the giver was last asked; zero if it has answered.
    instant asked_at{};
    // Requests for a permit in succession that weren't answered.
    int unanswered = 0;
    // The giver is not asked again before this time.
    instant denied_until{};
};

// What the giver of an endpoint's permits remembers.
struct permit_ledger
{
    struct given_permit
    {
        daemon_id receiver;
        instant at;
    };
    // Permits whose request the receiver has not reported yet, the oldest first.
    std::deque<given_permit> unreported;
    permit_number last_number;
    // The latest time at which a daemon that got no permit was told to ask again.
    instant promised_until{};
    // When the giver learned that a limit had ended; zero if it never did.
    instant limit_ended_at{};
};

// The giver's answer to a request for a permit.
struct permit_decision
{
    // None if no permit is given.
    std::optional<permit_number> number;
    // When to ask again, if none is given.
    milliseconds retry_in{0};
};

enum class permit_status
{
    // A request may be sent: there is no limit, or this daemon holds a permit.
    allowed,
    // The giver must be asked, or has been asked.
    unknown,
    // The giver has no permit left, or doesn't answer.
    denied
};

// Adds requests to the history, and forgets those that are too old to matter.
void add_requests(request_history& history, int requests, instant now);

// Returns the earliest time from `now` on at which one more request keeps to the limit:
// in any second at most as many requests as the limit allows in one second, rounded up,
// and in any four seconds at most as many as it allows in four, rounded down. Limits
// below one request in four seconds apply to a longer span. A limit of 0 counts as one
// request in ten seconds: without a response the daemons would never learn of its end.
instant next_request_at(const request_history& history, request_rate limit, instant now);

// Decides on the request of a daemon for a permit. A permit counts as a request at once,
// so that a lost message can only make the endpoint get fewer requests. Daemons that get
// none are told different times at which to ask again, spread by the limit.
permit_decision give_permit(permit_ledger& ledger, request_history& history,
                            request_rate limit, const daemon_id& receiver, instant now);

// Records the requests that a daemon reports to have sent, except those for which it got
// a permit, which are counted already.
void record_reported_requests(permit_ledger& ledger, request_history& history,
                              const daemon_id& sender, int requests, instant now);

// Returns whether a permit's number shows that its request was sent after the giver last
// learned of the limit. A response to it without a limit then proves the limit's end.
bool proves_end(const stated_limit& limit, permit_number number);

// Returns whether this daemon may send a request to the endpoint now.
permit_status status_of(const limit_view& view, instant now);

// Uses up the permit that ends first. None if the endpoint has no limit or this daemon
// has no valid permit.
std::optional<held_permit> use_permit(limit_view& view, instant now);

// Returns true if the giver should be asked for a permit now, and records that it is. A
// giver that doesn't answer several times counts as one without permits for a while.
bool should_ask(limit_view& view, instant now);

// Applies the giver's answer: `number` is 0 if it gave no permit.
void apply_answer(limit_view& view, const daemon_id& giver, permit_number number,
                  milliseconds retry_in, instant now);

// Learns a limit from a response to a request that was sent at `sent`. A higher limit is
// believed only if the request was sent after the lower one was learned, because
// responses may overtake each other. Returns true if the known limit has changed.
bool learn_limit(limit_view& view, request_rate rate, instant sent, instant now);

// Sets the limit that a peer has told. Returns true if the known limit has changed.
bool set_limit(limit_view& view, request_rate rate, instant learned_at);

// Removes the limit, and what belongs to it.
void remove_limit(limit_view& view);

// Returns the cost of selecting an endpoint with this limit, as an equivalent waiting
// time: the time between two requests that it allows, up to a maximum.
double limit_cost_ms(const limit_view& view);

} // namespace pollenhaven

#endif
