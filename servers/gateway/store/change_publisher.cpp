#include "servers/gateway/store/change_publisher.hpp"

#include <utility>

namespace pollenhaven
{

namespace
{

// Larger changes are read from the store, whose link is wider than a daemon's.
constexpr std::size_t max_message_bytes = 8192;
// Changes of several watches are often due to one event.
constexpr milliseconds publish_delay{3};

std::size_t size_of(const watch_news& news)
{
    std::size_t bytes = 0;
    for (const store_item& item : news.items)
        bytes += item.key.size() + item.value.size();
    return bytes;
}

} // namespace

change_publisher::change_publisher(gateway_context& context, send_function send)
    : context_(context), send_(std::move(send))
{
}

void change_publisher::add_watch(store_watch& watch)
{
    watches_[watch.prefix()] = &watch;
    watch.on_news([this] { publish_soon(); });
}

void change_publisher::run()
{
    context_.loop.schedule_after(changes_interval, [this] { run(); });
    publish();
}

void change_publisher::publish_soon()
{
    if (std::exchange(is_scheduled_, true))
        return;
    context_.loop.schedule_after(publish_delay, [this] { publish(); });
}

void change_publisher::publish()
{
    is_scheduled_ = false;
    store_changes_message message;
    message.sender = context_.settings.id;
    std::size_t bytes = 0;
    for (const auto& [prefix, watch] : watches_)
    {
        std::optional<watch_news> news = watch->take_news();
        if (!news)
            continue;
        const std::size_t added = size_of(*news);
        if (added > max_message_bytes)
        {
            // The receivers miss what comes before this position, and read it themselves.
            news->after = news->position;
            news->items.clear();
        }
        else if (bytes + added > max_message_bytes)
        {
            send_to_followers(message);
            message.watches.clear();
            bytes = 0;
        }
        bytes += news->items.empty() ? 0 : added;
        message.watches.push_back(std::move(*news));
    }
    if (!message.watches.empty())
        send_to_followers(message);
}

void change_publisher::send_to_followers(const store_changes_message& message)
{
    std::vector<daemon_id> followers;
    int earlier = 0;
    for (const auto& [id, member] : context_.fleet.members)
    {
        if (member.zone != context_.fleet.zone || !member.leased)
            continue;
        if (earlier++ >= watching_daemons_per_zone && id != context_.settings.id)
            followers.push_back(id);
    }
    if (!followers.empty())
        send_(followers, message);
}

void change_publisher::on_changes(const store_changes_message& message)
{
    const auto sender = context_.fleet.members.find(message.sender);
    if (sender == context_.fleet.members.end() || !sender->second.leased ||
        sender->second.zone != context_.fleet.zone)
        return context_.log.write(
            "store changes refused",
            {{"peer", message.sender.value},
             {"reason", "the sender has no lease in this availability zone"}});
    for (const watch_news& news : message.watches)
    {
        const auto found = watches_.find(news.prefix);
        if (found == watches_.end())
            context_.log.write("store changes refused",
                               {{"peer", message.sender.value},
                                {"reason", "no watch of prefix " + news.prefix}});
        else
            found->second->follow(news);
    }
}

} // namespace pollenhaven
