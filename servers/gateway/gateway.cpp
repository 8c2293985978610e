#include "servers/gateway/gateway.hpp"

#include "core/plugin_registry.hpp"
#include "core/random_id.hpp"
#include "policy/fleet/heartbeat_audience.hpp"
#include "policy/fleet/zone_relay.hpp"
#include "servers/gateway/base_versions.hpp"
#include "servers/gateway/block_records.hpp"
#include "servers/gateway/brittle_endpoints.hpp"
#include "servers/gateway/connection_pool.hpp"
#include "servers/gateway/crash_guard.hpp"
#include "servers/gateway/customers/customer_quotas.hpp"
#include "servers/gateway/engine_controller.hpp"
#include "servers/gateway/fleet_membership.hpp"
#include "servers/gateway/fleet_watcher.hpp"
#include "servers/gateway/gateway_reports.hpp"
#include "servers/gateway/gateway_statistics.hpp"
#include "servers/gateway/http_server.hpp"
#include "servers/gateway/idempotency_claims.hpp"
#include "servers/gateway/link_monitor.hpp"
#include "servers/gateway/load_observations.hpp"
#include "servers/gateway/loads/endpoint_load_reports.hpp"
#include "servers/gateway/request_flow.hpp"
#include "servers/gateway/request_permits.hpp"
#include "servers/gateway/request_target.hpp"
#include "servers/gateway/store/change_publisher.hpp"
#include "servers/gateway/store_sync.hpp"
#include "servers/gateway/streams/stream_records.hpp"

#include <csignal>
#include <filesystem>
#include <random>
#include <set>

namespace pollenhaven
{

namespace
{

// Interval at which due orders and waiting requests are checked.
constexpr milliseconds work_interval{15};
// Interval of what takes a pass over all endpoints and their adapters.
constexpr milliseconds fleet_work_interval{60};
constexpr milliseconds housekeeping_interval{250};
constexpr milliseconds statistics_interval{5000};
// Longer than the interval of the lease's renewals.
constexpr milliseconds silence_before_heartbeats_to_all{600};
// Shorter than the time for which a keeper uses a report.
constexpr milliseconds load_report_interval{700};
// Interval at which the settings file is checked; it may change without a SIGHUP.
constexpr milliseconds settings_file_interval{1000};
// Times since SIGTERM at which the daemon stops listening, closes idle connections, and
// may exit if no request is in flight.
constexpr milliseconds stop_listening_after{400};
constexpr milliseconds close_idle_after{800};
constexpr milliseconds min_shutdown_duration{1500};
// Requests that are read in the first third of the grace period are admitted. The rest of
// it is for their responses.
constexpr int grace_per_admission_time = 3;
// Part of the grace period that is reserved for the exit of the process.
constexpr milliseconds exit_reserve{700};
// Time before the exit at which requests that still wait are refused, so that the
// refusals are delivered.
constexpr milliseconds refusal_reserve{300};
constexpr std::size_t incarnation_bytes = 6;

volatile std::sig_atomic_t stop_requested = 0;
volatile std::sig_atomic_t reload_requested = 0;

void on_stop_signal(int /*signal*/)
{
    stop_requested = 1;
}

void on_reload_signal(int /*signal*/)
{
    reload_requested = 1;
}

void install_signal_handlers()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, on_stop_signal);
    std::signal(SIGINT, on_stop_signal);
    std::signal(SIGHUP, on_reload_signal);
}

std::optional<caller_interface>
make_extra_caller_interface(const gateway_settings& settings)
{
    if (settings.caller_interface.empty())
        return std::nullopt;
    return plugin_registry<caller_interface>::instance().make(settings.caller_interface,
                                                              "");
}

