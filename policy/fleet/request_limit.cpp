#include "policy/fleet/request_limit.hpp"

#include <algorithm>
#include <cmath>

namespace pollenhaven
{

namespace
{

constexpr milliseconds short_window{1000};
constexpr milliseconds long_window{4000};
constexpr double min_rate = 0.1;
constexpr milliseconds history_lifetime{10000};
// Requests that are reported within this time of each other share an entry.
constexpr milliseconds history_resolution{200};
// Reports of requests arrive within about a second, if they aren't lost.
constexpr milliseconds report_timeout{3000};
// A permit counts from the time at which it was asked for, on the receiver's own clock.
constexpr milliseconds permit_lifetime{250};
constexpr milliseconds ask_interval{100};
constexpr int max_unanswered = 3;
constexpr milliseconds unanswered_backoff{500};
// Daemons are told to ask again at this many times the rate of the limit, since not all
// of them still have a request by then.
constexpr int asks_per_permit = 2;
constexpr milliseconds max_retry_time{4000};
constexpr double max_limit_cost_ms = 2000;

milliseconds time_between_requests(request_rate limit)
{
    return milliseconds(
        static_cast<long long>(1000 / std::max(limit.per_second, min_rate)));
}

std::uint64_t microseconds_since_boot(instant time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

// Returns when fewer than `capacity` of the requests lie within the window before it.
instant window_allows_at(const request_history& history, milliseconds window,
                         double capacity, instant now)
{
    int requests = 0;
    for (auto entry = history.entries.rbegin(); entry != history.entries.rend(); ++entry)
    {
        requests += entry->requests;
        if (requests + 1 > capacity)
            return std::max(now, entry->last + window);
    }
    return now;
}

} // namespace

void add_requests(request_history& history, int requests, instant now)
{
    if (requests <= 0)
        return;
    std::erase_if(history.entries, [now](const request_history::entry& entry)
                  { return now - entry.last > history_lifetime; });
    if (history.entries.empty() ||
        now - history.entries.back().first >= history_resolution)
        history.entries.push_back({now, now, 0});
    history.entries.back().last = now;
    history.entries.back().requests += requests;
}

instant next_request_at(const request_history& history, request_rate limit, instant now)
{
    const double rate = std::max(limit.per_second, min_rate);
    const milliseconds span = std::max(long_window, time_between_requests(limit));
    const double span_capacity =
        std::max(1.0, std::floor(rate * to_seconds(instant::duration(span))));
    return std::max(window_allows_at(history, short_window, std::ceil(rate), now),
                    window_allows_at(history, span, span_capacity, now));
}

permit_decision give_permit(permit_ledger& ledger, request_history& history,
                            request_rate limit, const daemon_id& receiver, instant now)
{
    permit_decision decision;
    const instant next = next_request_at(history, limit, now);
    if (next <= now)
    {
        add_requests(history, 1, now);
        ledger.unreported.push_back({receiver, now});
        ledger.last_number = {
            std::max(ledger.last_number.value + 1, microseconds_since_boot(now))};
        decision.number = ledger.last_number;
        return decision;
    }
    const instant after_others =
        ledger.promised_until + time_between_requests(limit) / asks_per_permit;
    ledger.promised_until = std::min(std::max(next, after_others), now + max_retry_time);
    decision.retry_in = to_milliseconds(ledger.promised_until - now);
    return decision;
}

void record_reported_requests(permit_ledger& ledger, request_history& history,
                              const daemon_id& sender, int requests, instant now)
{
    std::deque<permit_ledger::given_permit> unreported;
    for (const permit_ledger::given_permit& permit : ledger.unreported)
    {
        if (now - permit.at > report_timeout)
            continue;
        if (permit.receiver == sender && requests > 0)
            --requests;
        else
            unreported.push_back(permit);
    }
    ledger.unreported = std::move(unreported);
    add_requests(history, requests, now);
}

bool proves_end(const stated_limit& limit, permit_number number)
{
    return number.value > microseconds_since_boot(limit.learned_at);
}

permit_status status_of(const limit_view& view, instant now)
{
    if (!view.stated)
        return permit_status::allowed;
    for (const held_permit& permit : view.permits)
        if (permit.valid_until > now)
            return permit_status::allowed;
    return now < view.denied_until ? permit_status::denied : permit_status::unknown;
}

std::optional<held_permit> use_permit(limit_view& view, instant now)
{
    std::erase_if(view.permits,
                  [now](const held_permit& permit) { return permit.valid_until <= now; });
    if (!view.stated || view.permits.empty())
        return std::nullopt;
    const held_permit permit = view.permits.front();
    view.permits.erase(view.permits.begin());
    return permit;
}

bool should_ask(limit_view& view, instant now)
{
    const bool was_asked = view.asked_at != instant{};
    if (now < view.denied_until || (was_asked && now - view.asked_at < ask_interval))
        return false;
    if (was_asked && ++view.unanswered >= max_unanswered)
    {
        view.unanswered = 0;
        view.asked_at = {};
        view.denied_until = now + unanswered_backoff;
        return false;
    }
    view.asked_at = now;
    return true;
}

void apply_answer(limit_view& view, const daemon_id& giver, permit_number number,
                  milliseconds retry_in, instant now)
{
    // An answer to an earlier request; the permit would count from an unknown time.
    if (view.asked_at == instant{})
        return;
    if (number.value == 0)
        view.denied_until = now + retry_in;
    else
        view.permits.push_back({giver, number, view.asked_at + permit_lifetime});
    view.asked_at = {};
    view.unanswered = 0;
}

bool learn_limit(limit_view& view, request_rate rate, instant sent, instant now)
{
    const bool is_higher = view.stated && rate.per_second > view.stated->rate.per_second;
    if (is_higher && sent <= view.stated->learned_at)
        return false;
    return set_limit(view, rate, now);
}

bool set_limit(limit_view& view, request_rate rate, instant learned_at)
{
    const bool is_changed = !view.stated || view.stated->rate != rate;
    view.stated = {rate, learned_at};
    return is_changed;
}

void remove_limit(limit_view& view)
{
    view.stated.reset();
    view.permits.clear();
    view.asked_at = {};
    view.unanswered = 0;
    view.denied_until = {};
}

double limit_cost_ms(const limit_view& view)
{
    if (!view.stated)
        return 0;
    const auto gap =
        static_cast<double>(time_between_requests(view.stated->rate).count());
    return std::min(gap, max_limit_cost_ms);
}

} // namespace pollenhaven
