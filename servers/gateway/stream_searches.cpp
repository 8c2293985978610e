#include "servers/gateway/stream_searches.hpp"

#include "policy/crash_history.hpp"
#include "servers/gateway/base_versions.hpp"

#include <utility>

namespace pollenhaven
{

namespace
{

constexpr int status_ok = 200;
constexpr milliseconds call_timeout{900};
constexpr milliseconds retry_interval{100};
// Callers give a stream up after two seconds without an event, and the endpoint takes a
// part of that for its first one.
constexpr milliseconds max_search_time{1500};
// Within this time after a restored store was first seen, all daemons have written again
// the records that it has lost.
constexpr milliseconds rewrite_time{5000};

const char* to_text(origin_source source)
{
    switch (source)
    {
    case origin_source::own_memory:
        return "own memory";
    case origin_source::record:
        return "record";
    case origin_source::base_version:
        return "base version";
    case origin_source::only_version:
        return "only version";
    case origin_source::unknown:
        break;
    }
    return "unknown";
}

} // namespace

// Ids come from callers and may contain any characters; keys have a fixed length.
std::string stream_record_key(const request_id& stream)
{
    return stream_record_prefix + content_fingerprint("stream", stream.value);
}

stream_searches::stream_searches(gateway_context& context, loaded_check is_loaded)
    : context_(context), is_loaded_(std::move(is_loaded)), client_(context)
{
}

void stream_searches::find(const request_id& stream, const service_id& service,
                           origin_handler done)
{
    const search_id id{++last_id_};
    searches_[id] = {stream, service, context_.loop.now(), std::move(done)};
    if (!stream.empty())
        unread_.push_back(id);
    read_next();
    if (!std::exchange(check_scheduled_, true))
        context_.loop.schedule_after(retry_interval, [this] { check_searches(); });
}

void stream_searches::read_next()
{
    while (!unread_.empty() && !searches_.contains(unread_.front()))
        unread_.pop_front();
    if (read_in_progress_ || unread_.empty())
        return;
    const search_id id = unread_.front();
    unread_.pop_front();
    read_in_progress_ = true;
    client_.call(
        context_.dialect.range_call(stream_record_key(searches_.at(id).stream), ""),
        call_timeout,
        [this, id](const http_result& result)
        {
            read_in_progress_ = false;
            on_read(id, result);
            read_next();
        });
}

void stream_searches::on_read(search_id id, const http_result& result)
{
    const auto found = searches_.find(id);
    if (found == searches_.end())
        return;
    if (!result.has_response || result.status != status_ok)
        return read_again_later(id);
    const request_id& stream = found->second.stream;
    try
    {
        for (const store_item& item : context_.dialect.read_page(result.body).items)
        {
            const std::optional<software_version> version =
                decode_software_version(item.value);
            if (item.key == stream_record_key(stream) && version)
                return finish(id, locate(id, record_lookup::found, *version));
        }
    }
    catch (const dialect_error& error)
    {
        context_.log.write("stream record not read",
                           {{"request", stream.value}, {"reason", error.what()}});
        return read_again_later(id);
    }
    const stream_origin origin = locate(id, record_lookup::absent, {});
    if (origin.source == origin_source::unknown)
        return read_again_later(id);
    finish(id, origin);
}

void stream_searches::read_again_later(search_id id)
{
    context_.loop.schedule_after(retry_interval,
                                 [this, id]
                                 {
                                     unread_.push_back(id);
                                     read_next();
                                 });
}

void stream_searches::check_searches()
{
    check_scheduled_ = false;
    const instant now = context_.loop.now();
    std::map<search_id, stream_origin> ended;
    for (const auto& [id, search] : searches_)
    {
        const stream_origin origin = locate(id, record_lookup::unanswered, {});
        if (origin.source != origin_source::unknown ||
            now - search.began >= max_search_time)
            ended[id] = origin;
    }
    for (const auto& [id, origin] : ended)
        finish(id, origin);
    if (!searches_.empty() && !std::exchange(check_scheduled_, true))
        context_.loop.schedule_after(retry_interval, [this] { check_searches(); });
}

bool stream_searches::is_conclusive() const
{
    return is_loaded_() && (!context_.era_seen_at ||
                            context_.loop.now() - *context_.era_seen_at > rewrite_time);
}

stream_origin stream_searches::locate(search_id id, record_lookup lookup,
                                      const software_version& recorded) const
{
    const pending_search& search = searches_.at(id);
    return locate_stream(context_.fleet, search.service,
                         {search.began, lookup, recorded, is_conclusive()},
                         context_.loop.now());
}

void stream_searches::finish(search_id id, const stream_origin& origin)
{
    const auto found = searches_.find(id);
    const pending_search ended = std::move(found->second);
    searches_.erase(found);
    context_.log.write("stream located", {{"stream_begun_by", ended.stream.value},
                                          {"software", origin.version.value},
                                          {"source", to_text(origin.source)}});
    context_.metrics.add("pollenhaven_stream_searches_total{source=\"" +
                         std::string(to_text(origin.source)) + "\"}");
    ended.done(origin);
}

} // namespace pollenhaven
