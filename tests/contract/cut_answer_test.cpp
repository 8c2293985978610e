// Answers that an endpoint cuts at any byte, on each way to the caller.

#include "tests/contract/flow_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace pollenhaven;
using namespace pollenhaven::contract;

namespace
{

const std::string id_field = "X-Pollenhaven-Request-Id: ID\r\n";
const std::string event_a = "id: 1\ndata: a\n\n";
const std::string event_b = "id: 2\ndata: b\n\n";
const std::string early_hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
constexpr int status_bad_gateway = 502;
constexpr milliseconds split_pause{1};
constexpr milliseconds silence_before_close{30};
constexpr milliseconds batch_time_limit{4000};
constexpr int many_slots = 1000;
// Requests that are in progress at once.
constexpr std::size_t batch_size = 60;
// Fewer than the connections that the pool keeps for one endpoint.
constexpr std::size_t kept_batch_size = 20;

enum class answer_framing
{
    length,
    chunks,
    connection_end
};

enum class cut_end
{
    close,
    reset,
    silence_then_close
};

// One whole answer of an endpoint.
struct whole_answer
{
    int status = 200;
    answer_framing framing = answer_framing::length;
    std::string body;
    // Responses that come before it.
    std::string before;
    // Header lines of the answer, without those of its framing.
    std::string fields = id_field + signature_field;
};

std::string head_of(const whole_answer& answer)
{
    std::string head = answer.before + "HTTP/1.1 " + std::to_string(answer.status) +
                       " Some reason\r\n" + answer.fields;
    if (answer.framing == answer_framing::length)
        head += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
    if (answer.framing == answer_framing::chunks)
        head += "Transfer-Encoding: chunked\r\n";
    return head + "\r\n";
}

std::string bytes_of(const whole_answer& answer)
{
    if (answer.framing != answer_framing::chunks)
        return head_of(answer) + answer.body;
    const std::size_t half = answer.body.size() / 2;
    return head_of(answer) +
           (answer.body.empty()
                ? ""
                : chunk(answer.body.substr(0, half)) + chunk(answer.body.substr(half))) +
           "0\r\n\r\n";
}

// What an endpoint does with the first attempt of a request.
struct cut_plan
{
    whole_answer answer;
    // The bytes that are written, with "ID" for the request's id.
    std::string bytes;
    bool is_cut = true;
    // Late bytes of an earlier answer come before it, so that it may be lost.
    bool may_be_lost = false;
    // The bytes up to this one go in a write of their own; 0 for one write.
    std::size_t split = 0;
    cut_end end = cut_end::close;
};

// Returns a plan for each byte at which the answer can be cut, the whole answer among
// them.
std::vector<cut_plan> all_cuts(const whole_answer& answer, cut_end end, bool is_split)
{
    const std::string bytes = bytes_of(answer);
    // A reset leaves no answer whole whose end only the end of the connection marks.
    const bool is_always_cut =
        answer.framing == answer_framing::connection_end && end == cut_end::reset;
    std::vector<cut_plan> plans;
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut)
        plans.push_back({answer, bytes.substr(0, cut),
                         cut < bytes.size() || is_always_cut, false,
                         is_split ? cut / 2 : 0, end});
    return plans;
}

// A caller with one request on a connection of its own, and the answer that it gets.
struct caller_view
{
    stream_id stream;
    http_reader reader{http_reader::message_kind::response, message_limits{}};
    read_state state = read_state::partial;
    bool ended = false;
    std::string bytes_after_answer;
};

// Endpoints that follow a plan in the first attempt of each request, and answer any later
// one with a whole answer.
struct cut_fixture : flow_fixture
{
    std::map<std::string, cut_plan> plans;
    std::map<std::string, int> arrivals;
    std::map<std::uint64_t, int> requests_by_connection;
    int first_attempts_on_kept_connections = 0;
    whole_answer later_answer;
    std::map<std::string, caller_view> views;

    cut_fixture()
    {
        constexpr double no_limit = 1e9;
        context.settings.retry_budget.slack = no_limit;
        for (scripted_endpoint* const endpoint : {&first, &second})
            endpoint->respond =
                [this](stream_id from, const std::string& request, const std::string& id)
            { on_request(from, request, id); };
    }

