#include "policy/call_claim.hpp"

#include <nlohmann/json.hpp>

#include <set>

namespace pollenhaven
{

namespace
{

constexpr int status_conflict = 409;
constexpr int status_unprocessable = 422;
constexpr int status_unavailable = 503;
constexpr milliseconds outage_retry_after{2000};
constexpr milliseconds in_doubt_retry_after{1000};

} // namespace

std::string encode_claim(const claim_record& record)
{
    const nlohmann::json object = {{"done", record.state == claim_state::done},
                                   {"attempt", record.attempt},
                                   {"fingerprint", record.fingerprint},
                                   {"status", record.status},
                                   {"body", record.body}};
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

claim_record decode_claim(const std::string& text)
{
    claim_record record;
    const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
    if (!object.is_object())
        return record;
    record.state = object.value("done", false) ? claim_state::done : claim_state::claimed;
    record.attempt = object.value("attempt", "");
    record.fingerprint = object.value("fingerprint", "");
    record.status = object.value("status", 0);
    record.body = object.value("body", "");
    return record;
}

transaction claim_transaction(const std::vector<claim_wish>& wishes,
                              const std::optional<lease_id>& retention)
{
    transaction change;
    for (const claim_wish& wish : wishes)
    {
        change.checks.push_back({wish.key, {0}});
        change.puts.push_back({wish.key, encode_claim(wish.record), retention});
    }
    return change;
}

claim_decision decide_existing(const claim_wish& wish, const stored_value& stored,
                               const claim_record& record)
{
    if (record.attempt == wish.record.attempt && record.state == claim_state::claimed)
        return {claim_outcome::granted, stored.modified, record};
    if (record.fingerprint != wish.record.fingerprint)
        return {claim_outcome::key_reused, stored.modified, record};
    if (record.state == claim_state::done)
        return {claim_outcome::answered_before, stored.modified, record};
    return {claim_outcome::in_doubt, stored.modified, record};
}

std::vector<claim_wish> distinct_wishes(std::vector<claim_wish>& pending,
                                        std::size_t limit)
{
    std::vector<claim_wish> taken;
    std::vector<claim_wish> left;
    std::set<std::string> keys;
    for (claim_wish& wish : pending)
    {
        const bool fits = taken.size() < limit && keys.insert(wish.key).second;
        (fits ? taken : left).push_back(std::move(wish));
    }
    pending = std::move(left);
    return taken;
}

failure refusal_for(const claim_decision& decision)
{
    switch (decision.outcome)
    {
    case claim_outcome::in_doubt:
        return {verdict::may_have_run, status_conflict, "call_in_doubt",
                "another attempt with this idempotency key may have been carried out; "
                "the same "
                "key may be sent again to learn its answer",
                in_doubt_retry_after};
    case claim_outcome::key_reused:
        return {verdict::not_run, status_unprocessable, "idempotency_key_reused",
                "this idempotency key was used for a call with other content",
                std::nullopt};
    case claim_outcome::granted:
    case claim_outcome::answered_before:
    case claim_outcome::unavailable:
        break;
    }
    return {verdict::not_run, status_unavailable, "claim_unavailable",
            "the call could not be claimed, so it was not carried out",
            outage_retry_after};
}

} // namespace pollenhaven
