#ifndef POLLENHAVEN_TESTS_CONTRACT_FLOW_FIXTURE_HPP
#define POLLENHAVEN_TESTS_CONTRACT_FLOW_FIXTURE_HPP

#include "core/plugin_registry.hpp"
#include "servers/gateway/connection_pool.hpp"
#include "servers/gateway/http_server.hpp"
#include "servers/gateway/request_flow.hpp"
#include "tests/harness/process.hpp"

#include <functional>
#include <set>

// The request path of a daemon between one caller and scripted endpoints, in one process.
namespace pollenhaven::contract
{

inline network_address free_address()
{
    return {"127.0.0.1:" + std::to_string(harness::free_port())};
}

// The response of an endpoint to one request: the bytes to send, and how the connection
// ends after them.
struct endpoint_script
{
    // "ID" is replaced by the id of the request.
    std::string bytes;
    bool closes = false;
    // Closes with a TCP reset instead of an orderly shutdown.
    bool resets = false;
    // Has no effect: the endpoint always responds once it has the head of a request.
    bool early = false;
    // Sent again and again after `bytes`, until the daemon closes the connection.
    std::string repeated;
};

inline std::string replaced(std::string text, const std::string& pattern,
                            const std::string& replacement)
{
    for (std::size_t at = text.find(pattern); at != std::string::npos;
         at = text.find(pattern, at + replacement.size()))
        text.replace(at, pattern.size(), replacement);
    return text;
}

struct scripted_endpoint
{
    event_loop& loop;
    network_address address = free_address();
    std::vector<endpoint_script> scripts;
    std::vector<std::string> requests;
    int connections = 0;
    int closed_by_daemon = 0;
    // Connections on which nothing is answered any more.
    std::set<std::uint64_t> silent;
    std::vector<stream_id> accepted;
    // Bytes of `endpoint_script::repeated` that were passed on for sending.
    std::size_t repeated_bytes = 0;
    // Answers a request in place of the scripts, if it is set: gets the connection, the
    // request and its id.
    std::function<void(stream_id, const std::string&, const std::string&)> respond;

    explicit scripted_endpoint(event_loop& shared_loop) : loop(shared_loop)
    {
        loop.listen(address, [this](stream_id id) { accept(id); });
    }

    void accept(stream_id id)
    {
        ++connections;
        accepted.push_back(id);
        stream_handlers handlers;
        handlers.readable = [this](stream_id from) { on_bytes(from); };
        handlers.ended = [this](stream_id, stream_end) { ++closed_by_daemon; };
        loop.set_handlers(id, std::move(handlers));
    }

    // The open connections go silent for good, as some do on the way; new ones work.
    void silence_open_connections()
    {
        for (const stream_id id : accepted)
            silent.insert(id.value);
    }

    void on_bytes(stream_id from)
    {
        if (silent.contains(from.value))
            return;
        std::string& input = loop.input(from);
        if (input.find("\r\n\r\n") == std::string::npos)
            return;
        const std::string request = input;
        input.clear();
        requests.push_back(request);
        const std::string field = "X-Pollenhaven-Request-Id: ";
        const std::size_t begin = request.find(field) + field.size();
        const std::string id = request.substr(begin, request.find("\r\n", begin) - begin);
        if (respond)
            return respond(from, request, id);
        const std::size_t index = std::min(requests.size(), scripts.size()) - 1;
        const endpoint_script& script = scripts.at(index);
        loop.send(from, replaced(script.bytes, "ID", id));
        if (!script.repeated.empty())
            send_repeatedly(from, script.repeated);
        if (script.resets)
            loop.schedule_after(milliseconds(20), [this, from] { loop.reset(from); });
        else if (script.closes)
            loop.close_after_output(from);
    }

