#ifndef POLLENHAVEN_SERVERS_STORE_DUTY_HPP
#define POLLENHAVEN_SERVERS_STORE_DUTY_HPP

#include "core/bounded_ring.hpp"
#include "policy/store_budget.hpp"
#include "servers/daemon_context.hpp"
#include "servers/peer_transport.hpp"

#include <functional>
#include <map>
#include <thread>
#include <variant>

namespace pollenhaven
{

// Gets permits for loads from the weight store: from the region's permit holder, which
// may be this daemon, or from a static share of the rate when the holder can't be
// reached.
class store_duty
{
public:
    using granted_function = std::function<void()>;

    store_duty(daemon_context& context, peer_transport& transport);
    ~store_duty();
    store_duty(const store_duty&) = delete;
    store_duty& operator=(const store_duty&) = delete;

    // Asks for a permit; the function is called, on this duty's thread, when it is
    // granted. Asking again with the same id may raise the priority. Thread-safe.
    void ask(const std::string& id, work_class priority, granted_function granted);
    // Ends a load, or withdraws a wish. Thread-safe.
    void end(const std::string& id);

    // The same on behalf of peers.
    void ask_for_peer(const permit_message& message, peer_stream_id stream);
    void end_for_peer(const std::string& id);
    void peer_cancelled(peer_stream_id stream);

private:
    struct ask_event
    {
        std::string id;
        work_class priority;
        granted_function granted;
    };
    struct end_event
    {
        std::string id;
    };
    struct peer_ask_event
    {
        permit_message message;
        peer_stream_id stream;
    };
    struct peer_cancelled_event
    {
        peer_stream_id stream;
    };
    // The holder answered a call of ours, or can't be reached.
    struct holder_event
    {
        std::string id;
        bool granted;
    };
    using event = std::variant<ask_event, end_event, peer_ask_event, peer_cancelled_event,
                               holder_event>;
    struct open_wish
    {
        work_class priority = work_class::interactive;
        granted_function granted;
        std::optional<peer_call_id> call;
        bool at_holder = false;
    };

    void run();
    void follow_cluster();
    void handle(ask_event& asked);
    void handle(const end_event& ended);
    void handle(const peer_ask_event& asked);
    void handle(const peer_cancelled_event& cancelled);
    void handle(const holder_event& answered);
    void ask_holder(const std::string& id, open_wish& wish);
    void grant_all(store_budget& budget, instant now);
    void grant(const std::string& id);
    bool is_holder() const;
    std::optional<network_address> holder_address() const;

    daemon_context& context_;
    peer_transport& transport_;
    bounded_ring<event> events_;
    // Used while this daemon is the holder.
    store_budget region_budget_;
    // Used while the holder can't be reached.
    store_budget own_budget_;
    daemon_id holder_;
    std::map<std::string, open_wish> wishes_;
    std::map<std::string, peer_stream_id> peer_wishes_;
    std::thread thread_;
};

} // namespace pollenhaven

#endif
