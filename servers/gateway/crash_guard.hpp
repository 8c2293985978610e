#ifndef POLLENHAVEN_SERVERS_GATEWAY_CRASH_GUARD_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_CRASH_GUARD_HPP

#include "policy/fleet/crash_detector.hpp"
#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/http_exchange.hpp"
#include "servers/gateway/prompt_part_guard.hpp"

#include <functional>
#include <map>
#include <set>

namespace pollenhaven
{

// Limits the damage of requests that crash endpoints. A request is a suspect if the same
// content was running when an endpoint crashed. The guard keeps two suspects from running
// at the same endpoint, blocks those that caused repeated crashes, and shares the
// suspects with the peers. It does no work per request until an endpoint has crashed.
class crash_guard
{
public:
    using broadcast_function = std::function<void(const fleet_message&)>;

    // `gossip` sends a message to a few peers at random.
    crash_guard(gateway_context& context, broadcast_function broadcast,
                broadcast_function gossip);

    // The guard against prompt parts that crash engines, whichever request has them.
    prompt_part_guard& prompt_parts() { return prompt_parts_; }

    // Returns whether the request may be sent, is a suspect or is blocked.
    suspect_status request_suspect_status(http_exchange& exchange);
    // Returns the endpoints at which a suspect runs. Another suspect must not be sent
    // there.
    std::set<endpoint_id> endpoints_with_running_suspects() const;

    // Must be called when an attempt is sent to its endpoint.
    void on_sent(http_exchange& exchange);
    // Must be called when an attempt no longer occupies its endpoint, for any reason.
    void on_ended(http_exchange& exchange);
    // Must be called when the response to a request is complete.
    void on_completed(http_exchange& exchange);
    // Must be called when an attempt fails that may have run.
    void on_cut_off(http_exchange& exchange);
    // Must be called when the endpoint restarts, starts to drain, or is found to be
    // unreachable or removed.
    void on_endpoint_lost(const endpoint_id& endpoint);
    // Applies the crash counts that a peer sent.
    void merge_suspects(const suspects_message& message);
    // Must be called periodically.
    void run_periodic_work();

private:
    // Returns the fingerprint of the request's content, and computes it at the first use.
    const std::string& fingerprint_of(http_exchange& exchange) const;
    // Records the loss of the endpoint as a crash, once it is known that this daemon's
    // links aren't the cause.
    void settle_loss(const endpoint_id& endpoint);
    // Connects to the endpoint, this many times, to find out whether it still listens.
    void probe(const endpoint_id& endpoint, int probes_left);
    // Applies a peer's crash count for one content. A crash that a peer names is one of
    // an endpoint at which requests of this daemon were cut off, too.
    void merge_suspect(const suspects_message& message, const std::string& fingerprint,
                       int crashes);
    // Sends a changed crash count to all peers, several times. Changes that follow each
    // other closely are sent together.
    void announce(const std::string& fingerprint, int crashes);
    // Sends the changes that were not sent yet.
    void send_new_announcements();
    // Sends those again that were not sent often enough yet.
    void repeat_announcements();
    void schedule_repetition();
    // Broadcasts the announcements of which this many sends are left.
    void send_announcements(int min_sends_left, int max_sends_left);

    gateway_context& context_;
    broadcast_function broadcast_;
    crash_detector detector_;
    prompt_part_guard prompt_parts_;
    // Changed crash counts by fingerprint, and how often each is still to be sent.
    struct announcement
    {
        int crashes = 0;
        int sends_left = 0;
    };
    std::map<std::string, announcement> announcements_;
    bool new_announcements_scheduled_ = false;
    bool repetition_scheduled_ = false;
    // Endpoints that are being probed.
    std::set<endpoint_id> probed_;
};

} // namespace pollenhaven

#endif
