#ifndef POLLENHAVEN_SERVERS_GATEWAY_PROMPT_PART_GUARD_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_PROMPT_PART_GUARD_HPP

#include "policy/fleet/prompt_part_crashes.hpp"
#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/http_exchange.hpp"

#include <functional>
#include <vector>

namespace pollenhaven
{

// Keeps requests from engines if a part of their prompt crashes the engines that begin to
// answer it. All daemons share what they see of crashes and answers, and tell each other
// what they block. A blocked part is tried again later, by one request of the fleet.
class prompt_part_guard
{
public:
    using send_function = std::function<void(const fleet_message&)>;

    // `broadcast` sends a message to all peers, `gossip` to a few of them at random.
    prompt_part_guard(gateway_context& context, send_function broadcast,
                      send_function gossip);

    // Returns false if a part of the request's prompt is blocked. Once it has returned
    // true for a request because this request is the part's trial, it stays true.
    bool admits(http_exchange& exchange);
    // Must be called when an endpoint has begun to answer the request.
    void on_answered(const http_exchange& exchange);
    // Must be called when an endpoint has crashed, with the parts of this daemon's
    // requests that it had not begun to answer.
    void on_crash(const endpoint_id& endpoint, const positioned_parts& parts);
    // Adopts a block that the store has a record of.
    void adopt(const prompt_part_id& part, const blocked_part& block);
    // Sets the function that is called when this daemon has decided to block parts.
    void on_blocked(std::function<void()> call) { blocked_ = std::move(call); }
    const part_crash_history& history() const { return history_; }
    // Applies what a peer has seen or decided.
    void merge(const prompt_parts_message& message);
    // Must be called periodically.
    void run_periodic_work();

private:
    // Something that all peers are told several times, since datagrams can be lost.
    struct announcement
    {
        enum class subject
        {
            // The part was in a crash of `endpoint`.
            crash,
            answered,
            blocked
        };
        subject about = subject::crash;
        prompt_part_id part;
        int position = 0;
        endpoint_id endpoint;
        int sends_left = 0;
        instant made_at{};
    };

    // Blocks the parts that the evidence suffices for, once all of it has arrived.
    void schedule_evaluation();
    void evaluate();
    bool is_trial(const http_exchange& exchange, const prompt_part_id& part) const;
    // Tells the peers. The item's sends and time are set here.
    void announce(announcement item);
    void announce_block(const prompt_part_id& part);
    // Sends the announcements of which this many sends are left.
    void send_announcements(int min_sends_left, int max_sends_left);
    void schedule_repetition();
    void add_item(prompt_parts_message& message, const announcement& item) const;
    // Adds the block of the part, if it still is blocked.
    void add_block(prompt_parts_message& message, const prompt_part_id& part) const;
    // Tells a few peers all blocks: those that have just started, or couldn't be reached.
    void gossip_blocks();

    gateway_context& context_;
    send_function broadcast_;
    send_function gossip_;
    std::function<void()> blocked_ = [] {};
    part_crash_history history_;
    std::vector<announcement> announcements_;
    bool send_scheduled_ = false;
    bool repetition_scheduled_ = false;
    instant last_gossip_{};
};

} // namespace pollenhaven

#endif
