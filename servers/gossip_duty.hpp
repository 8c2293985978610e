#ifndef POLLENHAVEN_SERVERS_GOSSIP_DUTY_HPP
#define POLLENHAVEN_SERVERS_GOSSIP_DUTY_HPP

#include "servers/daemon_context.hpp"
#include "servers/owner_duty.hpp"
#include "servers/peer_transport.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace pollenhaven
{

// Tells the other daemons what this one holds and serves, and takes over what they know
// that is newer: ownership, operating document, crashes.
class gossip_duty
{
public:
    gossip_duty(daemon_context& context, peer_transport& transport, owner_duty& owner);
    ~gossip_duty();
    gossip_duty(const gossip_duty&) = delete;
    gossip_duty& operator=(const gossip_duty&) = delete;

    // Takes over a peer's message and answers what the peer lacks. Called on the
    // transport's thread.
    gossip_answer answer(const gossip_message& message);
    // Sends without waiting for the next interval.
    void send_soon();

private:
    void run();
    void send_all();
    gossip_message make_message() const;
    bool has_acknowledged(const incarnation_id& peer, const std::string& endpoints);
    void note_acknowledged(const incarnation_id& peer, const std::string& endpoints);
    std::map<incarnation_id, network_address> receivers() const;
    void adopt_members(const gossip_answer& answer);
    void adopt(const gossip_answer& answer);

    daemon_context& context_;
    peer_transport& transport_;
    owner_duty& owner_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool send_now_ = false;
    bool ending_ = false;
    // The endpoints that each peer's incarnation last confirmed to know.
    std::map<incarnation_id, std::string> acknowledged_;
    int intervals_ = 0;
    std::thread thread_;
};

} // namespace pollenhaven

#endif
