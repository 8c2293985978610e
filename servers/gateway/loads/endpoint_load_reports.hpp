#ifndef POLLENHAVEN_SERVERS_GATEWAY_LOADS_ENDPOINT_LOAD_REPORTS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_LOADS_ENDPOINT_LOAD_REPORTS_HPP

#include "policy/fleet/keeper_questions.hpp"
#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"

#include <functional>
#include <map>
#include <set>

namespace pollenhaven
{

// Reports this daemon's load at endpoints to their keepers, asks them for the load of all
// others, and answers as the keeper of its own endpoints.
class endpoint_load_reports
{
public:
    using send_function = std::function<void(const daemon_id&, const fleet_message&)>;
    using broadcast_function = std::function<void(const fleet_message&)>;
    // Gets the load of a daemon, this one included, at an endpoint.
    using load_handler =
        std::function<void(const daemon_id&, const endpoint_id&, const endpoint_load&)>;
    using endpoint_handler = std::function<void(const endpoint_id&)>;

    endpoint_load_reports(gateway_context& context, send_function send,
                          broadcast_function broadcast, load_handler load_received);

    // Sets a handler for new knowledge of the load at an endpoint.
    void on_load_known(endpoint_handler call) { load_known_ = std::move(call); }

    // Counts a request that was sent to an endpoint.
    void record_started(const endpoint_id& endpoint, const adapter_id& adapter);
    // Reports this daemon's load at the endpoint to its keeper soon.
    void report_soon(const endpoint_id& endpoint);
    // Reports the load at all endpoints that this daemon uses. Must be called before what
    // was reported last expires at the keepers.
    void report_all();

    // True if the load of others must be asked for before a request is sent: another
    // daemon is the endpoint's keeper, and answers.
    bool needs_question(const endpoint_id& endpoint) const;
    // Asks the endpoint's keeper. `is_waiting` also asks to be informed when the endpoint
    // can take a request.
    question_number ask(const endpoint_id& endpoint, bool is_waiting);
    // Asks the endpoint's keeper for a request that waits, unless it was asked recently.
    void ask_while_waiting(const endpoint_id& endpoint);
    bool is_answered(const endpoint_id& endpoint, question_number question) const;
    // Must be called for a question without an answer within keeper_answer_time.
    void on_unanswered(const endpoint_id& endpoint);

    void on_report(const endpoint_load_message& message);
    void on_stated_load(const stated_load_message& message);

private:
    endpoint_load take_load(const endpoint_id& endpoint);
    // Completes a message about this daemon's load and sends it, to all if the keeper is
    // empty.
    void send_message(const daemon_id& keeper, endpoint_load_message message);
    void send_reports();
    void report(const std::set<endpoint_id>& endpoints);
    // Informs those that wait for the endpoint, if it can take a request.
    void inform_soon(const endpoint_id& endpoint);
    void inform_waiting(const endpoint_id& endpoint);
    void send_stated_load(const daemon_id& to, const endpoint_id& endpoint,
                          question_number number);

    gateway_context& context_;
    send_function send_;
    broadcast_function broadcast_;
    load_handler load_received_;
    endpoint_handler load_known_ = [](const endpoint_id&) {};
    std::map<endpoint_id, std::map<adapter_id, int>> started_;
    std::set<endpoint_id> changed_;
    bool report_scheduled_ = false;
    std::uint64_t last_question_ = 0;
    std::uint64_t last_sequence_ = 0;
    std::map<endpoint_id, question_number> answered_;
    std::map<endpoint_id, instant> asked_while_waiting_at_;
    std::map<daemon_id, keeper_contact> keepers_;
    std::map<endpoint_id, waiting_daemons> waiting_;
    std::set<endpoint_id> inform_scheduled_;
};

} // namespace pollenhaven

#endif
