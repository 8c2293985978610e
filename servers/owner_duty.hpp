#ifndef POLLENHAVEN_SERVERS_OWNER_DUTY_HPP
#define POLLENHAVEN_SERVERS_OWNER_DUTY_HPP

#include "core/bounded_ring.hpp"
#include "policy/crash_ledger.hpp"
#include "policy/endpoint_scheduler.hpp"
#include "servers/endpoint_caller.hpp"
#include "servers/job_pool.hpp"
#include "servers/peer_messages.hpp"
#include "servers/store_duty.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <thread>
#include <variant>

namespace pollenhaven
{

// Owns endpoints: queues what is sent to them, decides with the scheduler what to
// dispatch, load and evict, and carries it out through the job pool.
class owner_duty
{
public:
    // The function is called when there is something that peers should learn at once.
    owner_duty(daemon_context& context, store_duty& store, claim_duty& claims,
               std::function<void()> on_news);
    ~owner_duty();
    owner_duty(const owner_duty&) = delete;
    owner_duty& operator=(const owner_duty&) = delete;

    // Queues a request. The sink gets exactly one final event. Thread-safe.
    void submit(const execute_request& request, const event_sink& sink);
    // The receiver gave the request up. Thread-safe.
    void cancel(const request_id& request);
    // The connection to the receiver was lost. The receiver may come back and resume, so
    // the request is given up only after a while. Thread-safe.
    void receiver_lost(const request_id& request);

    std::vector<endpoint_digest> digests() const;
    std::map<partner_id, double> served() const;
    std::map<endpoint_id, bool> idle_endpoints() const;
    std::vector<crash_note> crash_notes() const;
    int open_requests() const { return open_count_; }
    void merge_crashes(const std::vector<crash_note>& notes);

private:
    using shared_flag = std::shared_ptr<std::atomic<bool>>;

    struct owned_endpoint
    {
        endpoint_entry entry;
        ownership_epoch epoch;
        endpoint_scheduler scheduler;
        engine_client engine;
        service_client service;
        // Ended services of a lagging report are told apart by when ownership began.
        instant owned_since{};
        bool fencing_raised = false;
        std::string start_id;
        bool report_pending = false;
        instant last_report{};
        // When the next report has to replace what we believe of the slots.
        std::optional<instant> resync_at;
        instant last_crash{};
    };
    struct open_request
    {
        execute_request request;
        event_sink sink;
        instant arrived{};
        bool dispatched = false;
        // Tells apart the readers of a generation that was resumed.
        int reader = 0;
        shared_flag cancelled;
        shared_flag superseded;
        std::optional<instant> receiver_lost_at;
        span queue_span;
    };
    struct request_event
    {
        execute_request request;
        event_sink sink;
    };
    struct cancel_event
    {
        request_id request;
    };
    struct receiver_lost_event
    {
        request_id request;
    };
    struct ended_event
    {
        endpoint_id endpoint;
        ownership_epoch epoch;
        request_id request;
        int reader = 0;
        execute_event result;
    };
    struct permit_event
    {
        endpoint_id endpoint;
        ownership_epoch epoch;
        model_ref adapter;
    };
    struct order_event
    {
        endpoint_id endpoint;
        ownership_epoch epoch;
        model_ref adapter;
        bool is_load = false;
        order_status status = order_status::failed;
    };
    struct report_event
    {
        endpoint_id endpoint;
        ownership_epoch epoch;
        bool fencing_raised = false;
        std::optional<engine_report> report;
    };
    using event = std::variant<request_event, cancel_event, receiver_lost_event,
                               ended_event, permit_event, order_event, report_event>;

    void run();
    void tick(instant now);
    void follow_cluster(const cluster_snapshot& known, instant now);
    void take(const endpoint_entry& entry, ownership_epoch epoch, instant now);
    void give_up(owned_endpoint& owned);
    void follow_handover(const cluster_snapshot& known, owned_endpoint& owned);
    void charge_peers();
    void request_report(owned_endpoint& owned, instant now);
    void publish();

    void handle(request_event& arrived);
    void handle(const cancel_event& cancelled);
    void handle(const receiver_lost_event& lost);
    void give_up_lost_receivers(instant now);
    open_request& open_for(const execute_request& request, event_sink sink, instant now);
    void handle(ended_event& ended);
    void handle(const permit_event& granted);
    void handle(const order_event& ended);
    void handle(const report_event& reported);

    void attach(owned_endpoint& owned, const request_id& id);
    void note_outcome(owned_endpoint& owned, const execute_request& request,
                      execute_event& result, instant now);
    void carry_out(owned_endpoint& owned, const scheduler_actions& actions);
    void carry_out(owned_endpoint& owned, const dispatch_action& action);
    void carry_out(owned_endpoint& owned, const ask_permit_action& action);
    void carry_out(owned_endpoint& owned, const withdraw_permit_action& action);
    void carry_out(owned_endpoint& owned, const load_action& action);
    void carry_out(owned_endpoint& owned, const unload_action& action);
    void carry_out(owned_endpoint& owned, const reject_action& action);
    void run_order(owned_endpoint& owned, const model_ref& adapter, bool is_load);
    void dispatch(owned_endpoint& owned, open_request& open);
    void finish(const request_id& id, const execute_event& result);
    void reject(const request_id& id, const failure& reason);

    void post(const event& next);
    owned_endpoint* find(const endpoint_id& endpoint, ownership_epoch epoch);
    std::set<std::string> running_fingerprints(const owned_endpoint& owned) const;
    std::string permit_id(const owned_endpoint& owned, const model_ref& adapter) const;

    daemon_context& context_;
    store_duty& store_;
    std::function<void()> on_news_;
    bounded_ring<event> events_;
    std::map<endpoint_id, owned_endpoint> owned_;
    std::map<request_id, open_request> open_;
    fair_share shares_;
    std::map<partner_id, double> peer_work_counted_;
    crash_ledger crashes_;
    bool news_ = false;
    int last_reader_ = 0;
    instant last_tick_{};
    std::atomic<int> open_count_{0};
    std::atomic<bool> ended_{false};

    mutable std::mutex published_mutex_;
    std::vector<endpoint_digest> digests_;
    std::map<partner_id, double> served_;
    std::map<endpoint_id, bool> idle_;
    crash_ledger published_crashes_;

    endpoint_caller caller_;

    // The jobs refer to all of the above, so they end first.
    job_pool jobs_;
    std::thread thread_;
};

} // namespace pollenhaven

#endif