    void on_request(stream_id from, const std::string& request, const std::string& id)
    {
        const bool is_kept = requests_by_connection[from.value]++ > 0;
        const auto plan = plans.find(id);
        if (++arrivals[id] == 1 && plan != plans.end())
        {
            first_attempts_on_kept_connections += is_kept ? 1 : 0;
            return follow(plan->second, from, id);
        }
        whole_answer answer = later_answer;
        if (contains(request, "Last-Event-Id: 1\r\n"))
            answer.body = event_b;
        if (contains(request, "Last-Event-Id: 2\r\n"))
            answer.body = "";
        context.loop.send(from, replaced(bytes_of(answer), "ID", id));
        if (answer.framing == answer_framing::connection_end)
            context.loop.close_after_output(from);
    }

    void follow(const cut_plan& plan, stream_id from, const std::string& id)
    {
        const std::string front = replaced(plan.bytes.substr(0, plan.split), "ID", id);
        const std::string rest = replaced(plan.bytes.substr(plan.split), "ID", id);
        context.loop.send(from, front);
        if (front.empty())
            return send_rest(rest, plan.end, from);
        context.loop.schedule_after(split_pause, [this, rest, end = plan.end, from]
                                    { send_rest(rest, end, from); });
    }

    void send_rest(const std::string& rest, cut_end end, stream_id from)
    {
        context.loop.send(from, rest);
        if (end == cut_end::close)
            context.loop.close_after_output(from);
        else if (end == cut_end::reset)
            context.loop.schedule_after(split_pause,
                                        [this, from] { context.loop.reset(from); });
        else
            context.loop.schedule_after(silence_before_close,
                                        [this, from] { context.loop.close(from); });
    }

    // Adds endpoints on which nothing has failed yet.
    void renew_endpoints(const std::string& service)
    {
        context.fleet.endpoints.clear();
        add_endpoints(service);
        for (auto& [id, endpoint] : context.fleet.endpoints)
            endpoint.record.slots = many_slots;
    }

    void send_from_new_caller(const std::string& path, const std::string& id)
    {
        caller_view& view = views[id];
        stream_handlers handlers;
        handlers.readable = [this, &view](stream_id from) { read_at_caller(view, from); };
        handlers.ended = [this, &view](stream_id from, stream_end end)
        {
            read_at_caller(view, from);
            view.ended = true;
            if (view.state == read_state::partial && end == stream_end::finished)
                view.state = view.reader.finish();
        };
        view.stream = context.loop.connect(address, std::move(handlers));
        context.loop.send(view.stream, "POST " + path +
                                           " HTTP/1.1\r\nHost: h\r\n"
                                           "X-Pollenhaven-Request-Id: " +
                                           id + "\r\nContent-Length: 4\r\n\r\nbody");
    }

    void read_at_caller(caller_view& view, stream_id from)
    {
        std::string& input = context.loop.input(from);
        if (view.state == read_state::partial)
            view.state = view.reader.read(input);
        if (view.state != read_state::partial)
            view.bytes_after_answer += std::exchange(input, "");
    }

    void run_until_all_answered()
    {
        const auto is_done = [](const auto& entry)
        { return entry.second.ended || entry.second.state == read_state::complete; };
        run_until(
            [&]
            {
                flow.dispatch_waiting();
                return std::all_of(views.begin(), views.end(), is_done);
            },
            batch_time_limit);
        for (const auto& [id, view] : views)
            context.loop.close(view.stream);
    }

    // Fills the pool with one connection to an endpoint for each request of a batch.
    void keep_connections(const std::string& path, const std::string& service)
    {
        context.fleet.endpoints.clear();
        add_endpoint("i-1", service, first);
        context.fleet.endpoints.at({"i-1"}).record.slots = many_slots;
        views.clear();
        for (std::size_t number = 0; number < kept_batch_size; ++number)
            send_from_new_caller(path, "kept-" + std::to_string(number));
        run_until_all_answered();
    }

    void send_batch(const std::string& path)
    {
        views.clear();
        arrivals.clear();
        for (const auto& [id, plan] : plans)
            send_from_new_caller(path, id);
        run_until_all_answered();
    }
};

// The plans of one batch, by the ids of their requests.
std::map<std::string, cut_plan> batch_from(const std::vector<cut_plan>& plans,
                                           std::size_t begin, std::size_t size)
{
    std::map<std::string, cut_plan> batch;
    for (std::size_t at = begin; at < std::min(plans.size(), begin + size); ++at)
        batch["cut-" + std::to_string(at)] = plans[at];
    return batch;
}

