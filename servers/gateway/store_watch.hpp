#ifndef POLLENHAVEN_SERVERS_GATEWAY_STORE_WATCH_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_STORE_WATCH_HPP

#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/http_client.hpp"

#include <functional>
#include <map>
#include <string>

namespace pollenhaven
{

struct watch_timing
{
    // The longest time that one call waits for events.
    milliseconds wait{4500};
    // Pause after a call that returned events, where events come often.
    milliseconds pause{0};
};

// Follows all keys below a prefix: reads them once, then waits for changes, and reads
// them again when the store has lost the history between. Each change is told once, in
// the order of its revision.
class store_watch
{
public:
    using change_handler = std::function<void(const store_item&)>;

    store_watch(gateway_context& context, std::string prefix, watch_timing timing,
                change_handler changed);

    // Called after each complete reading, when events may have been missed.
    void on_resync(std::function<void()> call) { resynced_ = std::move(call); }
    // True once everything below the prefix was read.
    bool is_loaded() const { return loaded_; }

    // Keeps the items themselves too, deleted ones as such, for peers that ask.
    void retain_items() { retains_items_ = true; }
    const std::map<std::string, store_item>& items() const { return items_; }
    const std::string& prefix() const { return prefix_; }
    // Every change up to this revision is known.
    store_revision position() const { return position_; }
    // Takes a change over that a peer told.
    void apply_from_peer(const store_item& item) { apply(item); }

private:
    void read_page(const std::string& after);
    void on_page(const http_result& result);
    void finish_listing();
    void wait_for_changes();
    void on_changes(const http_result& result);
    void apply(const store_item& item);
    void retry(const std::string& reason, int status);
    void on_store_response();

    gateway_context& context_;
    std::string prefix_;
    watch_timing timing_;
    change_handler changed_;
    std::function<void()> resynced_;
    http_client client_;
    std::map<std::string, store_revision> revisions_;
    bool retains_items_ = false;
    std::map<std::string, store_item> items_;
    std::map<std::string, store_revision> listed_revisions_;
    store_revision listing_revision_;
    store_revision position_;
    bool loaded_ = false;
    int failures_ = 0;
};

} // namespace pollenhaven

#endif
