#include "servers/gateway/crash_guard.hpp"

namespace pollenhaven
{

namespace
{

// The requests of one crash are cut off within a few round trips of each other.
constexpr milliseconds crash_settles_within{150};
// An endpoint that doesn't listen refuses a connection within a round trip.
constexpr milliseconds probe_time{100};
// Datagrams are lost now and then, so each announcement is made this often.
constexpr int announcements = 3;
constexpr milliseconds announcement_interval{300};

std::map<std::string, int> crash_counts(const crash_history& recorded_crashes)
{
    std::map<std::string, int> counts;
    for (const auto& [content, suspect] : recorded_crashes.suspects)
        counts[content] = suspect.crashes;
    return counts;
}

} // namespace

crash_guard::crash_guard(gateway_context& context, announce_function announce)
    : context_(context), announce_(std::move(announce))
{
}

const std::string& crash_guard::fingerprint_of(http_exchange& item) const
{
    if (item.fingerprint.empty())
        item.fingerprint = content_fingerprint(
            item.request.model.value + item.request.adapter.value + item.head.target,
            item.body);
    return item.fingerprint;
}

suspect_status crash_guard::request_suspect_status(http_exchange& item)
{
    if (watch_.recorded_crashes.suspects.empty())
        return suspect_status::allowed;
    return suspect_status_of(watch_.recorded_crashes, fingerprint_of(item),
                             context_.loop.now());
}

std::set<endpoint_id> crash_guard::endpoints_with_running_suspects() const
{
    return endpoints_with_suspects(watch_);
}

void crash_guard::on_sent(http_exchange& item)
{
    item.is_suspect = request_suspect_status(item) == suspect_status::suspected;
    if (item.is_suspect)
        add_running_suspect(watch_, item.endpoint, fingerprint_of(item));
}

void crash_guard::on_ended(http_exchange& item)
{
    if (item.is_suspect)
        remove_running_suspect(watch_, item.endpoint, fingerprint_of(item));
    item.is_suspect = false;
}

void crash_guard::on_completed(http_exchange& item)
{
    if (request_suspect_status(item) != suspect_status::suspected)
        return;
    record_completed(watch_.recorded_crashes, fingerprint_of(item));
    announce({context_.settings.id, {{fingerprint_of(item), 0}}}, announcements);
}

void crash_guard::on_cut_off(http_exchange& item)
{
    record_cut_off(watch_, item.endpoint, fingerprint_of(item), context_.loop.now());
    probe(item.endpoint);
}

// A connection alone tells at once whether the endpoint still listens; its entry in the
// store may stay for seconds.
void crash_guard::probe(const endpoint_id& endpoint)
{
    const auto view = context_.fleet.endpoints.find(endpoint);
    if (view == context_.fleet.endpoints.end() || !probed_.insert(endpoint).second)
        return;
    stream_handlers handlers;
    handlers.ended = [this, endpoint](stream_id, stream_end)
    { on_endpoint_lost(endpoint); };
    const stream_id stream =
        context_.loop.connect(view->second.record.address, std::move(handlers));
    context_.loop.schedule_after(probe_time,
                                 [this, endpoint, stream]
                                 {
                                     probed_.erase(endpoint);
                                     if (context_.loop.is_open(stream))
                                         context_.loop.close(stream);
                                 });
}

void crash_guard::on_endpoint_lost(const endpoint_id& endpoint)
{
    if (!watch_.cut_off.contains(endpoint))
        return;
    context_.loop.schedule_after(
        crash_settles_within,
        [this, endpoint]
        {
            if (!record_endpoint_lost(watch_, endpoint, context_.loop.now()))
                return;
            context_.log.write(
                "endpoint crashed",
                {{"endpoint", endpoint.value},
                 {"suspects",
                  static_cast<std::int64_t>(watch_.recorded_crashes.suspects.size())}});
            announce({context_.settings.id, crash_counts(watch_.recorded_crashes)},
                     announcements);
        });
}

void crash_guard::merge_suspects(const suspects_message& message)
{
    for (const auto& [content, crashes] : message.crashes)
        if (crashes == 0)
            record_completed(watch_.recorded_crashes, content);
        else if (merge_peer_crashes(watch_.recorded_crashes, content, crashes,
                                    context_.loop.now()))
            context_.log.write("suspect request", {{"content", content},
                                                   {"crashes", std::int64_t{crashes}},
                                                   {"told_by", message.sender.value}});
}

void crash_guard::announce(const suspects_message& message, int times)
{
    announce_(message);
    if (times > 1)
        context_.loop.schedule_after(announcement_interval, [this, message, times]
                                     { announce(message, times - 1); });
}

void crash_guard::remove_expired_crashes()
{
    remove_expired(watch_, context_.loop.now());
}

} // namespace pollenhaven