// Runs the components of a daemon on one event loop.
class gateway
{
public:
    gateway(const gateway_settings& settings, std::string settings_path);
    int run();

private:
    void on_request(stream_id caller, const http_head& head, std::string body);
    void send_directory(stream_id caller, const directory_writer& write);
    void on_datagram(std::string_view bytes);
    void handle_message(const fleet_message& message);
    // Handles the messages about copies of streams' records.
    void handle_stream_message(const fleet_message& message);
    void dispatch_waiting();
    // Dispatches the requests that wait for an adapter of the inventory.
    void dispatch_waiting_for(const inventory_message& inventory);
    // The addresses of the peers that are up as far as this daemon knows.
    std::vector<network_address> reachable_peers() const;
    void broadcast(const fleet_message& message);
    void send_to_member(const daemon_id& member, const fleet_message& message);
    void send_to_members(const std::vector<daemon_id>& members,
                         const fleet_message& message);
    void send_inventory(const inventory_message& message);
    // Passes an inventory on to this daemon's availability zone, if its sender asks so.
    void relay(const inventory_message& message);
    void send_to_random_peers(const fleet_message& message);
    void send_to(const std::vector<network_address>& peers, const fleet_message& message);
    void request_load(const load_request_message& request);
    void send_heartbeat();
    // Returns another number whenever something changes that each peer must know.
    std::uint64_t status_number(const heartbeat_message& message);
    // Counts the requests of a daemon, this one included, for the engine's orders and for
    // the endpoint's request limit.
    void record_endpoint_load(const daemon_id& sender, const endpoint_id& endpoint,
                              const endpoint_load& load);
    void report_endpoint_loads();
    void send_periodic_heartbeat();
    void update_own_member_view();
    void run_periodic_work();
    void run_fleet_work();
    void run_housekeeping();
    void report_periodic_statistics();
    void handle_operator_request(stream_id caller, const http_head& head);
    gateway_activity current_activity() const;
    void check_settings_file();
    void begin_shutdown();
    // True if the end of the process would cut off no request and no response: none is in
    // flight, read in part, or not yet read by its caller.
    bool has_finished_requests() const;
    // Handles signals that have arrived and continues a shutdown. Returns true once the
    // daemon may exit.
    bool process_signals();
    void reload_settings();

    gateway_context context_;
    std::string settings_path_;
    connection_pool pool_;
    http_server caller_server_;
    http_server operator_server_;
    crash_guard guard_;
    idempotency_claims claims_;
    request_permits permits_;
    base_versions base_versions_;
    block_records block_records_;
    stream_records records_;
    brittle_endpoints brittle_;
    link_monitor links_;
    endpoint_load_reports loads_;
    customer_quotas quotas_;
    request_flow flow_;
    engine_controller engine_controller_;
    fleet_membership membership_;
    fleet_watcher watcher_;
    store_sync store_sync_;
    change_publisher publisher_;
    gateway_statistics statistics_;
    heartbeat_audience audience_;
    // What each peer must know of this daemon, and a number that changes with it.
    std::string status_;
    std::uint64_t status_number_ = 0;
    // Chooses the peers that are told something at random.
    std::mt19937 random_{std::random_device{}()};
    instant shutdown_began_{};
    bool stopped_listening_ = false;
    std::filesystem::file_time_type settings_modified_at_{};
};