// True if the answer can't be told from one that has ended there: nothing but the end of
// its connection marks its end.
bool may_have_ended(const cut_plan& plan)
{
    const std::size_t head_size = head_of(plan.answer).size();
    const bool is_stream = plan.answer.body.starts_with("id: ");
    return plan.answer.framing == answer_framing::connection_end &&
           plan.end != cut_end::reset && plan.bytes.size() > head_size &&
           (!is_stream || plan.bytes.substr(head_size).ends_with("\n\n"));
}

// Checks what the caller of a request got. `later` is the answer of further attempts, and
// `attempts` their number. Returns true if the caller got a whole answer.
bool check_view(const caller_view& view, const cut_plan& plan, const whole_answer& later,
                int attempts)
{
    BOOST_TEST(view.bytes_after_answer.empty());
    BOOST_TEST((view.ended || view.state == read_state::complete),
               "the request has no end");
    if (view.state != read_state::complete)
        return false;
    const http_head& head = view.reader.head();
    const bool is_own_error = !field_value(head, verdict_field).empty() &&
                              field_value(head, "X-Pollenhaven-Server-Signature").empty();
    if (is_own_error && (plan.is_cut || plan.may_be_lost))
    {
        BOOST_TEST(head.status == status_bad_gateway);
        return false;
    }
    const bool is_first = attempts == 1;
    const whole_answer& expected = is_first ? plan.answer : later;
    BOOST_TEST(head.status == expected.status);
    if (!is_first || !plan.is_cut)
    {
        BOOST_TEST(view.reader.body == expected.body);
        return true;
    }
    BOOST_TEST(may_have_ended(plan), "a cut answer looks whole");
    BOOST_TEST(!view.reader.has_length());
    BOOST_TEST(view.reader.body == plan.bytes.substr(head_of(plan.answer).size()));
    return true;
}

struct answer_case
{
    const char* case_name;
    whole_answer answer;
};

whole_answer refusal()
{
    return {503, answer_framing::length, "full", "",
            id_field + "X-Pollenhaven-Not-Executed: 1\r\n"};
}

bool is_refusal(const whole_answer& answer)
{
    return contains(answer.fields, "Not-Executed");
}

std::vector<answer_case> plain_answers()
{
    return {{"length", {200, answer_framing::length, "fine"}},
            {"chunks", {200, answer_framing::chunks, "fine"}},
            {"no length", {200, answer_framing::connection_end, "fine"}},
            {"4xx, length", {404, answer_framing::length, "none"}},
            {"4xx, no length", {404, answer_framing::connection_end, "none"}},
            {"5xx, chunks", {500, answer_framing::chunks, "oops"}},
            {"refusal", refusal()},
            {"after 103", {200, answer_framing::length, "fine", early_hints}},
            {"no length, after 103",
             {200, answer_framing::connection_end, "fine", early_hints}}};
}

std::vector<answer_case> stream_answers()
{
    const std::string events = event_a + event_b;
    return {{"length", {200, answer_framing::length, events}},
            {"chunks", {200, answer_framing::chunks, events}},
            {"no length", {200, answer_framing::connection_end, events}},
            {"4xx, length", {404, answer_framing::length, "none"}},
            {"5xx, no length", {500, answer_framing::connection_end, "oops"}},
            {"refusal", refusal()},
            {"chunks, after 103", {200, answer_framing::chunks, events, early_hints}}};
}

struct cut_route
{
    const char* path;
    const char* service;
    bool may_repeat;
    bool is_stream;
};

const std::vector<cut_route>& routes()
{
    static const std::vector<cut_route> all{{"/once/1", "plain", false, false},
                                            {"/look/1", "plain", true, false},
                                            {"/chat/1", "assistant", false, true},
                                            {"/again/1", "assistant", true, true}};
    return all;
}

std::vector<answer_case> answers_of(const cut_route& route)
{
    return route.is_stream ? stream_answers() : plain_answers();
}

whole_answer later_answer_of(const cut_route& route)
{
    return {200, answer_framing::chunks, route.is_stream ? event_a + event_b : "again"};
}

