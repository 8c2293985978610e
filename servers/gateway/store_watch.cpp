#include "servers/gateway/store_watch.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_gone = 410;
// A slow store takes some hundred milliseconds for a page. A page of 1 MB takes longer on
// a slow link, so the timeout doubles with each retry, up to `max_doublings` times.
constexpr milliseconds first_page_timeout{700};
// Time beyond `watch_timing::wait` after which the connection of a watch call counts as
// dead.
constexpr milliseconds watch_call_margin{700};
constexpr milliseconds first_retry_delay{100};
// Spreads the calls that all daemons send again after a silence of the store.
constexpr milliseconds pending_call_check_interval{250};
constexpr int max_doublings = 3;
// Each fault is logged once, as listings are repeated. Further ones are not logged.
constexpr std::size_t max_logged_faults = 100;

const char* to_text(repeat_reason reason)
{
    switch (reason)
    {
    case repeat_reason::store_was_silent:
        return "the store was silent";
    case repeat_reason::store_was_restored:
        return "the store was restored";
    case repeat_reason::peers_are_ahead:
        return "peers know a newer change";
    case repeat_reason::none:
        break;
    }
    return "none";
}

} // namespace

store_watch::store_watch(gateway_context& context, std::string prefix,
                         watch_timing timing, change_handler changed)
    : context_(context), prefix_(std::move(prefix)), timing_(timing),
      changed_(std::move(changed)), client_(context)
{
    read_page("");
    check_pending_call();
}

void store_watch::send(const outgoing_call& call, milliseconds timeout,
                       http_client::completion_handler done)
{
    call_.sent_at = context_.loop.now();
    client_.call(call, timeout,
                 [this, done = std::move(done)](const http_result& result)
                 {
                     call_.sent_at.reset();
                     done(result);
                 });
}

void store_watch::check_pending_call()
{
    context_.loop.schedule_after(pending_call_check_interval,
                                 [this] { check_pending_call(); });
    call_.is_in_older_era = is_in_older_era();
    check_followed();
    const repeat_reason reason =
        reason_to_repeat(call_, context_.store, context_.loop.now());
    if (reason == repeat_reason::none)
        return;
    if (reason == repeat_reason::peers_are_ahead)
        ++call_.repeated_calls;
    context_.log.write("store call repeated",
                       {{"prefix", prefix_}, {"reason", to_text(reason)}});
    client_.cancel_all();
    if (reason == repeat_reason::store_was_restored)
        list_again();
    else if (call_.is_loaded)
        wait_for_changes();
    else
        read_page("");
}

void store_watch::list_again()
{
    call_.is_loaded = false;
    read_page("");
}

void store_watch::on_peer_change(store_position position)
{
    record_peer_change(call_, position, context_.loop.now());
}

void store_watch::on_store_response()
{
    call_.repeated_calls = 0;
    call_.responded_at = context_.loop.now();
    record_response(context_.store, context_.loop.now());
    failures_ = 0;
}

void store_watch::retry(const std::string& reason, int status)
{
    if (failures_ == 0)
        context_.log.write(
            "store watch failed",
            {{"prefix", prefix_}, {"reason", reason}, {"status", std::int64_t{status}}});
    const milliseconds delay =
        first_retry_delay * (1 << std::min(failures_, max_doublings));
    ++failures_;
    context_.loop.schedule_after(delay,
                                 [this]
                                 {
                                     if (call_.is_loaded)
                                         wait_for_changes();
                                     else
                                         read_page("");
                                 });
}

void store_watch::read_page(const std::string& after)
{
    if (after.empty())
    {
        listed_keys_.clear();
        listing_position_.reset();
    }
    const milliseconds timeout =
        first_page_timeout * (1 << std::min(failures_, max_doublings));
    send(context_.dialect.range_call(prefix_, after), timeout,
         [this](const http_result& result) { on_page(result); });
}

void store_watch::on_page(const http_result& result)
{
    if (!result.has_response || result.status != status_ok)
        return retry("listing failed", result.status);
    try
    {
        const store_page page = context_.dialect.read_page(result.body);
        on_store_response();
        log_faults(page);
        if (!listing_position_)
            listing_position_ = {context_.fleet.era, page.current};
        if (listing_position_->era != context_.fleet.era)
            return read_page("");
        for (store_item item : page.items)
        {
            item.era = context_.fleet.era;
            listed_keys_.insert(item.key);
            newest_change_ = std::max(newest_change_, position_of(item));
            apply(item);
        }
        if (page.more)
            return read_page(page.last_key);
        finish_listing();
    }
    catch (const dialect_error& error)
    {
        retry(error.what(), result.status);
    }
}

void store_watch::finish_listing()
{
    const std::map<std::string, store_position> positions = positions_;
    for (const auto& [key, position] : positions)
        if (!listed_keys_.contains(key) && position <= *listing_position_)
            apply({key, "", listing_position_->revision, true, listing_position_->era});
    advance_to(*listing_position_);
    call_.is_loaded = true;
    if (resynced_)
        resynced_();
    has_news_();
    wait_for_changes();
}

void store_watch::log_faults(const store_page& page)
{
    for (const std::string& fault : page.faults)
        if (logged_faults_.size() < max_logged_faults &&
            logged_faults_.insert(fault).second)
            context_.log.write("store item malformed",
                               {{"prefix", prefix_}, {"reason", fault}});
}

