#include "servers/gateway/crash_guard.hpp"

namespace pollenhaven
{

namespace
{

// The connections of all requests at a crashed endpoint break within a few round trips of
// each other. The crash is recorded after this time, so that it covers all of them.
constexpr milliseconds crash_settle_time{150};
// Longer than one round trip, within which an endpoint that doesn't listen refuses a
// connection.
constexpr milliseconds probe_timeout{100};
// The kernel accepts connections for a process that is about to end, so one that stands
// doesn't show that the endpoint lives. It is probed again after this interval.
constexpr milliseconds probe_interval{50};
constexpr int probes_per_cut_off = 4;
// Each change is sent this many times, because datagrams can be lost.
constexpr int broadcast_count = 3;
constexpr milliseconds broadcast_interval{300};
// A datagram with this many suspects fits into a few network packets.
constexpr std::size_t max_suspects_per_message = 100;

std::string joined(const std::vector<prompt_part_id>& parts)
{
    std::string text;
    for (const prompt_part_id& part : parts)
        text += (text.empty() ? "" : ",") + part.value;
    return text;
}

} // namespace

crash_guard::crash_guard(gateway_context& context, broadcast_function broadcast,
                         broadcast_function gossip)
    : context_(context), broadcast_(broadcast),
      prompt_parts_(context, std::move(broadcast), std::move(gossip))
{
}

const std::string& crash_guard::fingerprint_of(http_exchange& exchange) const
{
    if (exchange.fingerprint.empty())
        exchange.fingerprint =
            content_fingerprint(exchange.request.model.value +
                                    exchange.request.adapter.value + exchange.head.target,
                                exchange.body);
    return exchange.fingerprint;
}

suspect_status crash_guard::request_suspect_status(http_exchange& exchange)
{
    if (detector_.history.suspects.empty())
        return suspect_status::allowed;
    return suspect_status_of(detector_.history, fingerprint_of(exchange),
                             context_.loop.now());
}

std::set<endpoint_id> crash_guard::endpoints_with_running_suspects() const
{
    return endpoints_with_suspects(detector_);
}

void crash_guard::on_sent(http_exchange& exchange)
{
    exchange.is_suspect = request_suspect_status(exchange) == suspect_status::suspected;
    if (exchange.is_suspect)
        add_running_suspect(detector_, exchange.endpoint, fingerprint_of(exchange));
}

void crash_guard::on_ended(http_exchange& exchange)
{
    if (exchange.is_suspect)
        remove_running_suspect(detector_, exchange.endpoint, fingerprint_of(exchange));
    exchange.is_suspect = false;
}

void crash_guard::on_completed(http_exchange& exchange)
{
    prompt_parts_.on_answered(exchange);
    if (request_suspect_status(exchange) != suspect_status::suspected)
        return;
    record_completed(detector_.history, fingerprint_of(exchange));
    announce(fingerprint_of(exchange), 0);
}

void crash_guard::on_cut_off(http_exchange& exchange)
{
    const auto running = to_milliseconds(context_.loop.now() - exchange.sent_at);
    context_.log.write("request cut off",
                       {{"request", exchange.request.id.value},
                        {"endpoint", exchange.endpoint.value},
                        {"prompt_parts", joined(exchange.request.shared_prompt_parts)},
                        {"running_ms", std::int64_t{running.count()}},
                        {"has_event", std::int64_t{exchange.boundary.has_event}}});
    cut_off_request request{fingerprint_of(exchange), context_.loop.now(), {}, 0};
    const auto view = context_.fleet.endpoints.find(exchange.endpoint);
    if (view != context_.fleet.endpoints.end())
        request.endpoint_started_ms = view->second.record.started_ms;
    if (!exchange.boundary.has_event)
        request.unanswered_parts = exchange.request.shared_prompt_parts;
    record_cut_off(detector_, exchange.endpoint, request);
    if (probed_.insert(exchange.endpoint).second)
        probe(exchange.endpoint, probes_per_cut_off);
}

// The endpoint's entry may stay in the store for seconds after a crash, but a connection
// attempt shows at once whether the endpoint still listens.
void crash_guard::probe(const endpoint_id& endpoint, int probes_left)
{
    const auto view = context_.fleet.endpoints.find(endpoint);
    if (view == context_.fleet.endpoints.end() || probes_left == 0 ||
        !detector_.cut_off.contains(endpoint))
    {
        probed_.erase(endpoint);
        return;
    }
    stream_handlers handlers;
    handlers.ended = [this, endpoint](stream_id, stream_end)
    { on_endpoint_lost(endpoint); };
    const stream_id stream =
        context_.loop.connect(view->second.record.address, std::move(handlers));
    context_.loop.schedule_after(probe_timeout,
                                 [this, stream] { context_.loop.close(stream); });
    context_.loop.schedule_after(probe_interval, [this, endpoint, probes_left]
                                 { probe(endpoint, probes_left - 1); });
}

void crash_guard::on_endpoint_lost(const endpoint_id& endpoint)
{
    if (detector_.cut_off.contains(endpoint))
        context_.loop.schedule_after(crash_settle_time,
                                     [this, endpoint] { settle_loss(endpoint); });
}

void crash_guard::settle_loss(const endpoint_id& endpoint)
{
    const instant now = context_.loop.now();
    if (is_cut_undecided(context_.links, now))
    {
        context_.loop.schedule_after(crash_settle_time,
                                     [this, endpoint] { settle_loss(endpoint); });
        return;
    }
    // Connections that fail because of this daemon's links tell nothing about the
    // endpoint.
    if (is_cut_off(context_.links))
    {
        detector_.cut_off.erase(endpoint);
        return;
    }
    const positioned_parts parts = unanswered_parts(detector_, endpoint, now);
    const std::map<std::string, int> changed =
        record_endpoint_lost(detector_, endpoint, now);
    if (changed.empty())
        return;
    context_.log.write(
        "endpoint crashed",
        {{"endpoint", endpoint.value},
         {"suspects", static_cast<std::int64_t>(detector_.history.suspects.size())}});
    for (const auto& [fingerprint, crashes] : changed)
        announce(fingerprint, crashes);
    prompt_parts_.on_crash(endpoint, parts);
}

void crash_guard::merge_suspects(const suspects_message& message)
{
    for (const auto& [fingerprint, crashes] : message.crashes)
        if (crashes == 0)
            record_completed(detector_.history, fingerprint);
        else
            merge_suspect(message, fingerprint, crashes);
}

void crash_guard::merge_suspect(const suspects_message& message,
                                const std::string& fingerprint, int crashes)
{
    const auto named = message.named_crashes.find(fingerprint);
    if (named != message.named_crashes.end())
        for (const endpoint_crash& crash : named->second)
            on_endpoint_lost(crash.endpoint);
    if (!merge_peer_crashes(detector_.history, fingerprint, crashes,
                            named == message.named_crashes.end()
                                ? std::vector<endpoint_crash>{}
                                : named->second,
                            context_.loop.now()))
        return;
    const int known_crashes = detector_.history.suspects.at(fingerprint).crashes;
    context_.log.write("suspect request", {{"content", fingerprint},
                                           {"crashes", std::int64_t{known_crashes}},
                                           {"told_by", message.sender.value}});
}

void crash_guard::announce(const std::string& fingerprint, int crashes)
{
    announcements_[fingerprint] = {crashes, broadcast_count};
    if (new_announcements_scheduled_)
        return;
    new_announcements_scheduled_ = true;
    // Several engines often crash together. The timers that are due now still run before.
    context_.loop.schedule_after(milliseconds(0), [this] { send_new_announcements(); });
}

void crash_guard::send_new_announcements()
{
    new_announcements_scheduled_ = false;
    send_announcements(broadcast_count, broadcast_count);
    schedule_repetition();
}

void crash_guard::schedule_repetition()
{
    if (repetition_scheduled_ || announcements_.empty())
        return;
    repetition_scheduled_ = true;
    context_.loop.schedule_after(broadcast_interval, [this] { repeat_announcements(); });
}

void crash_guard::repeat_announcements()
{
    repetition_scheduled_ = false;
    send_announcements(1, broadcast_count - 1);
    schedule_repetition();
}

void crash_guard::send_announcements(int min_sends_left, int max_sends_left)
{
    suspects_message message;
    message.sender = context_.settings.id;
    for (auto& [fingerprint, announced] : announcements_)
    {
        if (announced.sends_left < min_sends_left ||
            announced.sends_left > max_sends_left)
            continue;
        --announced.sends_left;
        message.crashes[fingerprint] = announced.crashes;
        const auto suspect = detector_.history.suspects.find(fingerprint);
        if (announced.crashes > 0 && suspect != detector_.history.suspects.end())
            message.named_crashes[fingerprint] = suspect->second.named_crashes;
        if (message.crashes.size() < max_suspects_per_message)
            continue;
        broadcast_(message);
        message.crashes.clear();
        message.named_crashes.clear();
    }
    if (!message.crashes.empty())
        broadcast_(message);
    std::erase_if(announcements_,
                  [](const auto& entry) { return entry.second.sends_left == 0; });
}

void crash_guard::run_periodic_work()
{
    remove_expired(detector_, context_.loop.now());
    prompt_parts_.run_periodic_work();
}

} // namespace pollenhaven
