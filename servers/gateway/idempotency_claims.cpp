#include "servers/gateway/idempotency_claims.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_condition_failed = 412;
constexpr milliseconds claim_timeout{900};
constexpr milliseconds retry_interval{500};
// The store may still execute an unanswered write this long after the daemon sent it.
constexpr milliseconds max_write_delay{10000};
constexpr milliseconds removal_interval{3600L * 1000};
// Callers retry within a day; the further hour covers differences between the daemons'
// clocks.
constexpr milliseconds retention{25L * 3600 * 1000};

// Finds the item with exactly this key; a listing by prefix may contain longer keys.
const store_item* find_item(const store_page& page, const std::string& key)
{
    const auto found =
        std::find_if(page.items.begin(), page.items.end(),
                     [&](const store_item& item) { return item.key == key; });
    return found == page.items.end() ? nullptr : &*found;
}

} // namespace

idempotency_claims::idempotency_claims(gateway_context& context)
    : context_(context), client_(context)
{
}

void idempotency_claims::claim(const claim_request& request, claim_handler on_decision)
{
    const std::string attempt = request.record.attempt;
    pending_claims_[attempt] = {request, std::move(on_decision)};
    client_.call(context_.dialect.transaction_call(claim_transaction(request)),
                 claim_timeout,
                 [this, attempt](const http_result& result)
                 { on_claim_written(attempt, result); });
}

void idempotency_claims::on_claim_written(const std::string& attempt,
                                          const http_result& result)
{
    if (result.has_response && result.status == status_ok)
    {
        try
        {
            const store_revision written = context_.dialect.read_transaction(result.body);
            return finish_claim(attempt, {claim_outcome::granted, written, {}});
        }
        catch (const dialect_error& error)
        {
            context_.log.write("claim answer malformed", {{"reason", error.what()}});
            return read_existing_claim(attempt, true);
        }
    }
    if (result.has_response && result.status == status_condition_failed)
        return read_existing_claim(attempt, false);
    if (result.has_response || result.not_sent)
        return finish_claim(attempt, {});
    read_existing_claim(attempt, true);
}

void idempotency_claims::read_existing_claim(const std::string& attempt,
                                             bool may_be_written)
{
    const claim_request request = pending_claims_.at(attempt).request;
    client_.call(
        context_.dialect.range_call(request.key, ""), claim_timeout,
        [this, attempt, request, may_be_written](const http_result& result)
        {
            claim_decision decision;
            try
            {
                if (!result.has_response || result.status != status_ok)
                    throw dialect_error("the store didn't return the claim, status " +
                                        std::to_string(result.status));
                const store_page page = context_.dialect.read_page(result.body);
                const store_item* const item = find_item(page, request.key);
                if (item != nullptr)
                    decision = resolve_existing_claim(request, *item);
            }
            catch (const dialect_error& error)
            {
                context_.log.write("claim not read",
                                   {{"key", request.key}, {"reason", error.what()}});
            }
            if (may_be_written && decision.outcome == claim_outcome::unavailable)
                release_late_claim(request, context_.loop.now() + max_write_delay);
            finish_claim(attempt, decision);
        });
}

void idempotency_claims::finish_claim(const std::string& attempt,
                                      const claim_decision& decision)
{
    const auto found = pending_claims_.find(attempt);
    const pending_claim pending = std::move(found->second);
    pending_claims_.erase(found);
    context_.metrics.add("pollenhaven_claims_total{outcome=\"" +
                         to_string(decision.outcome) + "\"}");
    context_.log.write("claim",
                       {{"key", pending.request.key},
                        {"attempt", attempt},
                        {"holder", decision.existing.attempt},
                        {"revision", static_cast<std::int64_t>(decision.revision.value)},
                        {"outcome", to_string(decision.outcome)}});
    if (pending.on_decision)
        return pending.on_decision(decision);
    if (decision.outcome == claim_outcome::granted)
        release(pending.request, decision.revision);
}

void idempotency_claims::abandon(const std::string& attempt)
{
    const auto found = pending_claims_.find(attempt);
    if (found != pending_claims_.end())
        found->second.on_decision = nullptr;
}

void idempotency_claims::release_late_claim(const claim_request& request, instant until)
{
    context_.loop.schedule_after(
        retry_interval,
        [this, request, until]
        {
            client_.call(
                context_.dialect.range_call(request.key, ""), claim_timeout,
                [this, request, until](const http_result& result)
                {
                    if (!result.has_response || result.status != status_ok)
                        return release_late_claim(request, until);
                    try
                    {
                        const store_page page = context_.dialect.read_page(result.body);
                        const store_item* const item = find_item(page, request.key);
                        if (item != nullptr && is_own_claim(request, *item))
                            return release(request, item->revision);
                        if (item == nullptr && context_.loop.now() < until)
                            release_late_claim(request, until);
                    }
                    catch (const dialect_error& error)
                    {
                        context_.log.write("claim not read", {{"key", request.key},
                                                              {"reason", error.what()}});
                        release_late_claim(request, until);
                    }
                });
        });
}

void idempotency_claims::record_response(const claim_request& request,
                                         store_revision claim_revision, int status,
                                         const std::string& body, bool has_length)
{
    const std::optional<claim_record> record =
        completed_claim_record(request, status, body, has_length);
    if (!record)
    {
        context_.log.write("answer not recorded",
                           {{"key", request.key},
                            {"reason", "response body exceeds the limit for records"}});
        return;
    }
    store_transaction transaction;
    transaction.expected.push_back({request.key, claim_revision});
    transaction.writes.push_back({request.key, encode_claim(*record), 0});
    write_with_retry(transaction);
}

void idempotency_claims::release(const claim_request& request,
                                 store_revision claim_revision)
{
    store_transaction transaction;
    transaction.expected.push_back({request.key, claim_revision});
    transaction.removals.push_back(request.key);
    write_with_retry(transaction);
}

void idempotency_claims::write_with_retry(const store_transaction& transaction)
{
    client_.call(context_.dialect.transaction_call(transaction), claim_timeout,
                 [this, transaction](const http_result& result)
                 {
                     // A failed precondition means that the store executed an earlier
                     // try, or that the record has changed since.
                     const bool done = result.has_response &&
                                       (result.status == status_ok ||
                                        result.status == status_condition_failed);
                     if (!done)
                         context_.loop.schedule_after(retry_interval, [this, transaction]
                                                      { write_with_retry(transaction); });
                 });
}

void idempotency_claims::remove_expired_claims()
{
    const instant now = context_.loop.now();
    if (removal_in_progress_ || !is_first_member(context_.fleet) ||
        (last_removal_ != instant{} && now - last_removal_ < removal_interval))
        return;
    last_removal_ = now;
    removal_in_progress_ = true;
    remove_expired_claims_after("");
}

void idempotency_claims::remove_expired_claims_after(const std::string& after)
{
    client_.call(
        context_.dialect.range_call(claim_prefix, after), claim_timeout,
        [this](const http_result& result)
        {
            removal_in_progress_ = false;
            if (!result.has_response || result.status != status_ok)
                return;
            try
            {
                const store_page page = context_.dialect.read_page(result.body);
                for (const store_transaction& removal : expired_claim_removals(
                         page.items, wall_clock_milliseconds(), retention))
                    write_with_retry(removal);
                if (!page.more)
                    return;
                removal_in_progress_ = true;
                remove_expired_claims_after(page.last_key);
            }
            catch (const dialect_error& error)
            {
                context_.log.write("claims not read", {{"reason", error.what()}});
            }
        });
}

} // namespace pollenhaven
