#ifndef POLLENHAVEN_SERVERS_PEER_TABLE_HPP
#define POLLENHAVEN_SERVERS_PEER_TABLE_HPP

#include "servers/peer_messages.hpp"

#include <deque>
#include <map>
#include <mutex>
#include <optional>

namespace pollenhaven
{

// What one daemon last told of itself.
struct peer_state
{
    incarnation_id incarnation;
    instant heard{};
    bool leaving = false;
    std::map<endpoint_id, endpoint_digest> endpoints;
    std::map<partner_id, double> served;
};

// The states of all daemons as told by themselves, this one included. Thread-safe.
class peer_table
{
public:
    void merge(const gossip_message& message, instant now);
    std::map<daemon_id, peer_state> all() const;
    // Tokens of work that each partner received on all daemons but this one.
    std::map<partner_id, double> served_by_others(const daemon_id& self) const;
    // The state of an endpoint as told by its owner, if the owner was heard lately.
    std::optional<endpoint_digest> endpoint(const daemon_id& owner, const endpoint_id& id,
                                            instant now) const;
    // Counts a request sent there for as long as the owner's digest may not show it, so
    // that a burst doesn't all go to the endpoint that was the emptiest.
    void count_sent(const endpoint_id& id, const model_ref& model,
                    const partner_id& partner, instant now);
    // A call to the daemon failed: it counts as silent until it is heard again.
    void mark_silent(const daemon_id& peer);
    bool is_heard(const daemon_id& peer, instant now) const;

private:
    // A request sent, and when.
    struct sent_request
    {
        endpoint_id endpoint;
        model_ref model;
        partner_id partner;
        instant at{};
    };

    void add_sent(endpoint_digest& digest, instant now) const;

    mutable std::mutex mutex_;
    std::map<daemon_id, peer_state> peers_;
    std::deque<sent_request> sent_;
};

} // namespace pollenhaven

#endif
