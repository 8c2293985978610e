#include "servers/gateway/streams/stream_searches.hpp"

#include "policy/crash_history.hpp"
#include "policy/fleet/heartbeat_audience.hpp"
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
// Within this time after a restored store was first seen, all endpoints have written
// their entries again, and all daemons the records that it has lost.
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
    case origin_source::members:
        return "members";
    case origin_source::unknown:
        break;
    }
    return "unknown";
}

} // namespace

// Ids come from callers and may contain any characters; keys have a fixed length.
stream_key key_of_stream(const request_id& stream)
{
    return {content_fingerprint("stream", stream.value)};
}

std::string stream_record_key(const stream_key& stream)
{
    return stream_record_prefix + stream.value;
}

stream_searches::stream_searches(gateway_context& context, loaded_check is_loaded,
                                 send_function send, own_knowledge own)
    : context_(context), is_loaded_(std::move(is_loaded)), send_(std::move(send)),
      own_(std::move(own)), client_(context)
{
}

void stream_searches::find(const request_id& stream, const service_id& service,
                           origin_handler done)
{
    const search_id id{++last_id_};
    pending_search& search = searches_[id];
    search = {stream, service, context_.loop.now(), std::move(done),
              key_of_stream(stream)};
    if (!stream.empty())
    {
        unread_.push_back(id);
        if (is_store_in_doubt(service))
            ask_members(search);
    }
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
    client_.call(context_.dialect.range_call(stream_record_key(searches_.at(id).key), ""),
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
    pending_search& search = found->second;
    try
    {
        for (const store_item& item : context_.dialect.read_page(result.body).items)
        {
            const std::optional<software_version> version =
                decode_software_version(item.value);
            if (item.key == stream_record_key(search.key) && version)
                return finish(id, locate(search, record_lookup::found, *version));
        }
    }
    catch (const dialect_error& error)
    {
        context_.log.write("stream record not read",
                           {{"request", search.stream.value}, {"reason", error.what()}});
        return read_again_later(id);
    }
    search.lookup = record_lookup::absent;
    const stream_origin origin = locate(search, search.lookup, {});
    if (origin.source != origin_source::unknown)
        return finish(id, origin);
    // The response may be the first one of a restored store.
    if (is_store_in_doubt(search.service) && search.answers.empty())
        ask_members(search);
    read_again_later(id);
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
    for (auto& [id, search] : searches_)
    {
        const stream_origin origin = locate(search, search.lookup, {});
        if (origin.source != origin_source::unknown ||
            now - search.began >= max_search_time)
            ended[id] = origin;
        else if (is_store_in_doubt(search.service))
            ask_members(search);
    }
    for (const auto& [id, origin] : ended)
        finish(id, origin);
    if (!searches_.empty() && !std::exchange(check_scheduled_, true))
        context_.loop.schedule_after(retry_interval, [this] { check_searches(); });
}

void stream_searches::ask_members(pending_search& search)
{
    search.answers[context_.settings.id] = {own_(search.key), context_.loop.now()};
    for (const auto& [id, member] : context_.fleet.members)
        if (!search.answers.contains(id) &&
            member.message_version >= first_copying_version &&
            is_reachable_peer(context_.fleet, member, context_.loop.now()))
            send_(id, stream_question_message{context_.settings.id, search.key});
}

void stream_searches::on_statement(const stream_statement_message& message)
{
    std::map<search_id, stream_origin> ended;
    for (auto& [id, search] : searches_)
    {
        if (search.key != message.stream)
            continue;
        search.answers[message.sender] = {message.statement, context_.loop.now()};
        const stream_origin origin = locate(search, search.lookup, {});
        if (origin.source != origin_source::unknown)
            ended[id] = origin;
    }
    for (const auto& [id, origin] : ended)
        finish(id, origin);
}

bool stream_searches::is_store_in_doubt(const service_id& service) const
{
    return may_lack_records(context_.fleet, service, context_.era_seen_at,
                            context_.loop.now());
}

bool stream_searches::is_conclusive(const pending_search& search) const
{
    if (!is_loaded_() || !is_store_in_doubt(search.service))
        return is_loaded_();
    const instant now = context_.loop.now();
    const instant restored_at = *context_.era_seen_at;
    const auto base = context_.fleet.base_versions.find(search.service);
    const bool is_only_one =
        base != context_.fleet.base_versions.end() &&
        is_only_known_version(context_.fleet, search.service, base->second.version, now);
    return (is_only_one && now - restored_at > rewrite_time) ||
           is_without_record(context_.fleet, search.answers, restored_at,
                             context_.started);
}

stream_origin stream_searches::locate(const pending_search& search, record_lookup lookup,
                                      const software_version& recorded) const
{
    stream_search known{search.began, lookup, recorded, is_conclusive(search), {}};
    known.stated = stated_version(search.answers);
    return locate_stream(context_.fleet, search.service, known, context_.loop.now());
}

void stream_searches::finish(search_id id, const stream_origin& origin)
{
    const auto found = searches_.find(id);
    const pending_search ended = std::move(found->second);
    searches_.erase(found);
    context_.log.write("stream located",
                       {{"stream_begun_by", ended.stream.value},
                        {"software", origin.version.value},
                        {"source", to_text(origin.source)},
                        {"in_doubt", std::int64_t{is_store_in_doubt(ended.service)}},
                        {"answers", static_cast<std::int64_t>(ended.answers.size())}});
    context_.metrics.add("pollenhaven_stream_searches_total{source=\"" +
                         std::string(to_text(origin.source)) + "\"}");
    ended.done(origin);
}

} // namespace pollenhaven