    // Keeps the connection full until the daemon closes it.
    void send_repeatedly(stream_id from, const std::string& bytes)
    {
        constexpr std::size_t block_size = 65536;
        constexpr std::size_t max_pending = 4 * block_size;
        if (!loop.is_open(from))
            return;
        std::string block;
        while (block.size() < block_size)
            block += bytes;
        while (loop.pending_output(from) < max_pending)
        {
            loop.send(from, block);
            repeated_bytes += block.size();
        }
        loop.schedule_after(milliseconds(1),
                            [this, from, bytes] { send_repeatedly(from, bytes); });
    }
};

inline address_roles caller_roles()
{
    address_roles roles;
    roles.callers = true;
    return roles;
}

inline address_roles peer_roles()
{
    address_roles roles;
    roles.peers = true;
    return roles;
}

// The request path of a daemon with two scripted endpoints, all on one event loop.
struct flow_fixture
{
    gateway_context context;
    connection_pool pool;
    http_server callers;
    crash_guard guard;
    idempotency_claims claims;
    request_permits permits;
    stream_records records;
    brittle_endpoints brittle;
    link_monitor links;
    endpoint_load_reports loads;
    customer_quotas quotas;
    request_flow flow;
    scripted_endpoint first;
    scripted_endpoint second;
    network_address address = free_address();
    std::string received;
    bool ended = false;
    // How the caller's connection ended, if it did.
    stream_end caller_end = stream_end::failed;
    int disconnected_callers = 0;
    // How long send_request() waits for the end of a response.
    milliseconds time_limit{2500};
    std::vector<load_request_message> load_requests;
    // What the request permits sent to all peers.
    std::vector<fleet_message> broadcasts;
    // What the request permits sent to single peers.
    std::vector<fleet_message> sent;
    // What was sent to the keepers of endpoints.
    std::vector<endpoint_load_message> load_reports;
    // The loads at endpoints with a request limit, which all peers get.
    std::vector<fleet_message> load_broadcasts;
    // Called on each load request, while the request that needs the load is still being
    // dispatched.
    std::function<void()> on_load_request = [] {};

    static gateway_settings settings()
    {
        gateway_settings result;
        result.id = {"daemon"};
        result.zone = "zone";
        return result;
    }

    flow_fixture()
        : context(settings(),
                  plugin_registry<platform_dialect>::instance().make("fleet", "")),
          pool(context.loop),
          callers(
              context,
              [this](stream_id caller, const http_head& head, std::string body)
              { flow.handle_request(caller, head, std::move(body)); },
              [this](stream_id caller)
              {
                  ++disconnected_callers;
                  flow.on_caller_disconnected(caller);
              }),
          guard(
              context, [](const fleet_message&) {}, [](const fleet_message&) {}),
          claims(context),
          permits(
              context,
              [this](const daemon_id&, const fleet_message& message)
              { sent.push_back(message); },
              [this](const fleet_message& message) { broadcasts.push_back(message); }),
          records(
              context, [] { return true; },
              [this](const daemon_id&, const fleet_message& message)
              { sent.push_back(message); }),
          brittle(context, [this](const fleet_message& message)
                  { broadcasts.push_back(message); }),
          links(context, pool, [this] { flow.on_links_changed(); }),
          loads(
              context,
              [this](const daemon_id&, const fleet_message& message)
              { load_reports.push_back(std::get<endpoint_load_message>(message)); },
              [this](const fleet_message& message)
              { load_broadcasts.push_back(message); },
              [](const daemon_id&, const endpoint_id&, const endpoint_load&) {}),
          quotas(context, [this](const daemon_id&, const fleet_message& message)
                 { sent.push_back(message); }),
          flow(context, callers, pool, guard, claims, permits, records, brittle, links,
               loads, quotas,
               [this](const load_request_message& load)
               {
                   load_requests.push_back(load);
                   on_load_request();
               }),
          first(context.loop), second(context.loop)
    {
        callers.listen(address, caller_roles());
        loads.on_load_known([this](const endpoint_id& endpoint)
                            { flow.dispatch_waiting_at(endpoint); });
        set_routes();
    }