gateway::gateway(const gateway_settings& settings, std::string settings_path)
    : context_(settings,
               plugin_registry<platform_dialect>::instance().make(
                   settings.dialect, settings.store_address.value),
               make_extra_caller_interface(settings)),
      settings_path_(std::move(settings_path)), pool_(context_.loop),
      caller_server_(
          context_,
          [this](stream_id caller, const http_head& head, std::string body)
          { on_request(caller, head, std::move(body)); },
          [this](stream_id caller) { flow_.on_caller_disconnected(caller); }),
      operator_server_(
          context_,
          [this](stream_id caller, const http_head& head, const std::string&)
          { handle_operator_request(caller, head); },
          [](stream_id) {}),
      guard_(
          context_, [this](const fleet_message& message) { broadcast(message); },
          [this](const fleet_message& message) { send_to_random_peers(message); }),
      claims_(context_),
      permits_(
          context_,
          [this](const daemon_id& member, const fleet_message& message)
          { send_to_member(member, message); },
          [this](const fleet_message& message) { broadcast(message); }),
      base_versions_(context_, [this] { return membership_.watch().is_loaded(); }),
      block_records_(context_, guard_.prompt_parts(),
                     [this] { return membership_.watch().is_loaded(); }),
      records_(
          context_, [this] { return membership_.watch().is_loaded(); },
          [this](const daemon_id& member, const fleet_message& message)
          { send_to_member(member, message); }),
      brittle_(context_, [this](const fleet_message& message) { broadcast(message); }),
      links_(context_, pool_,
             [this]
             {
                 send_heartbeat();
                 flow_.on_links_changed();
             }),
      loads_(
          context_,
          [this](const daemon_id& member, const fleet_message& message)
          { send_to_member(member, message); },
          [this](const fleet_message& message) { broadcast(message); },
          [this](const daemon_id& sender, const endpoint_id& endpoint,
                 const endpoint_load& load)
          { record_endpoint_load(sender, endpoint, load); }),
      quotas_(context_, [this](const daemon_id& member, const fleet_message& message)
              { send_to_member(member, message); }),
      flow_(context_, caller_server_, pool_, guard_, claims_, permits_, records_,
            brittle_, links_, loads_, quotas_,
            [this](const load_request_message& request) { request_load(request); }),
      engine_controller_(
          context_,
          [this](const inventory_message& message)
          {
              send_inventory(message);
              apply_inventory(context_.fleet, message, context_.loop.now());
              // The dispatch is deferred, because this function may be called during one.
              context_.loop.schedule_after(milliseconds(0), [this, message]
                                           { dispatch_waiting_for(message); });
          },
          [this](const std::vector<daemon_id>& requesters,
                 const load_queue_message& message)
          {
              send_to_members(requesters, message);
              apply_load_queue(context_.fleet, message, context_.loop.now());
          }),
      membership_(context_, [this](const endpoint_id& endpoint)
                  { engine_controller_.permission_changed(endpoint); }),
      watcher_(
          context_,
          [this](const endpoint_id& endpoint)
          {
              engine_controller_.permission_changed(endpoint);
              guard_.on_endpoint_lost(endpoint);
          },
          [this](const endpoint_id& endpoint)
          {
              pool_.remove_endpoint(endpoint);
              guard_.on_endpoint_lost(endpoint);
          }),
      store_sync_(context_,
                  [this](const network_address& to, const fleet_message& message)
                  { context_.loop.send_datagram(to, encode(message)); }),
      publisher_(context_, [this](const std::vector<daemon_id>& members,
                                  const fleet_message& message)
                 { send_to_members(members, message); })
{
    std::vector<store_watch*> watches = watcher_.watches();
    watches.push_back(&membership_.watch());
    for (store_watch* watch : watches)
    {
        store_sync_.add_watch(*watch);
        publisher_.add_watch(*watch);
    }
    loads_.on_load_known([this](const endpoint_id& endpoint)
                         { flow_.dispatch_waiting_at(endpoint); });
    permits_.on_available([this] { dispatch_waiting(); });
    membership_.on_other_item(
        [this](const store_item& item)
        {
            if (item.key.starts_with(base_version_prefix))
                base_versions_.on_item(item);
            else if (item.key.starts_with(block_record_prefix))
                block_records_.on_item(item);
        });
    context_.incarnation = {random_hex(incarnation_bytes)};
    engine_controller_.attach(membership_);
}

void gateway::on_request(stream_id caller, const http_head& head, std::string body)
{
    constexpr int status_ok = 200;
    constexpr int status_not_found = 404;
    constexpr int status_unavailable = 503;
    const address_roles roles = caller_server_.roles_of(caller);
    const request_target target = target_of_request(context_, head, roles);
    switch (target)
    {
    case request_target::readiness:
        return caller_server_.send_response(
            caller, is_ready(context_) ? status_ok : status_unavailable, "", "");
    case request_target::directory:
        return send_directory(caller, context_.dialect.write_directory);
    case request_target::extra_directory:
        return send_directory(caller, context_.extra_caller_interface->write_directory);
    case request_target::nothing:
        return caller_server_.send_error(
            caller, {verdict::not_run, status_not_found, "unknown_call",
                     "this address does not serve '" + head.target + "'", std::nullopt});
    case request_target::route:
        break;
    }
    flow_.handle_request(caller, head, std::move(body));
}