// Checks that the request was repeated as often as its route allows, and got a whole
// answer if it could be repeated.
void check_attempts(const cut_route& route, const cut_plan& plan, bool got_whole,
                    int attempts)
{
    const bool is_refused =
        is_refusal(plan.answer) && plan.bytes.size() >= head_of(plan.answer).size();
    BOOST_TEST(attempts <= (route.may_repeat || is_refused ? 2 : 1));
    const bool is_whole = !plan.is_cut && !plan.may_be_lost;
    if (route.may_repeat || is_refused || is_whole)
        BOOST_TEST(got_whole);
}

void check_views(const cut_route& route, const std::map<std::string, caller_view>& views,
                 const std::map<std::string, cut_plan>& plans,
                 const std::map<std::string, int>& arrivals)
{
    const whole_answer later = later_answer_of(route);
    for (const auto& [id, view] : views)
    {
        const cut_plan& plan = plans.at(id);
        BOOST_TEST_CONTEXT("cut after " << plan.bytes.size() << " bytes, request " << id)
        {
            const int attempts = arrivals.contains(id) ? arrivals.at(id) : 0;
            const bool got_whole = check_view(view, plan, later, attempts);
            check_attempts(route, plan, got_whole, attempts);
        }
    }
}

// Sends a request for each plan to a daemon that reaches the endpoints, on new
// connections or on kept ones.
void check_cuts(const cut_route& route, const std::vector<cut_plan>& plans, bool is_kept)
{
    const std::size_t size = is_kept ? kept_batch_size : batch_size;
    cut_fixture test;
    test.later_answer = later_answer_of(route);
    for (std::size_t begin = 0; begin < plans.size(); begin += size)
    {
        test.plans.clear();
        if (is_kept)
            test.keep_connections(route.path, route.service);
        test.renew_endpoints(route.service);
        test.plans = batch_from(plans, begin, size);
        test.send_batch(route.path);
        check_views(route, test.views, test.plans, test.arrivals);
    }
    if (is_kept)
        BOOST_TEST(test.first_attempts_on_kept_connections >
                   static_cast<int>(plans.size() / 2));
}

void check_all_answers(cut_end end, bool is_split, bool is_kept)
{
    for (const cut_route& route : routes())
        for (const answer_case& row : answers_of(route))
        {
            BOOST_TEST_CONTEXT(route.path << ", " << row.case_name)
            {
                check_cuts(route, all_cuts(row.answer, end, is_split), is_kept);
            }
        }
}

// Cuts the daemon off from all endpoints, with one peer at this address.
void leave_only_peer(flow_fixture& daemon, const network_address& address)
{
    daemon.context.links.cut_off_since = daemon.context.loop.now();
    member_view& peer = daemon.context.fleet.members[{"peer"}];
    peer.id = {"peer"};
    peer.ready = true;
    peer.peer_address = address;
    constexpr seconds longer_than_the_test{600};
    peer.last_message_at = daemon.context.loop.now() + longer_than_the_test;
}

// Sends a request for each plan to a daemon that relays it to a peer, which the first
// scripted endpoint plays.
void check_cuts_of_peer(cut_route route, const std::vector<cut_plan>& plans)
{
    cut_fixture test;
    leave_only_peer(test, test.first.address);
    // The peer may have used all attempts.
    route.may_repeat = false;
    for (std::size_t begin = 0; begin < plans.size(); begin += batch_size)
    {
        test.plans = batch_from(plans, begin, batch_size);
        test.send_batch(route.path);
        check_views(route, test.views, test.plans, test.arrivals);
    }
}

// Sends a request for each plan to a daemon that relays it to another one, which reaches
// the endpoints.
void check_cuts_behind_peer(const cut_route& route, const std::vector<cut_plan>& plans)
{
    cut_fixture front;
    cut_fixture peer;
    const network_address peer_address = free_address();
    peer.callers.listen(peer_address, peer_roles());
    peer.renew_endpoints(route.service);
    peer.later_answer = later_answer_of(route);
    peer.plans = batch_from(plans, 0, plans.size());
    leave_only_peer(front, peer_address);
    std::atomic<bool> stops{false};
    const auto is_stopped = [&]
    {
        peer.flow.dispatch_waiting();
        return stops.load();
    };
    std::thread peer_thread([&] { peer.context.loop.run(is_stopped); });
    std::vector<std::map<std::string, caller_view>> views;
    for (std::size_t begin = 0; begin < plans.size(); begin += batch_size)
    {
        front.plans = batch_from(plans, begin, batch_size);
        front.send_batch(route.path);
        views.push_back(std::move(front.views));
    }
    stops = true;
    peer_thread.join();
    for (const auto& batch : views)
        check_views(route, batch, peer.plans, peer.arrivals);
}

