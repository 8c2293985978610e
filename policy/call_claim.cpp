#include "policy/call_claim.hpp"

#include "core/json_text.hpp"
#include "policy/crash_history.hpp"

namespace pollenhaven
{

namespace
{

constexpr int status_conflict = 409;
constexpr int status_unprocessable = 422;
constexpr int status_unavailable = 503;
constexpr int first_final_status = 200;
constexpr int last_status = 599;
constexpr milliseconds outage_retry_after{2000};
constexpr milliseconds in_doubt_retry_after{1000};
// Responses with a longer body are not stored. A retry of such a call fails with
// may_have_run.
constexpr std::size_t max_body_bytes = 65536;
// The store's limit on entries in one transaction, conditions and changes together.
constexpr std::size_t max_transaction_entries = 32;

// Whether a response can end with the status.
bool is_final_status(int status)
{
    return status >= first_final_status && status <= last_status;
}

} // namespace

std::string encode_claim(const claim_record& record)
{
    nlohmann::json object = {{"done", record.state == claim_state::done},
                             {"attempt", record.attempt},
                             {"fingerprint", record.fingerprint},
                             {"claimed_ms", record.claimed_at.count()},
                             {"status", record.status},
                             {"body", record.body}};
    if (!record.has_length)
        object["has_length"] = false;
    return write_json(object);
}

claim_record decode_claim(const std::string& text)
{
    const nlohmann::json object = parse_json_or_null(text);
    if (!object.is_object())
        return {};
    try
    {
        claim_record record;
        record.state =
            object.value("done", false) ? claim_state::done : claim_state::claimed;
        record.attempt = object.value("attempt", "");
        record.fingerprint = object.value("fingerprint", "");
        if (object.contains("claimed_ms"))
            record.claimed_at =
                milliseconds(checked_integer(object["claimed_ms"], 0, max_exact_integer));
        record.status = object.contains("status") ? checked_count(object["status"]) : 0;
        if (record.state == claim_state::done && !is_final_status(record.status))
            return {};
        record.body = object.value("body", "");
        record.has_length = object.value("has_length", true);
        return record;
    }
    catch (const nlohmann::json::exception&)
    {
        return {};
    }
    catch (const json_error&)
    {
        return {};
    }
}

std::string claim_key(const std::string& route, const std::string& caller_key)
{
    return claim_prefix + content_fingerprint(route, caller_key);
}

std::string to_string(claim_outcome outcome)
{
    switch (outcome)
    {
    case claim_outcome::granted:
        return "granted";
    case claim_outcome::answered_before:
        return "answered_before";
    case claim_outcome::in_doubt:
        return "in_doubt";
    case claim_outcome::key_reused:
        return "key_reused";
    case claim_outcome::unavailable:
        break;
    }
    return "unavailable";
}

store_transaction claim_transaction(const claim_request& request)
{
    store_transaction change;
    change.expected.push_back({request.key, {0}});
    change.writes.push_back({request.key, encode_claim(request.record), 0});
    return change;
}

bool is_own_claim(const claim_request& request, const store_item& stored)
{
    const claim_record record = decode_claim(stored.value);
    return record.attempt == request.record.attempt &&
           record.state == claim_state::claimed;
}

claim_decision resolve_existing_claim(const claim_request& request,
                                      const store_item& stored)
{
    const claim_record record = decode_claim(stored.value);
    if (is_own_claim(request, stored))
        return {claim_outcome::granted, stored.revision, record};
    if (!record.attempt.empty() && record.fingerprint != request.record.fingerprint)
        return {claim_outcome::key_reused, stored.revision, record};
    if (record.state == claim_state::done)
        return {claim_outcome::answered_before, stored.revision, record};
    return {claim_outcome::in_doubt, stored.revision, record};
}

std::optional<claim_record> completed_claim_record(const claim_request& request,
                                                   int status, const std::string& body,
                                                   bool has_length)
{
    if (body.size() > max_body_bytes)
        return std::nullopt;
    claim_record record = request.record;
    record.state = claim_state::done;
    record.status = status;
    record.body = body;
    record.has_length = has_length;
    return record;
}

std::vector<store_transaction>
expired_claim_removals(const std::vector<store_item>& items, milliseconds wall_clock_now,
                       milliseconds retention)
{
    std::vector<store_transaction> removals;
    for (const store_item& item : items)
    {
        const claim_record record = decode_claim(item.value);
        // A claim that can't be read may stand for a call that has run.
        if (record.attempt.empty() || wall_clock_now - record.claimed_at < retention)
            continue;
        // Each removal takes two entries: one condition and one change.
        if (removals.empty() ||
            removals.back().removals.size() >= max_transaction_entries / 2)
            removals.emplace_back();
        removals.back().expected.push_back({item.key, item.revision});
        removals.back().removals.push_back(item.key);
    }
    return removals;
}

failure failure_for(const claim_decision& decision)
{
    switch (decision.outcome)
    {
    case claim_outcome::in_doubt:
        return {verdict::may_have_run, status_conflict, "call_in_doubt",
                "another attempt with this idempotency key may have been carried out; "
                "the same key may be sent again to learn its answer",
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
