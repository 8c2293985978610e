#include "servers/gateway/streams/stream_records.hpp"

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

std::string encode_record(const software_version& version)
{
    return write_json({{"version", version.value}});
}

} // namespace

stream_records::stream_records(gateway_context& context, loaded_check is_loaded,
                               const send_function& send)
    : context_(context), is_loaded_(std::move(is_loaded)), send_(send), writer_(context),
      reader_(context), copies_(context, send),
      searches_(context, is_loaded_, send,
                [this](const stream_key& stream) { return statement_of(stream); })
{
}

void stream_records::record(const request_id& stream, const software_version& version,
                            recorded_handler done)
{
    const stream_key key = key_of_stream(stream);
    known_[key] = {version, context_.loop.now(), false, true};
    uncopied_[key] = {key, version, context_.loop.now(), std::move(done)};
    context_.loop.schedule_after(max_record_wait, [this] { release_late_streams(); });
    copies_.copy(key, version, [this, key] { release_record(key); });
}

void stream_records::release_record(const stream_key& stream)
{
    const auto found = uncopied_.find(stream);
    if (found == uncopied_.end())
        return;
    pending_.push_back(std::move(found->second));
    uncopied_.erase(found);
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
        transaction.writes.push_back({stream_record_key(batch.back().stream),
                                      encode_record(batch.back().version), 0});
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
    std::vector<recorded_handler> late;
    for (pending_record& entry : pending_)
        take_late_handlers(entry, late);
    std::vector<stream_key> uncopied;
    for (auto& [stream, entry] : uncopied_)
    {
        take_late_handlers(entry, late);
        if (!entry.done)
            uncopied.push_back(stream);
    }
    // Their streams may go on without a record, and a late one is better than none.
    for (const stream_key& stream : uncopied)
        release_record(stream);
    for (const recorded_handler& done : late)
        done(false);
}

void stream_records::take_late_handlers(pending_record& entry,
                                        std::vector<recorded_handler>& late)
{
    if (!entry.done || context_.loop.now() - entry.requested_at < max_record_wait)
        return;
    context_.log.write("stream record late",
                       {{"stream", entry.stream.value},
                        {"software", entry.version.value},
                        {"copied", std::int64_t{!uncopied_.contains(entry.stream)}},
                        {"sent", std::int64_t{may_be_written(entry.stream)}}});
    late.push_back(std::exchange(entry.done, nullptr));
}

bool stream_records::may_be_written(const request_id& stream) const
{
    return may_be_written(key_of_stream(stream));
}

bool stream_records::may_be_written(const stream_key& stream) const
{
    const auto known = known_.find(stream);
    return known != known_.end() && known->second.may_be_written;
}

void stream_records::withdraw(const request_id& stream)
{
    const stream_key key = key_of_stream(stream);
    known_.erase(key);
    uncopied_.erase(key);
    copies_.withdraw(key);
    std::erase_if(pending_,
                  [&](const pending_record& entry) { return entry.stream == key; });
}

void stream_records::remember(const request_id& stream, const service_id& service,
                              const software_version& version)
{
    const stream_key key = key_of_stream(stream);
    known_stream& known = known_[key];
    known.version = version;
    known.at = context_.loop.now();
    known.has_begun = true;
    const instant now = context_.loop.now();
    if (known.has_record || is_only_known_version(context_.fleet, service, version, now))
        return;
    copies_.copy(key, version, nullptr);
    // A stream that was resumed without its record, which the store has lost.
    if (needs_record(context_.fleet, service, version, now))
        write_again(key, version);
}

milliseconds stream_records::silence() const
{
    return std::max(store_silence(context_), copies_.silence());
}

void stream_records::find(const request_id& stream, const service_id& service,
                          origin_handler done)
{
    const auto known = known_.find(key_of_stream(stream));
    if (known != known_.end() && known->second.has_begun)
        return done({origin_source::own_memory, known->second.version});
    searches_.find(stream, service, std::move(done));
}

stream_statement stream_records::statement_of(const stream_key& stream) const
{
    stream_statement statement;
    const auto known = known_.find(stream);
    if (known != known_.end() && known->second.has_begun)
        statement.own = known->second.version;
    statement.copy = copies_.find(stream);
    statement.uptime = to_milliseconds(context_.loop.now() - context_.started);
    return statement;
}

void stream_records::on_question(const stream_question_message& message)
{
    send_(message.sender, stream_statement_message{context_.settings.id, message.stream,
                                                   statement_of(message.stream)});
}

void stream_records::on_statement(const stream_statement_message& message)
{
    searches_.on_statement(message);
}

void stream_records::run_periodic_work()
{
    handle_new_era();
    write_records_of_lost_daemons();
    forget_ended_streams();
    copies_.remove_ended_streams();
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

void stream_records::write_records_of_lost_daemons()
{
    if (!context_.era_seen_at ||
        context_.loop.now() - *context_.era_seen_at > stream_lifetime)
        return;
    for (const auto& [stream, version] : copies_.take_copies_of_lost_writers())
        if (!known_.contains(stream))
            write_again(stream, version);
}

void stream_records::write_again(const stream_key& stream,
                                 const software_version& version)
{
    known_stream& known = known_[stream];
    known.version = version;
    known.at = context_.loop.now();
    known.has_record = true;
    known.may_be_written = true;
    pending_.push_back({stream, version, known.at, nullptr});
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