whole_answer refusal_of_a_peer()
{
    return {503, answer_framing::length, "full", "",
            "X-Verdict: not_run\r\nRetry-After: 1.5\r\n"};
}

} // namespace

BOOST_AUTO_TEST_SUITE(cut_answers)

// Guards against an answer that an endpoint cut and that looks whole to the caller
// (MIXED, ORDER), in its head or in its body, by an orderly close.
BOOST_AUTO_TEST_CASE(an_answer_that_is_closed_at_any_byte_does_not_look_whole)
{
    check_all_answers(cut_end::close, false, false);
}

// As above, with a reset of the connection after two writes.
BOOST_AUTO_TEST_CASE(an_answer_that_is_reset_at_any_byte_does_not_look_whole)
{
    check_all_answers(cut_end::reset, true, false);
}

// As above, with an endpoint that falls silent and closes later.
BOOST_AUTO_TEST_CASE(an_answer_that_stops_and_is_closed_later_does_not_look_whole)
{
    check_all_answers(cut_end::silence_then_close, true, false);
}

// As above, on a connection that has brought a whole answer before.
BOOST_AUTO_TEST_CASE(an_answer_that_is_cut_on_a_kept_connection_does_not_look_whole)
{
    check_all_answers(cut_end::close, true, true);
}

// Guards against a cut answer of a peer that looks whole to the caller of a daemon that
// relays requests, and against a cut refusal that promises that nothing ran.
BOOST_AUTO_TEST_CASE(an_answer_that_a_peer_cuts_does_not_look_whole)
{
    for (const cut_route& route : routes())
    {
        std::vector<answer_case> answers = answers_of(route);
        std::erase_if(answers,
                      [](const answer_case& row) { return is_refusal(row.answer); });
        answers.push_back({"refusal of a peer", refusal_of_a_peer()});
        for (const answer_case& row : answers)
            BOOST_TEST_CONTEXT(route.path << ", " << row.case_name)
            {
                check_cuts_of_peer(route, all_cuts(row.answer, cut_end::close, false));
                check_cuts_of_peer(route, all_cuts(row.answer, cut_end::reset, true));
            }
    }
}

// Guards against an answer that an endpoint cut and that two daemons on the way make look
// whole. Refusals are left out, because the requests of a batch share the endpoints, and
// one that refuses gets no other request for a moment.
BOOST_AUTO_TEST_CASE(an_answer_that_is_cut_behind_a_peer_does_not_look_whole)
{
    for (const cut_route& route : routes())
        for (const answer_case& row : answers_of(route))
        {
            if (is_refusal(row.answer))
                continue;
            BOOST_TEST_CONTEXT(route.path << ", " << row.case_name)
            {
                check_cuts_behind_peer(route,
                                       all_cuts(row.answer, cut_end::close, false));
            }
        }
}

// Guards against late bytes of an earlier answer that become part of the next one on
// their connection (MIXED): its status, its fields or its body.
BOOST_AUTO_TEST_CASE(late_bytes_of_an_earlier_answer_do_not_change_the_next_one)
{
    const std::string earlier_id = "X-Pollenhaven-Request-Id: earlier\r\n";
    for (const cut_route& route : routes())
        for (const std::string& fields :
             {earlier_id + signature_field, signature_field + earlier_id})
            for (const int status : {200, 404, 500})
            {
                const std::string earlier =
                    bytes_of({200, answer_framing::length, "late", "", fields});
                const whole_answer answer{status, answer_framing::length,
                                          route.is_stream ? event_a + event_b : "fine"};
                std::vector<cut_plan> plans;
                for (std::size_t cut = 0; cut <= earlier.size(); ++cut)
                    plans.push_back({answer, earlier.substr(0, cut) + bytes_of(answer),
                                     false, cut > 0, 0, cut_end::silence_then_close});
                BOOST_TEST_CONTEXT(route.path << ", " << status << ", " << fields)
                {
                    check_cuts(route, plans, true);
                }
            }
}

BOOST_AUTO_TEST_SUITE_END()