void gateway::send_directory(stream_id caller, const directory_writer& write)
{
    constexpr int status_ok = 200;
    constexpr int status_unavailable = 503;
    const std::vector<network_address> addresses =
        caller_addresses(context_.fleet, random_(), context_.loop.now());
    if (addresses.empty())
        return caller_server_.send_error(
            caller, {verdict::not_run, status_unavailable, "no_daemon",
                     "no daemon is known to be ready", seconds(1)});
    caller_server_.send_response(caller, status_ok, "Content-Type: application/json\r\n",
                                 write(addresses, context_.settings.directory_lifetime));
}

void gateway::on_datagram(std::string_view bytes)
{
    const instant began = boot_clock::now();
    try
    {
        const fleet_message message = decode(bytes);
        count_message(statistics_.received, message, bytes.size());
        handle_message(message);
    }
    catch (const std::runtime_error& error)
    {
        context_.log.write("peer message refused", {{"reason", error.what()}});
    }
    statistics_.message_time += boot_clock::now() - began;
}

void gateway::handle_message(const fleet_message& message)
{
    const instant now = context_.loop.now();
    if (const auto* heartbeat = std::get_if<heartbeat_message>(&message))
    {
        apply_heartbeat(context_.fleet, *heartbeat, now);
        record_peer_era(context_, heartbeat->era, heartbeat->era_age);
        watcher_.operator_watch().on_peer_change(heartbeat->operator_change);
        permits_.on_heartbeat(*heartbeat);
        for (const auto& [endpoint, load] : heartbeat->endpoint_loads)
            record_endpoint_load(heartbeat->sender, endpoint, load);
    }
    else if (const auto* load = std::get_if<endpoint_load_message>(&message))
        loads_.on_report(*load);
    else if (const auto* stated = std::get_if<stated_load_message>(&message))
        loads_.on_stated_load(*stated);
    else if (const auto* inventory = std::get_if<inventory_message>(&message))
    {
        relay(*inventory);
        apply_inventory(context_.fleet, *inventory, now);
        dispatch_waiting_for(*inventory);
    }
    else if (const auto* queue = std::get_if<load_queue_message>(&message))
        apply_load_queue(context_.fleet, *queue, now);
    else if (const auto* request = std::get_if<load_request_message>(&message))
        engine_controller_.request_load(*request);
    else if (const auto* suspects = std::get_if<suspects_message>(&message))
        guard_.merge_suspects(*suspects);
    else if (const auto* parts = std::get_if<prompt_parts_message>(&message))
        guard_.prompt_parts().merge(*parts);
    else if (const auto* sync_request = std::get_if<sync_request_message>(&message))
        store_sync_.on_request(*sync_request);
    else if (const auto* chunk = std::get_if<sync_chunk_message>(&message))
        store_sync_.on_chunk(*chunk);
    else if (const auto* limit = std::get_if<endpoint_limit_message>(&message))
        permits_.on_limit(*limit);
    else if (const auto* permit_request = std::get_if<permit_request_message>(&message))
        permits_.on_request(*permit_request);
    else if (const auto* permit = std::get_if<permit_message>(&message))
        permits_.on_permit(*permit);
    else if (const auto* changes = std::get_if<store_changes_message>(&message))
        publisher_.on_changes(*changes);
    else if (const auto* room = std::get_if<endpoint_room_message>(&message))
        brittle_.on_message(*room);
    else if (const auto* question = std::get_if<quota_question_message>(&message))
        quotas_.on_question(*question);
    else if (const auto* answer = std::get_if<quota_answer_message>(&message))
        quotas_.on_answer(*answer);
    else
        handle_stream_message(message);
}

void gateway::handle_stream_message(const fleet_message& message)
{
    if (const auto* copies = std::get_if<stream_copies_message>(&message))
        records_.copies().on_copies(*copies);
    else if (const auto* receipt = std::get_if<stream_copies_receipt>(&message))
        records_.copies().on_receipt(*receipt);
    else if (const auto* question = std::get_if<stream_question_message>(&message))
        records_.on_question(*question);
    else if (const auto* statement = std::get_if<stream_statement_message>(&message))
        records_.on_statement(*statement);
}

void gateway::dispatch_waiting()
{
    const instant began = boot_clock::now();
    flow_.dispatch_waiting();
    statistics_.dispatch_time += boot_clock::now() - began;
    ++statistics_.dispatches;
}

