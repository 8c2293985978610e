#include "servers/gateway/stream_records.hpp"

#include "core/json_text.hpp"

#include <algorithm>
#include <utility>

namespace pollenhaven
{

namespace
{

constexpr int status_ok = 200;
// The store states with it that nothing was done.
constexpr int status_unavailable = 503;
constexpr milliseconds call_timeout{900};
constexpr milliseconds retry_interval{100};
// A stream waits for its record up to this long. Callers give a stream up after a gap
// of two seconds or more, and another endpoint needs a part of that for the first event.
constexpr milliseconds max_record_wait{1000};
// The store's limit on the entries of one transaction.
constexpr std::size_t max_batch_entries = 32;
// Removals that are due are written in full batches, or when the next record is.
constexpr std::size_t removals_per_write = 30;
constexpr milliseconds listing_interval{60'000};

std::string encode_record(const request_id& stream, const software_version& version)
{
    return write_json({{"stream", stream.value}, {"version", version.value}});
}

} // namespace

stream_records::stream_records(gateway_context& context, loaded_check is_loaded)
    : context_(context), is_loaded_(std::move(is_loaded)), writer_(context),
      reader_(context), searches_(context, is_loaded_)
{
}

void stream_records::record(const request_id& stream, const software_version& version,
                            recorded_handler done)
{
    known_[stream] = {version, context_.loop.now(), false, true};
    pending_.push_back({stream, version, context_.loop.now(), std::move(done)});
    context_.loop.schedule_after(max_record_wait, [this] { release_late_streams(); });
    schedule_write();
}

void stream_records::schedule_write()
{
    if (write_scheduled_ || write_in_progress_ ||
        (pending_.empty() && removals_.size() < removals_per_write))
        return;
    write_scheduled_ = true;
    const milliseconds interval = record_write_interval(
        live_member_count(context_.fleet), context_.settings.store_writes_per_second);
    context_.loop.schedule(std::max(context_.loop.now(), last_write_ + interval),
                           [this]
                           {
                               write_scheduled_ = false;
                               write_batch();
                           });
}

void stream_records::write_batch()
{
    if (write_in_progress_)
        return;
    store_transaction transaction;
    std::vector<pending_record> batch;
    // Records that may be written already are repeated alone, so that the others stay
    // unsent and can be withdrawn.
    const bool is_repeated = !pending_.empty() && may_be_written(pending_.front().stream);
    while (!pending_.empty() && batch.size() < max_batch_entries &&
           may_be_written(pending_.front().stream) == is_repeated)
    {
        batch.push_back(std::move(pending_.front()));
        pending_.pop_front();
        transaction.writes.push_back(
            {stream_record_key(batch.back().stream),
             encode_record(batch.back().stream, batch.back().version), 0});
    }
    std::vector<std::string> removals;
    while (!removals_.empty() && batch.size() + removals.size() < max_batch_entries)
    {
        removals.push_back(removals_.front());
        removals_.pop_front();
    }
    transaction.removals = removals;
    set_may_be_written(batch, true);
    write_in_progress_ = true;
    last_write_ = context_.loop.now();
    writer_.call(context_.dialect.transaction_call(transaction), call_timeout,
                 [this, batch, removals, is_repeated](const http_result& result)
                 {
                     const bool is_undone =
                         result.not_sent ||
                         (result.has_response && result.status == status_unavailable);
                     if (is_undone && !is_repeated)
                         set_may_be_written(batch, false);
                     on_batch_written(batch, removals, result);
                 });
}

void stream_records::set_may_be_written(const std::vector<pending_record>& batch,
                                        bool value)
{
    for (const pending_record& entry : batch)
    {
        const auto known = known_.find(entry.stream);
        if (known != known_.end())
            known->second.may_be_written = value;
    }
}

void stream_records::on_batch_written(const std::vector<pending_record>& batch,
                                      const std::vector<std::string>& removals,
                                      const http_result& result)
{
    write_in_progress_ = false;
    const bool is_written = result.has_response && result.status == status_ok;
    context_.metrics.add("pollenhaven_stream_record_writes_total{outcome=\"" +
                         std::string(is_written ? "written" : "failed") + "\"}");
    if (is_written)
    {
        record_response(context_.store, context_.loop.now());
        for (const pending_record& written : batch)
            if (written.done)
                written.done(true);
        return schedule_write();
    }
    context_.log.write("stream records not written",
                       {{"records", static_cast<std::int64_t>(batch.size())},
                        {"status", std::int64_t{result.status}}});
    removals_.insert(removals_.begin(), removals.begin(), removals.end());
    pending_.insert(pending_.begin(), batch.begin(), batch.end());
    std::erase_if(pending_, [this](const pending_record& entry)
                  { return context_.loop.now() - entry.requested_at > stream_lifetime; });
    release_late_streams();
    context_.loop.schedule_after(retry_interval, [this] { schedule_write(); });
}

void stream_records::release_late_streams()
{
    const instant now = context_.loop.now();
    std::vector<recorded_handler> released;
    for (pending_record& entry : pending_)
    {
        if (!entry.done || now - entry.requested_at < max_record_wait)
            continue;
        context_.log.write("stream record late",
                           {{"request", entry.stream.value},
                            {"software", entry.version.value},
                            {"sent", std::int64_t{may_be_written(entry.stream)}}});
        released.push_back(std::exchange(entry.done, nullptr));
    }
    for (const recorded_handler& done : released)
        done(false);
}

bool stream_records::may_be_written(const request_id& stream) const
{
    const auto known = known_.find(stream);
    return known != known_.end() && known->second.may_be_written;
}

void stream_records::withdraw(const request_id& stream)
{
    known_.erase(stream);
    std::erase_if(pending_,
                  [&](const pending_record& entry) { return entry.stream == stream; });
}

void stream_records::remember(const request_id& stream, const software_version& version)
{
    known_stream& known = known_[stream];
    known.version = version;
    known.at = context_.loop.now();
    known.has_begun = true;
}

void stream_records::find(const request_id& stream, const service_id& service,
                          origin_handler done)
{
    const auto known = known_.find(stream);
    if (known != known_.end() && known->second.has_begun)
        return done({origin_source::own_memory, known->second.version});
    searches_.find(stream, service, std::move(done));
}

void stream_records::run_periodic_work()
{
    handle_new_era();
    forget_ended_streams();
    if (is_loaded_() && is_first_member(context_.fleet) && !context_.leaving)
        remove_abandoned_records();
}

void stream_records::handle_new_era()
{
    if (std::exchange(handled_era_, context_.fleet.era) == context_.fleet.era ||
        !context_.era_seen_at)
        return;
    for (const auto& [stream, known] : known_)
        if (known.has_record)
            pending_.push_back({stream, known.version, context_.loop.now(), nullptr});
    schedule_write();
}

void stream_records::forget_ended_streams()
{
    const instant now = context_.loop.now();
    std::erase_if(known_,
                  [&](const auto& entry)
                  {
                      const bool has_ended = now - entry.second.at > stream_lifetime;
                      if (has_ended && entry.second.has_record)
                          removals_.push_back(stream_record_key(entry.first));
                      return has_ended;
                  });
    schedule_write();
}

void stream_records::remove_abandoned_records()
{
    const instant now = context_.loop.now();
    if (listing_in_progress_ || now - last_listing_ < listing_interval)
        return;
    last_listing_ = now;
    listing_in_progress_ = true;
    listed_records_.clear();
    read_abandoned_page("");
}

void stream_records::read_abandoned_page(const std::string& after)
{
    reader_.call(context_.dialect.range_call(stream_record_prefix, after), call_timeout,
                 [this](const http_result& result)
                 {
                     listing_in_progress_ = false;
                     if (!result.has_response || result.status != status_ok)
                         return;
                     try
                     {
                         const instant now = context_.loop.now();
                         const store_page page = context_.dialect.read_page(result.body);
                         for (const store_item& item : page.items)
                         {
                             listed_records_.insert(item.key);
                             const instant first_seen =
                                 seen_records_.try_emplace(item.key, now).first->second;
                             // Its daemon would have removed it by now.
                             if (now - first_seen > 2 * stream_lifetime)
                                 removals_.push_back(item.key);
                         }
                         if (page.more)
                         {
                             listing_in_progress_ = true;
                             return read_abandoned_page(page.last_key);
                         }
                         std::erase_if(seen_records_,
                                       [this](const auto& entry) {
                                           return !listed_records_.contains(entry.first);
                                       });
                     }
                     catch (const dialect_error& error)
                     {
                         context_.log.write("stream records not listed",
                                            {{"reason", error.what()}});
                     }
                 });
}

} // namespace pollenhaven
