#ifndef POLLENHAVEN_SERVERS_MEMBERSHIP_DUTY_HPP
#define POLLENHAVEN_SERVERS_MEMBERSHIP_DUTY_HPP

#include "policy/ownership.hpp"
#include "servers/daemon_context.hpp"
#include "servers/peer_messages.hpp"
#include "servers/peer_transport.hpp"

#include <atomic>
#include <functional>
#include <thread>

namespace pollenhaven
{

// Keeps this daemon's lease and member record, follows the region's members and
// ownership, and writes changes of ownership.
class membership_duty
{
public:
    // The function tells which of this daemon's endpoints are idle.
    membership_duty(daemon_context& context, peer_transport& transport,
                    std::function<std::map<endpoint_id, bool>()> idle_endpoints);
    ~membership_duty();
    membership_duty(const membership_duty&) = delete;
    membership_duty& operator=(const membership_duty&) = delete;

    // Answers a peer that can't reach the key-value service itself. Blocks for one call.
    renew_answer renew_for_peer(const renew_request& request);
    // Removes this daemon from the members, at the end of a planned stop.
    void deregister();

private:
    void run();
    void step();
    bool keep_lease(instant sent);
    void register_member();
    void read_cluster();
    void note_missing_leases(instant now);
    void claim_store_holder();
    void change_ownership(instant now);
    void write_ownership(const ownership_document& planned);
    void read_instances();
    void
    note_absent_owners(const std::optional<std::map<std::string, instance_state>>& listed,
                       instant now);
    void ask_peers_to_renew();
    ownership_view make_view() const;
    member_record self_record() const;

    daemon_context& context_;
    peer_transport& transport_;
    std::function<std::map<endpoint_id, bool>()> idle_endpoints_;
    std::optional<lease_id> lease_;
    member_record written_;
    ownership_view view_;
    std::string pending_write_id_;
    const instant started_ = boot_clock::now();
    instant last_keep_alive_{};
    instant last_instances_{};
    std::atomic<std::uint64_t> lease_number_{0};
    std::thread thread_;
};

} // namespace pollenhaven

#endif