    void set_routes()
    {
        routing_table table;
        table.version = {1};
        table.services[{"plain"}] = {{"plain"}, 10, std::nullopt};
        table.services[{"assistant"}] = {{"assistant"}, 10, engine_capacity{}};
        add_route(table, "/once/", route_kind::non_idempotent, "plain", 1);
        add_route(table, "/look/", route_kind::idempotent, "plain", 2);
        add_route(table, "/chat/", route_kind::streaming, "assistant", 1);
        add_route(table, "/again/", route_kind::streaming, "assistant", 2);
        table.routes.back().resumable = true;
        context.routing = std::make_shared<const routing_table>(table);
    }

    static void add_route(routing_table& table, const std::string& prefix,
                          route_kind kind, const std::string& service, int attempts)
    {
        route added;
        added.name = prefix;
        added.host = "h";
        added.path_prefix = prefix;
        added.kind = kind;
        added.services = {{{service}, 1}};
        added.timeout = milliseconds(1500);
        added.target_latency = milliseconds(100);
        added.max_attempts = attempts;
        table.routes.push_back(added);
    }

    void add_endpoint(const std::string& id, const std::string& service,
                      const scripted_endpoint& endpoint)
    {
        endpoint_view& view = context.fleet.endpoints[{id}];
        view.record.id = {id};
        view.record.service = {service};
        view.record.address = endpoint.address;
        view.record.zone = "zone";
        view.record.slots = 4;
    }

    // Adds both endpoints. The second one has a measured time to first byte of 900 ms, so
    // the first one is preferred.
    void add_endpoints(const std::string& service)
    {
        add_endpoint("i-1", service, first);
        add_endpoint("i-2", service, second);
        record_first_byte(context.fleet.endpoints.at({"i-2"}), milliseconds(900),
                          context.loop.now());
    }

    stream_id connect()
    {
        stream_handlers handlers;
        handlers.readable = [this](stream_id id)
        { received += std::exchange(context.loop.input(id), ""); };
        handlers.ended = [this](stream_id id, stream_end end)
        {
            received += std::exchange(context.loop.input(id), "");
            ended = true;
            caller_end = end;
        };
        return context.loop.connect(address, std::move(handlers));
    }

    void run_until(const std::function<bool()>& done, milliseconds limit)
    {
        const instant deadline = boot_clock::now() + limit;
        context.loop.schedule(deadline, [] {});
        context.loop.run([&] { return done() || boot_clock::now() > deadline; });
    }

    // Sends a request and returns all bytes of the response.
    std::string send_request(const std::string& path, const std::string& fields = "")
    {
        received.clear();
        ended = false;
        const stream_id caller = connect();
        context.loop.send(caller, "POST " + path + " HTTP/1.1\r\nHost: h\r\n" +
                                      "X-Pollenhaven-Request-Id: id-1\r\n" + fields +
                                      "Content-Length: 4\r\n\r\nbody");
        run_until(
            [this]
            {
                flow.dispatch_waiting();
                return ended || (flow.requests_in_flight() == 0 && !received.empty());
            },
            time_limit);
        run_until([] { return false; }, milliseconds(30));
        context.loop.close(caller);
        return received;
    }
};

inline std::string make_response(const std::string& status, const std::string& fields,
                                 const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nX-Pollenhaven-Request-Id: ID\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline const std::string signature_field = "X-Pollenhaven-Server-Signature: sig\r\n";
inline const std::string ok_response = make_response("200 OK", signature_field, "fine");
inline const std::string not_executed_response =
    make_response("503 Service Unavailable", "X-Pollenhaven-Not-Executed: 1\r\n", "full");
inline const std::string stream_head =
    "HTTP/1.1 200 OK\r\nX-Pollenhaven-Request-Id: ID\r\n" + signature_field +
    "Transfer-Encoding: chunked\r\n\r\n";

inline std::string chunk(const std::string& bytes)
{
    static const char* const digits = "0123456789abcdef";
    return std::string(1, digits[bytes.size() / 16]) + digits[bytes.size() % 16] +
           "\r\n" + bytes + "\r\n";
}

inline bool contains(const std::string& text, const std::string& expected)
{
    return text.find(expected) != std::string::npos;
}

} // namespace pollenhaven::contract

#endif
