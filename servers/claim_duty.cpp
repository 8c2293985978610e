#include "servers/claim_duty.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <utility>

namespace pollenhaven
{

namespace
{

constexpr std::size_t ring_capacity = 4096;
constexpr std::size_t most_keys_per_write = 64;
constexpr milliseconds group_wait{4};
constexpr seconds claim_retention{25L * 3600};
constexpr seconds retention_renewal{3600};
constexpr milliseconds outage_pause{200};
// How often a stopping daemon tries to write what is left.
constexpr int last_attempts = 10;

} // namespace

claim_duty::claim_duty(daemon_context& context)
    : context_(context), wishes_(ring_capacity), updates_(ring_capacity),
      thread_([this] { run(); })
{
}

claim_duty::~claim_duty()
{
    wishes_.close();
    thread_.join();
}

claim_decision claim_duty::claim(const claim_wish& wish, milliseconds patience)
{
    const shared_wish open = std::make_shared<open_wish>();
    open->wish = wish;
    std::future<claim_decision> decided = open->decided.get_future();
    if (!wishes_.try_push(open))
        return {};
    if (decided.wait_for(patience) == std::future_status::ready)
        return decided.get();
    open->abandoned = true;
    // The decision may have been made between the time-out and the mark.
    if (decided.wait_for(milliseconds(0)) == std::future_status::ready)
        return decided.get();
    return {};
}

void claim_duty::record_answer(const std::string& key, store_revision claimed,
                               const claim_record& record, milliseconds patience)
{
    update_and_wait(key, claimed, record, patience);
}

void claim_duty::release(const std::string& key, store_revision claimed,
                         milliseconds patience)
{
    update_and_wait(key, claimed, std::nullopt, patience);
}

void claim_duty::update_and_wait(const std::string& key, store_revision claimed,
                                 const std::optional<claim_record>& record,
                                 milliseconds patience)
{
    const auto written = std::make_shared<std::promise<void>>();
    const std::future<void> done = written->get_future();
    if (!updates_.try_push({key, claimed, record, written}))
        log_line(log_level::error, "a claim could not be updated", {{"key", key}});
    else
        done.wait_for(patience);
}

void claim_duty::run()
{
    while (!wishes_.closed() || !pending_.empty())
    {
        collect();
        refresh_retention();
        if (!pending_.empty())
            decide_batch();
        resolve_unknown();
        write_updates();
    }
    for (int attempt = 0; attempt < last_attempts && !pending_updates_.empty(); ++attempt)
        write_updates();
}

void claim_duty::collect()
{
    const bool waits =
        pending_.empty() && pending_updates_.empty() && unresolved_.empty();
    std::optional<shared_wish> next =
        wishes_.pop(waits ? group_wait * 2 : milliseconds(0));
    if (next && waits)
        std::this_thread::sleep_for(group_wait);
    while (next)
    {
        pending_.push_back(std::move(*next));
        next = wishes_.pop(milliseconds(0));
    }
    while (std::optional<update> change = updates_.pop(milliseconds(0)))
        pending_updates_.push_back(std::move(*change));
}

void claim_duty::refresh_retention()
{
    const instant now = boot_clock::now();
    if (pending_.empty() || (retention_ && now - retention_granted_ < retention_renewal))
        return;
    try
    {
        retention_ = context_.key_value.grant_lease(claim_retention);
        retention_granted_ = now;
    }
    catch (const key_value_error& error)
    {
        log_line(log_level::warning, "no lease for call claims",
                 {{"error", error.what()}});
    }
}

void claim_duty::decide_batch()
{
    std::erase_if(pending_,
                  [](const shared_wish& open) { return open->abandoned.load(); });
    std::vector<claim_wish> wishes;
    wishes.reserve(pending_.size());
    for (const shared_wish& open : pending_)
        wishes.push_back(open->wish);
    const std::vector<claim_wish> batch = distinct_wishes(wishes, most_keys_per_write);
    if (batch.empty())
        return;
    std::map<std::string, stored_value> existing;
    store_revision written;
    bool answered = true;
    bool succeeded = false;
    try
    {
        const transaction_result result =
            context_.key_value.commit(claim_transaction(batch, retention_));
        succeeded = result.succeeded;
        written = result.revision;
        for (const stored_value& value : result.current)
            existing[value.key] = value;
        context_.metrics.add("pollenhaven_claim_writes_total");
    }
    catch (const key_value_error& error)
    {
        answered = false;
        if (error.may_have_applied())
            existing = read_back(batch);
    }
    for (const claim_wish& wish : batch)
    {
        const auto open =
            std::find_if(pending_.begin(), pending_.end(),
                         [&](const shared_wish& candidate) {
                             return candidate->wish.record.attempt == wish.record.attempt;
                         });
        const auto stored = existing.find(wish.key);
        if (stored != existing.end())
            decide(*open, decide_existing(wish, stored->second,
                                          decode_claim(stored->second.value)));
        else if (succeeded)
            decide(*open, {claim_outcome::granted, written, {}});
        else if (!answered)
            decide(*open, {});
        else
            continue; // Another key of the batch existed: this wish goes into the next
                      // one.
        pending_.erase(open);
    }
}

void claim_duty::decide(const shared_wish& open, const claim_decision& decision)
{
    context_.metrics.add("pollenhaven_claims_total{outcome=\"" +
                         std::to_string(static_cast<int>(decision.outcome)) + "\"}");
    open->decided.set_value(decision);
    if (open->abandoned && decision.outcome == claim_outcome::granted)
        pending_updates_.push_back(
            {open->wish.key, decision.revision, std::nullopt, nullptr});
}

std::map<std::string, stored_value>
claim_duty::read_back(const std::vector<claim_wish>& wishes)
{
    std::map<std::string, stored_value> found;
    transaction question;
    for (const claim_wish& wish : wishes)
        question.checks.push_back({wish.key, {0}});
    try
    {
        for (const stored_value& value : context_.key_value.commit(question).current)
            found[value.key] = value;
    }
    catch (const key_value_error& error)
    {
        // Nothing is known: what was written is given back when the service answers.
        log_line(log_level::warning, "claims could not be read back",
                 {{"error", error.what()}});
        unresolved_.insert(unresolved_.end(), wishes.begin(), wishes.end());
    }
    return found;
}

void claim_duty::write_updates()
{
    while (!pending_updates_.empty())
    {
        const std::size_t count = std::min(pending_updates_.size(), most_keys_per_write);
        const std::vector<update> batch(pending_updates_.begin(),
                                        pending_updates_.begin() +
                                            static_cast<long>(count));
        try
        {
            // One changed claim fails the whole write; then each is written by itself.
            if (!write_batch(batch) && batch.size() > 1)
            {
                for (const update& change : batch)
                    write_batch({change});
            }
        }
        catch (const key_value_error&)
        {
            std::this_thread::sleep_for(outage_pause);
            return;
        }
        for (const update& change : batch)
        {
            if (change.written)
                change.written->set_value();
        }
        pending_updates_.erase(pending_updates_.begin(),
                               pending_updates_.begin() + static_cast<long>(count));
    }
}

bool claim_duty::write_batch(const std::vector<update>& batch)
{
    transaction write;
    for (const update& change : batch)
    {
        write.checks.push_back({change.key, change.claimed});
        if (change.record)
            write.puts.push_back({change.key, encode_claim(*change.record), retention_});
        else
            write.deletes.push_back(change.key);
    }
    const transaction_result result = context_.key_value.commit(write);
    context_.metrics.add("pollenhaven_claim_writes_total");
    if (!result.succeeded && batch.size() == 1)
        log_line(log_level::warning, "a claim had changed before its update",
                 {{"key", batch.front().key}});
    return result.succeeded;
}

void claim_duty::resolve_unknown()
{
    if (unresolved_.empty())
        return;
    const std::vector<claim_wish> wishes = std::exchange(unresolved_, {});
    for (const auto& [key, stored] : read_back(wishes))
    {
        const claim_record record = decode_claim(stored.value);
        const bool ours = std::any_of(wishes.begin(), wishes.end(),
                                      [&](const claim_wish& wish)
                                      { return wish.record.attempt == record.attempt; });
        if (ours && record.state == claim_state::claimed)
            pending_updates_.push_back({key, stored.modified, std::nullopt, nullptr});
    }
}

} // namespace pollenhaven