void gateway::dispatch_waiting_for(const inventory_message& inventory)
{
    const instant began = boot_clock::now();
    std::set<adapter_id> adapters;
    for (const reported_adapter& reported : inventory.adapters)
        adapters.insert(reported.adapter.adapter);
    flow_.dispatch_waiting_for(adapters);
    statistics_.dispatch_time += boot_clock::now() - began;
    ++statistics_.dispatches;
}

std::vector<network_address> gateway::reachable_peers() const
{
    std::vector<network_address> peers;
    for (const auto& [id, member] : context_.fleet.members)
        if (is_reachable_peer(context_.fleet, member, context_.loop.now()))
            peers.push_back(member.peer_address);
    return peers;
}

void gateway::broadcast(const fleet_message& message)
{
    send_to(reachable_peers(), message);
}

void gateway::send_to_member(const daemon_id& member, const fleet_message& message)
{
    send_to_members({member}, message);
}

void gateway::send_to_members(const std::vector<daemon_id>& members,
                              const fleet_message& message)
{
    std::vector<network_address> peers;
    for (const daemon_id& member : members)
    {
        const auto found = context_.fleet.members.find(member);
        if (member != context_.settings.id && found != context_.fleet.members.end() &&
            !found->second.peer_address.empty())
            peers.push_back(found->second.peer_address);
    }
    send_to(peers, message);
}

void gateway::send_inventory(const inventory_message& message)
{
    const std::string key =
        message.endpoint.value + "/" + std::to_string(message.sequence);
    const relay_plan plan = plan_relays(context_.fleet, key, context_.loop.now());
    send_to_members(plan.direct, message);
    inventory_message relayed = message;
    relayed.is_to_relay = true;
    send_to_members(plan.relays, relayed);
}

void gateway::relay(const inventory_message& message)
{
    if (!message.is_to_relay)
        return;
    inventory_message relayed = message;
    relayed.is_to_relay = false;
    send_to_members(relay_targets(context_.fleet, message.sender, context_.loop.now()),
                    relayed);
}

void gateway::send_to_random_peers(const fleet_message& message)
{
    constexpr std::size_t peers_per_message = 3;
    std::vector<network_address> peers = reachable_peers();
    std::shuffle(peers.begin(), peers.end(), random_);
    peers.resize(std::min(peers.size(), peers_per_message));
    send_to(peers, message);
}

void gateway::send_to(const std::vector<network_address>& peers,
                      const fleet_message& message)
{
    if (peers.empty())
        return;
    const std::string bytes = encode(message);
    std::size_t bytes_sent = 0;
    for (const network_address& peer : peers)
    {
        context_.loop.send_datagram(peer, bytes);
        count_message(statistics_.sent, message, bytes.size());
        bytes_sent += bytes.size();
    }
    context_.metrics.add("pollenhaven_peer_bytes_sent_total",
                         static_cast<double>(bytes_sent));
}

void gateway::request_load(const load_request_message& request)
{
    endpoint_view& engine = context_.fleet.endpoints.at(request.endpoint);
    // The load is counted before the holder reports its queue, so that the next request
    // selects another engine.
    if (!request.replica && !request.is_repeated)
        record_load_request(engine, context_.loop.now());
    if (engine.holder == context_.settings.id)
        return engine_controller_.request_load(request);
    send_to_member(engine.holder, request);
}