std::optional<store_position> store_watch::newest_position(const std::string& key) const
{
    const auto existing = positions_.find(key);
    if (existing != positions_.end())
        return existing->second;
    const auto removed = removals_.find(key);
    return removed == removals_.end() ? std::nullopt : std::optional(removed->second);
}

void store_watch::advance_to(store_position position)
{
    call_.known_position = std::max(call_.known_position, position);
    std::erase_if(removals_, [this](const auto& entry)
                  { return entry.second <= call_.known_position; });
}

void store_watch::apply(const store_item& item)
{
    if (!item.key.starts_with(prefix_))
        return;
    const store_position position = position_of(item);
    const std::optional<store_position> newest = newest_position(item.key);
    if (newest && position <= *newest)
    {
        if (position < *newest)
            context_.log.write(
                "older change ignored",
                {{"key", item.key},
                 {"era", static_cast<std::int64_t>(item.era.value)},
                 {"revision", static_cast<std::int64_t>(item.revision.value)},
                 {"known_era", static_cast<std::int64_t>(newest->era.value)},
                 {"known_revision", static_cast<std::int64_t>(newest->revision.value)}});
        return;
    }
    if (item.deleted)
    {
        removals_[item.key] = position;
        if (positions_.erase(item.key) == 0)
            return;
    }
    else
    {
        removals_.erase(item.key);
        positions_[item.key] = position;
    }
    if (retains_items_)
        items_[item.key] = item;
    if (watches_for_others() && is_passed_on_(item))
        news_.push_back(item);
    changed_(item);
}

void store_watch::apply_from_peer(const store_item& item)
{
    // A key that doesn't exist at the known position had been removed by then.
    if (!positions_.contains(item.key) && position_of(item) <= call_.known_position)
        return;
    apply(item);
}

bool store_watch::watches_for_others() const
{
    return is_among_first_of_zone(context_.fleet, watching_daemons_per_zone);
}

milliseconds store_watch::longest_wait() const
{
    return is_among_first_members(context_.fleet, leading_watches) ? timing_.leading_wait
                                                                   : timing_.wait;
}

std::optional<watch_news> store_watch::take_news()
{
    const auto response_age = context_.loop.now() - call_.responded_at;
    const bool may_miss_changes =
        store_silence(context_) > store_outage_threshold ||
        response_age > longest_wait() + timing_.pause + watch_call_margin;
    if (!is_loaded() || !watches_for_others() || may_miss_changes)
    {
        news_.clear();
        news_taken_until_.reset();
        return std::nullopt;
    }
    // The receivers know what came before the first message, or read it themselves.
    if (!news_taken_until_)
        news_.clear();
    watch_news news{prefix_, news_taken_until_.value_or(call_.known_position),
                    call_.known_position, std::exchange(news_, {})};
    news_taken_until_ = call_.known_position;
    return news;
}

void store_watch::follow(const watch_news& news)
{
    call_.is_in_older_era = is_in_older_era();
    if (!can_follow(call_, news.after, news.position, context_.fleet.era))
    {
        call_.followed_at = {};
        return check_followed();
    }
    for (const store_item& item : news.items)
    {
        newest_change_ = std::max(newest_change_, position_of(item));
        apply_from_peer(item);
    }
    pollenhaven::follow(call_, news.position, context_.loop.now());
    advance_to(news.position);
}

void store_watch::check_followed()
{
    if (!is_following_ ||
        (!watches_for_others() && may_follow(call_, context_.loop.now())))
        return;
    is_following_ = false;
    context_.log.write("store watched again", {{"prefix", prefix_}});
    call_.is_in_older_era ? list_again() : wait_for_changes();
}

void store_watch::wait_for_changes()
{
    is_following_ = !watches_for_others() && may_follow(call_, context_.loop.now());
    if (is_following_)
        return;
    const milliseconds wait = longest_wait();
    send(context_.dialect.watch_call(prefix_, call_.known_position.revision, wait),
         wait + watch_call_margin,
         [this](const http_result& result) { on_changes(result); });
}

void store_watch::on_changes(const http_result& result)
{
    if (result.has_response && result.status == status_gone)
    {
        context_.log.write("store history lost", {{"prefix", prefix_}});
        return list_again();
    }
    if (result.is_too_long)
    {
        // The pages of a listing are limited, unlike the changes that a watch may have
        // missed.
        call_.is_loaded = false;
        return retry("changes too long", result.status);
    }
    if (result.has_response && is_in_older_era())
        return list_again();
    if (!result.has_response || result.status != status_ok)
        return retry("no changes", result.status);
    try
    {
        const store_page page = context_.dialect.read_watch(result.body);
        on_store_response();
        log_faults(page);
        for (store_item item : page.items)
        {
            item.era = context_.fleet.era;
            newest_change_ = std::max(newest_change_, position_of(item));
            apply(item);
        }
        advance_to({context_.fleet.era, page.current});
        if (!news_.empty())
            has_news_();
        if (page.items.empty() || timing_.pause.count() == 0)
            return wait_for_changes();
        context_.loop.schedule_after(timing_.pause, [this] { wait_for_changes(); });
    }
    catch (const dialect_error& error)
    {
        retry(error.what(), result.status);
    }
}

} // namespace pollenhaven
