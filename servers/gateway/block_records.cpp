#include "servers/gateway/block_records.hpp"

#include "core/json_text.hpp"
#include "policy/crash_history.hpp"

#include <set>
#include <utility>

namespace pollenhaven
{

namespace
{

constexpr int status_ok = 200;
constexpr milliseconds call_timeout{900};
// The store's limit on the entries of one transaction. A change takes two of them.
constexpr std::size_t max_transaction_entries = 32;

// Ids of parts come from callers and may contain any characters.
std::string record_key(const prompt_part_id& part)
{
    return block_record_prefix + content_fingerprint("prompt part", part.value);
}

std::string encode_record(const prompt_part_id& part, const blocked_part& block,
                          instant now)
{
    const milliseconds next_trial_at =
        wall_clock_milliseconds() + to_milliseconds(block.next_trial_at - now);
    return write_json({{"part", part.value},
                       {"trials", block.trials},
                       {"next_trial_at_ms", next_trial_at.count()}});
}

} // namespace

block_records::block_records(gateway_context& context, prompt_part_guard& guard,
                             loaded_check is_loaded)
    : context_(context), guard_(guard), is_loaded_(std::move(is_loaded)), client_(context)
{
    guard_.on_blocked([this] { update(); });
}

void block_records::on_item(const store_item& item)
{
    // A restored store may have lost the record; the part stays blocked.
    if (item.deleted)
    {
        records_.erase(item.key);
        return;
    }
    try
    {
        const nlohmann::json record = parse_json_or_null(item.value);
        const prompt_part_id part{record.at("part").get<std::string>()};
        const int trials = checked_count(record.at("trials"));
        const milliseconds next_trial_at{
            checked_integer(record.at("next_trial_at_ms"), 0, max_exact_integer)};
        records_[item.key] = {part, trials, item.revision};
        guard_.adopt(part,
                     block_from_record(trials, next_trial_at - wall_clock_milliseconds(),
                                       context_.loop.now()));
    }
    catch (const std::exception& error)
    {
        context_.log.write("block record malformed",
                           {{"key", item.key}, {"reason", error.what()}});
    }
}

void block_records::update()
{
    if (write_in_progress_ || !is_loaded_())
        return;
    std::set<prompt_part_id> parts;
    for (const auto& [part, block] : guard_.history().blocked)
        parts.insert(part);
    for (const auto& [key, record] : records_)
        parts.insert(record.part);
    store_transaction transaction;
    for (const prompt_part_id& part : parts)
        if (2 * transaction.expected.size() < max_transaction_entries)
            add_change(transaction, part);
    if (transaction.expected.empty())
        return;
    write_in_progress_ = true;
    // The watch shows the result, also if the response is lost.
    client_.call(context_.dialect.transaction_call(transaction), call_timeout,
                 [this](const http_result& result)
                 {
                     write_in_progress_ = false;
                     if (!result.has_response || result.status != status_ok)
                         context_.log.write("block records not written",
                                            {{"status", std::int64_t{result.status}}});
                 });
}

void block_records::add_change(store_transaction& transaction,
                               const prompt_part_id& part) const
{
    const std::string key = record_key(part);
    const auto known = records_.find(key);
    std::optional<int> recorded_trials;
    if (known != records_.end())
        recorded_trials = known->second.trials;
    const record_change change =
        needed_record_change(guard_.history(), part, recorded_trials);
    if (change == record_change::none ||
        daemon_for_record(context_.fleet, part) != context_.settings.id)
        return;
    transaction.expected.push_back(
        {key, known == records_.end() ? store_revision{} : known->second.revision});
    if (change == record_change::remove)
        transaction.removals.push_back(key);
    else
        transaction.writes.push_back(
            {key,
             encode_record(part, guard_.history().blocked.at(part), context_.loop.now()),
             0});
}

} // namespace pollenhaven