void gateway::send_heartbeat()
{
    update_own_member_view();
    heartbeat_message message;
    message.sender = context_.settings.id;
    message.incarnation = context_.incarnation;
    message.ready = is_ready(context_);
    message.leaving = context_.leaving;
    message.cut_off = is_cut_off_confirmed(context_.links, context_.loop.now());
    message.store_silence = store_silence(context_);
    message.era = context_.fleet.era;
    if (context_.era_seen_at)
        message.era_age = to_milliseconds(context_.loop.now() - *context_.era_seen_at);
    message.operator_change = watcher_.operator_watch().newest_change();
    message.load_observations = take_load_observations(context_);
    message.load_times = context_.fleet.load_times;
    message.request_limits = permits_.limits_to_report();
    record_known_versions(context_.fleet, context_.loop.now());
    if (context_.routing != nullptr)
        message.software_versions = versions_to_report(
            context_.fleet, services_with_resumable_streams(*context_.routing));
    // An outage of the store is one only if all members confirm it, and the next giver of
    // permits must know the limits.
    const bool to_all = message.store_silence >= silence_before_heartbeats_to_all ||
                        !message.request_limits.empty();
    const std::uint64_t status = status_number(message);
    std::map<bool, std::vector<network_address>> peers;
    for (const heartbeat_target& target :
         next_targets(audience_, context_.fleet, status, to_all, context_.loop.now()))
        peers[target.is_regular].push_back(
            context_.fleet.members.at(target.member).peer_address);
    for (const auto& [is_regular, addresses] : peers)
    {
        message.is_regular = is_regular;
        send_to(addresses, message);
    }
}

std::uint64_t gateway::status_number(const heartbeat_message& message)
{
    heartbeat_message status;
    status.ready = message.ready;
    status.leaving = message.leaving;
    status.cut_off = message.cut_off;
    status.era = message.era;
    status.request_limits = message.request_limits;
    status.software_versions = message.software_versions;
    // Two daemons are enough to tell the others of a change.
    if (is_among_first_members(context_.fleet, leading_watches))
        status.operator_change = message.operator_change;
    std::string bytes = encode(status);
    if (message.store_silence >= silence_before_heartbeats_to_all)
        bytes += "to all";
    if (bytes != status_)
        ++status_number_;
    status_ = std::move(bytes);
    return status_number_;
}

void gateway::record_endpoint_load(const daemon_id& sender, const endpoint_id& endpoint,
                                   const endpoint_load& load)
{
    engine_controller_.record_adapter_usage(endpoint, load);
    permits_.record_started(sender, endpoint, load);
}

void gateway::report_endpoint_loads()
{
    context_.loop.schedule_after(load_report_interval,
                                 [this] { report_endpoint_loads(); });
    loads_.report_all();
}

void gateway::send_periodic_heartbeat()
{
    context_.loop.schedule_after(heartbeat_interval,
                                 [this] { send_periodic_heartbeat(); });
    send_heartbeat();
}

void gateway::update_own_member_view()
{
    member_view& self = context_.fleet.members[context_.settings.id];
    self.ready = is_ready(context_);
    self.leaving = context_.leaving;
    self.cut_off = is_cut_off_confirmed(context_.links, context_.loop.now());
    self.last_message_at = context_.loop.now();
}

void gateway::run_periodic_work()
{
    context_.loop.schedule_after(work_interval, [this] { run_periodic_work(); });
    engine_controller_.run_periodic_work();
    dispatch_waiting();
}

void gateway::run_fleet_work()
{
    context_.loop.schedule_after(fleet_work_interval, [this] { run_fleet_work(); });
    membership_.run_periodic_work();
    count_loads_in_progress(context_.fleet, context_.loop.now());
}

void gateway::report_periodic_statistics()
{
    context_.loop.schedule_after(statistics_interval,
                                 [this] { report_periodic_statistics(); });
    report_statistics(context_, statistics_);
}

void gateway::run_housekeeping()
{
    context_.loop.schedule_after(housekeeping_interval, [this] { run_housekeeping(); });
    watcher_.remove_gone_endpoints();
    guard_.run_periodic_work();
    claims_.remove_expired_claims();
    quotas_.run_periodic_work();
    base_versions_.run_periodic_work();
    block_records_.update();
    records_.run_periodic_work();
    links_.check_silence(flow_.waits_for_endpoints());
    store_sync_.run_periodic_work();
    const bool close_all =
        context_.leaving && context_.loop.now() - shutdown_began_ > close_idle_after;
    caller_server_.close_idle(close_all);
    operator_server_.close_idle(close_all);
}

gateway_activity gateway::current_activity() const
{
    return {flow_.requests_in_flight(), caller_server_.connections(),
            flow_.held_response_bytes(), quotas_.usage()};
}

