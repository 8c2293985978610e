#ifndef POLLENHAVEN_SERVERS_GATEWAY_STORE_WATCH_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_STORE_WATCH_HPP

#include "policy/fleet/watch_call.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/store/watch_news.hpp"
#include "servers/gateway/store_client.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pollenhaven
{

struct watch_timing
{
    // The longest time for which the store may delay the response of a watch call.
    milliseconds wait{4500};
    // The same for a daemon that leads (policy/fleet/watch_call.hpp).
    milliseconds leading_wait = wait;
    // Pause after a call that returned changes, for prefixes whose items change often.
    milliseconds pause{0};
};

// Watches all keys below a prefix: lists them once, then waits for changes, and lists
// them again if the store no longer has the history since the last known revision, or has
// been restored. The changes of a key are reported in the order of their positions, none
// of them twice.
class store_watch
{
public:
    using change_handler = std::function<void(const store_item&)>;
    using item_filter = std::function<bool(const store_item&)>;

    store_watch(gateway_context& context, std::string prefix, watch_timing timing,
                change_handler changed);

    // Sets a handler that is called after each full listing. Changes before the listing
    // may have been missed.
    void on_resync(std::function<void()> call) { resynced_ = std::move(call); }
    // Whether a full listing of the prefix has completed in the store's present era, and
    // the history since then is known.
    bool is_loaded() const { return call_.is_loaded && !is_in_older_era(); }

    // Keeps the items from now on, including deletions, for peers that request them.
    void retain_items() { retains_items_ = true; }
    // Sets a filter of the changes that are passed on to followers; the others have no
    // meaning for them.
    void pass_on(item_filter filter) { is_passed_on_ = std::move(filter); }
    // Sets a function that is called when there are changes to pass on.
    void on_news(std::function<void()> call) { has_news_ = std::move(call); }
    // Takes the changes since the last call; none if this daemon doesn't watch for the
    // others, or the store hasn't responded for so long that it may have more.
    std::optional<watch_news> take_news();
    // Applies the changes that a daemon sent which watches for this one.
    void follow(const watch_news& news);
    // The items by key; empty without retain_items().
    const std::map<std::string, store_item>& items() const { return items_; }
    const std::string& prefix() const { return prefix_; }
    // All changes up to this position are known.
    store_position known_position() const { return call_.known_position; }
    // The position of the newest change that a response of the store contained.
    store_position newest_change() const { return newest_change_; }
    // Must be called with the newest change that a peer's watch of the prefix has
    // received.
    void on_peer_change(store_position position);
    // Applies a change that a peer sent, unless the key is known at the same or a later
    // position, or has been removed since.
    void apply_from_peer(const store_item& item);

private:
    void list_again();
    void read_page(const std::string& after);
    void on_page(const http_result& result);
    void finish_listing();
    void wait_for_changes();
    void on_changes(const http_result& result);
    void apply(const store_item& item);
    // The position of the newest known change of the key, which may be its removal; none
    // if there was none, or the removal isn't later than `known_position`.
    std::optional<store_position> newest_position(const std::string& key) const;
    // Must be called when all changes up to this position are known.
    void advance_to(store_position position);
    // Logs the items of the page that can't be read, unless they have been logged before.
    void log_faults(const store_page& page);
    void retry(const std::string& reason, int status);
    // Sends a call to the store, whose response `done` evaluates.
    void send(const outgoing_call& call, milliseconds timeout,
              http_client::completion_handler done);
    // Sends the pending call again on a new connection if its response may never come,
    // although the store responds to other calls.
    void check_pending_call();
    // Whether the store has been restored since the listing began.
    bool is_in_older_era() const { return call_.known_position.era < context_.fleet.era; }
    void on_store_response();
    // Watches the store again if no peer sends its changes any more.
    void check_followed();
    bool watches_for_others() const;
    milliseconds longest_wait() const;

    gateway_context& context_;
    std::string prefix_;
    watch_timing timing_;
    change_handler changed_;
    std::function<void()> resynced_;
    store_client client_;
    // Positions of the keys that exist, by key.
    std::map<std::string, store_position> positions_;
    // Positions of removals later than `known_position`, by key.
    std::map<std::string, store_position> removals_;
    bool retains_items_ = false;
    std::map<std::string, store_item> items_;
    // The keys in the listing in progress.
    std::set<std::string> listed_keys_;
    // The store's position when the listing started; none before its first response.
    std::optional<store_position> listing_position_;
    watch_call call_;
    // No call is pending, because a peer sends the changes.
    bool is_following_ = false;
    item_filter is_passed_on_ = [](const store_item&) { return true; };
    std::function<void()> has_news_ = [] {};
    std::vector<store_item> news_;
    // The changes up to this position were taken; none before the first call.
    std::optional<store_position> news_taken_until_;
    std::set<std::string> logged_faults_;
    int failures_ = 0;
    store_position newest_change_;
};

} // namespace pollenhaven

#endif
