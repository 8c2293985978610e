#include "servers/gateway/call_claims.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_condition_failed = 412;
constexpr milliseconds claim_timeout{900};
constexpr milliseconds repeat_interval{500};
// A write that the store didn't answer may be carried out until then.
constexpr milliseconds latest_write{10000};
constexpr milliseconds removal_interval{3600L * 1000};
// Callers send a call again within a day; an hour covers the daemons' clocks.
constexpr milliseconds retention{25L * 3600 * 1000};

// The item with exactly this key; a prefix may cover longer ones.
const store_item* find_item(const store_page& page, const std::string& key)
{
    const auto found =
        std::find_if(page.items.begin(), page.items.end(),
                     [&](const store_item& item) { return item.key == key; });
    return found == page.items.end() ? nullptr : &*found;
}

} // namespace

call_claims::call_claims(gateway_context& context)
    : context_(context), channel_(context.loop, context.settings.store_address)
{
}

void call_claims::claim(const claim_request& wish, decided_function decided)
{
    const std::string attempt = wish.record.attempt;
    open_[attempt] = {wish, std::move(decided)};
    channel_.call(
        context_.dialect.transaction_call(claim_transaction(wish)).bytes, claim_timeout,
        [this, attempt](const call_result& result) { on_written(attempt, result); });
}

void call_claims::on_written(const std::string& attempt, const call_result& result)
{
    if (result.answered && result.status == status_ok)
    {
        try
        {
            const store_revision written = context_.dialect.read_transaction(result.body);
            return decide(attempt, {claim_outcome::granted, written, {}});
        }
        catch (const dialect_error& error)
        {
            context_.log.write("claim answer malformed", {{"reason", error.what()}});
            return read_back(attempt, true);
        }
    }
    if (result.answered && result.status == status_condition_failed)
        return read_back(attempt, false);
    if (result.answered || result.not_sent)
        return decide(attempt, {});
    read_back(attempt, true);
}

void call_claims::read_back(const std::string& attempt, bool may_be_written)
{
    const claim_request wish = open_.at(attempt).wish;
    channel_.call(
        context_.dialect.range_call(wish.key, "").bytes, claim_timeout,
        [this, attempt, wish, may_be_written](const call_result& result)
        {
            claim_decision decision;
            try
            {
                if (!result.answered || result.status != status_ok)
                    throw dialect_error("the store didn't answer, status " +
                                        std::to_string(result.status));
                const store_page page = context_.dialect.read_page(result.body);
                const store_item* const item = find_item(page, wish.key);
                if (item != nullptr)
                    decision = resolve_existing_claim(wish, *item);
            }
            catch (const dialect_error& error)
            {
                context_.log.write("claim not read",
                                   {{"key", wish.key}, {"reason", error.what()}});
            }
            if (may_be_written && decision.outcome == claim_outcome::unavailable)
                clean_up(wish, context_.loop.now() + latest_write);
            decide(attempt, decision);
        });
}

void call_claims::decide(const std::string& attempt, const claim_decision& decision)
{
    const auto found = open_.find(attempt);
    const open_claim open = std::move(found->second);
    open_.erase(found);
    context_.metrics.add("pollenhaven_claims_total{outcome=\"" +
                         to_string(decision.outcome) + "\"}");
    context_.log.write("claim",
                       {{"key", open.wish.key},
                        {"attempt", attempt},
                        {"holder", decision.existing.attempt},
                        {"revision", static_cast<std::int64_t>(decision.revision.value)},
                        {"outcome", to_string(decision.outcome)}});
    if (open.decided)
        return open.decided(decision);
    if (decision.outcome == claim_outcome::granted)
        release(open.wish, decision.revision);
}

void call_claims::abandon(const std::string& attempt)
{
    const auto found = open_.find(attempt);
    if (found != open_.end())
        found->second.decided = nullptr;
}

void call_claims::clean_up(const claim_request& wish, instant until)
{
    context_.loop.schedule_after(
        repeat_interval,
        [this, wish, until]
        {
            channel_.call(context_.dialect.range_call(wish.key, "").bytes, claim_timeout,
                          [this, wish, until](const call_result& result)
                          {
                              if (!result.answered || result.status != status_ok)
                                  return clean_up(wish, until);
                              const store_page page =
                                  context_.dialect.read_page(result.body);
                              const store_item* const item = find_item(page, wish.key);
                              if (item != nullptr && is_own_claim(wish, *item))
                                  return release(wish, item->revision);
                              if (item == nullptr && context_.loop.now() < until)
                                  clean_up(wish, until);
                          });
        });
}

void call_claims::record_answer(const claim_request& wish, store_revision claimed,
                                int status, const std::string& body)
{
    const std::optional<claim_record> record = completed_claim_record(wish, status, body);
    if (!record)
    {
        context_.log.write("answer not recorded",
                           {{"key", wish.key}, {"reason", "longer than the limit"}});
        return;
    }
    store_transaction change;
    change.expected.push_back({wish.key, claimed});
    change.writes.push_back({wish.key, encode_claim(*record), 0});
    write_until_answered(change);
}

void call_claims::release(const claim_request& wish, store_revision claimed)
{
    store_transaction change;
    change.expected.push_back({wish.key, claimed});
    change.removals.push_back(wish.key);
    write_until_answered(change);
}

void call_claims::write_until_answered(const store_transaction& change)
{
    channel_.call(context_.dialect.transaction_call(change).bytes, claim_timeout,
                  [this, change](const call_result& result)
                  {
                      // A failed condition means that an earlier try was carried out.
                      const bool done =
                          result.answered && (result.status == status_ok ||
                                              result.status == status_condition_failed);
                      if (!done)
                          context_.loop.schedule_after(repeat_interval, [this, change]
                                                       { write_until_answered(change); });
                  });
}

bool call_claims::is_first_member() const
{
    for (const auto& [id, member] : context_.fleet.members)
        if (member.leased)
            return id == context_.settings.id;
    return false;
}

void call_claims::remove_old()
{
    const instant now = context_.loop.now();
    if (removing_ || !is_first_member() ||
        (last_removal_ != instant{} && now - last_removal_ < removal_interval))
        return;
    last_removal_ = now;
    removing_ = true;
    read_old("");
}

void call_claims::read_old(const std::string& after)
{
    channel_.call(
        context_.dialect.range_call(claim_prefix, after).bytes, claim_timeout,
        [this](const call_result& result)
        {
            removing_ = false;
            if (!result.answered || result.status != status_ok)
                return;
            try
            {
                const store_page page = context_.dialect.read_page(result.body);
                for (const store_transaction& removal : expired_claim_removals(
                         page.items, wall_clock_milliseconds(), retention))
                    write_until_answered(removal);
                if (!page.more || page.items.empty())
                    return;
                removing_ = true;
                read_old(page.items.back().key);
            }
            catch (const dialect_error& error)
            {
                context_.log.write("claims not read", {{"reason", error.what()}});
            }
        });
}

} // namespace pollenhaven