void gateway::handle_operator_request(stream_id caller, const http_head& head)
{
    constexpr int status_ok = 200;
    constexpr std::string_view report_prefix = "/v1/";
    const std::string path(path_of(head.target));
    if (path.starts_with(report_prefix))
    {
        const std::optional<std::string> report = operator_report(
            context_, path.substr(report_prefix.size()), current_activity());
        if (report)
            return operator_server_.send_response(
                caller, status_ok, "Content-Type: application/json\r\n", *report);
    }
    update_gauges(context_, current_activity());
    operator_server_.send_response(caller, status_ok, "Content-Type: text/plain\r\n",
                                   context_.metrics.prometheus_text());
}

void gateway::check_settings_file()
{
    context_.loop.schedule_after(settings_file_interval,
                                 [this] { check_settings_file(); });
    std::error_code error;
    const auto modified_at = std::filesystem::last_write_time(settings_path_, error);
    if (error || modified_at == settings_modified_at_)
        return;
    const bool is_first_check =
        settings_modified_at_ == std::filesystem::file_time_type{};
    settings_modified_at_ = modified_at;
    if (!is_first_check)
        reload_settings();
}

void gateway::begin_shutdown()
{
    context_.leaving = true;
    shutdown_began_ = context_.loop.now();
    context_.admission_ends =
        shutdown_began_ + context_.settings.stop_grace / grace_per_admission_time;
    context_.log.write(
        "stopping",
        {{"under_way", static_cast<std::int64_t>(flow_.requests_in_flight())}});
    send_heartbeat();
}

bool gateway::has_finished_requests() const
{
    return flow_.requests_in_flight() == 0 && caller_server_.connections() == 0 &&
           context_.loop.closing_streams() == 0;
}

bool gateway::process_signals()
{
    if (reload_requested != 0)
    {
        reload_requested = 0;
        reload_settings();
    }
    if (stop_requested == 0)
        return false;
    if (!context_.leaving)
        begin_shutdown();
    const auto shutdown_duration = context_.loop.now() - shutdown_began_;
    if (shutdown_duration > stop_listening_after && !stopped_listening_)
    {
        context_.loop.stop_listening();
        stopped_listening_ = true;
    }
    const auto latest_exit = context_.settings.stop_grace - exit_reserve;
    if (shutdown_duration > latest_exit - refusal_reserve)
        flow_.refuse_waiting();
    const bool may_exit =
        (shutdown_duration > min_shutdown_duration && has_finished_requests()) ||
        shutdown_duration > latest_exit;
    if (!may_exit)
        return false;
    // The loop's last flush sends the call that ends the lease.
    membership_.release_lease();
    return true;
}

void gateway::reload_settings()
{
    try
    {
        const gateway_settings settings = read_gateway_settings(settings_path_);
        context_.settings.retry_budget = settings.retry_budget;
        context_.settings.load_timing = settings.load_timing;
        context_.settings.directory_lifetime = settings.directory_lifetime;
        context_.log.write("settings reloaded", {{"file", settings_path_}});
    }
    catch (const settings_error& error)
    {
        context_.log.write("settings refused", {{"reason", error.what()}});
    }
}

int gateway::run()
{
    for (const auto& [address, roles] : roles_by_address(context_.settings))
        caller_server_.listen(address, roles);
    context_.loop.listen_for_datagrams(context_.settings.peer_address,
                                       [this](std::string_view bytes)
                                       { on_datagram(bytes); });
    context_.log.write("started", {{"incarnation", context_.incarnation.value},
                                   {"callers", context_.settings.caller_address.value},
                                   {"store", context_.settings.store_address.value}});
    if (!context_.settings.metrics_address.empty())
        operator_server_.listen(context_.settings.metrics_address, {});
    send_periodic_heartbeat();
    report_endpoint_loads();
    publisher_.run();
    run_fleet_work();
    run_periodic_work();
    run_housekeeping();
    report_periodic_statistics();
    check_settings_file();
    context_.loop.run([this] { return process_signals(); });
    context_.log.write(
        "stopped", {{"cut_off", static_cast<std::int64_t>(flow_.requests_in_flight())}});
    return 0;
}

} // namespace

int run_gateway(const gateway_settings& settings, const std::string& settings_path)
{
    install_signal_handlers();
    gateway daemon(settings, settings_path);
    return daemon.run();
}

} // namespace pollenhaven
