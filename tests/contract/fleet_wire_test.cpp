#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/http_client.hpp"
#include "servers/gateway/http_reader.hpp"
#include "tests/harness/process.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

using namespace pollenhaven;

namespace
{

const message_limits limits{200, 100};

struct read_result
{
    read_state state = read_state::partial;
    std::string body;
    std::string rest;
    read_error error = read_error::none;
};

// Feeds bytes to a reader in pieces of the given size.
read_result read_in_pieces(http_reader::message_kind kind, const std::string& bytes,
                           std::size_t piece)
{
    http_reader reader(kind, limits);
    std::string input;
    read_result result;
    std::size_t at = 0;
    while (at < bytes.size() && result.state == read_state::partial)
    {
        input += bytes.substr(at, piece);
        at += piece;
        result.state = reader.read(input);
    }
    result.body = reader.body;
    result.rest = input;
    result.error = reader.error();
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_wire)

BOOST_AUTO_TEST_CASE(requests_with_any_framing_are_parsed_or_rejected)
{
    struct framing
    {
        const char* bytes;
        read_state state;
        const char* body;
        read_error error;
    };
    const std::string long_head =
        "GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n";
    for (const framing& row :
         {framing{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", read_state::complete, "",
                  read_error::none},
          framing{"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", read_state::complete,
                  "abc", read_error::none},
          framing{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc"
                  "\r\n0\r\n\r\n",
                  read_state::complete, "abc", read_error::none},
          framing{"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n"
                  "\r\n0\r\n\r\n",
                  read_state::malformed, "", read_error::bad_message},
          framing{"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
                  read_state::malformed, "", read_error::bad_message},
          framing{"POST / HTTP/1.1\r\nContent-Length: 400\r\n\r\n", read_state::malformed,
                  "", read_error::body_too_large},
          framing{long_head.c_str(), read_state::malformed, "",
                  read_error::head_too_large},
          framing{"NOT HTTP\r\n\r\n", read_state::malformed, "", read_error::bad_message},
          framing{"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", read_state::partial,
                  "ab", read_error::none}})
    {
        for (const std::size_t piece : {1UL, 7UL, 1000UL})
        {
            const read_result result =
                read_in_pieces(http_reader::message_kind::request, row.bytes, piece);
            BOOST_TEST((result.state == row.state),
                       row.bytes << " in pieces of " << piece);
            BOOST_TEST(result.body == row.body, row.bytes << " in pieces of " << piece);
            BOOST_TEST((result.error == row.error),
                       row.bytes << " in pieces of " << piece);
        }
    }
}

BOOST_AUTO_TEST_CASE(bytes_after_a_response_stay_in_the_input)
{
    const read_result result = read_in_pieces(
        http_reader::message_kind::response,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500", 1000);
    BOOST_TEST((result.state == read_state::complete));
    BOOST_TEST(result.rest == "HTTP/1.1 500");
}

BOOST_AUTO_TEST_CASE(
    only_a_response_without_length_is_completed_by_the_end_of_its_connection)
{
    http_reader reader(http_reader::message_kind::response, limits);
    std::string input = "HTTP/1.1 200 OK\r\n\r\npart";
    BOOST_TEST((reader.read(input) == read_state::partial));
    BOOST_TEST(!reader.has_length());
    BOOST_TEST((reader.finish() == read_state::complete));
    http_reader truncated_reader(http_reader::message_kind::response, limits);
    input = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
    BOOST_TEST((truncated_reader.read(input) == read_state::partial));
    BOOST_TEST((truncated_reader.finish() == read_state::malformed));
}

// Guards against daemons of two releases that don't read each other's heartbeats during
// an upgrade: the earlier one doesn't state software versions and ignores fields that it
// doesn't know.
BOOST_AUTO_TEST_CASE(a_heartbeat_without_software_versions_is_that_of_an_earlier_release)
{
    heartbeat_message heartbeat;
    heartbeat.sender = {"daemon-1"};
    heartbeat.store_silence = milliseconds(1234);
    heartbeat.software_versions = {{{"assistant"}, {{"v1"}}}};
    nlohmann::json body = nlohmann::json::from_msgpack(encode(heartbeat));
    const nlohmann::json added = body.at("software");
    body.erase("software");
    // The fields of the release before, all of which it needs.
    for (const char* const field : {"format", "kind", "from", "start", "ready", "leaving",
                                    "silence", "use", "loads", "store"})
        BOOST_TEST(body.contains(field), field);
    // It leaves the loads as they are that it knows otherwise.
    BOOST_TEST(body.at("partial") == true);
    BOOST_TEST(body.size() == 11U);
    std::string earlier;
    nlohmann::json::to_msgpack(body, earlier);
    const fleet_message decoded = decode(earlier);
    BOOST_TEST(!std::get<heartbeat_message>(decoded).software_versions);
    BOOST_TEST(std::get<heartbeat_message>(decoded).store_silence.count() == 1234);
    const nlohmann::json expected{{"assistant", {"v1"}}};
    BOOST_TEST((added == expected));
}

BOOST_AUTO_TEST_CASE(decoding_an_encoded_peer_message_restores_its_fields)
{
    heartbeat_message heartbeat;
    heartbeat.sender = {"daemon-1"};
    heartbeat.incarnation = {"start"};
    heartbeat.ready = true;
    heartbeat.cut_off = true;
    heartbeat.store_silence = milliseconds(1234);
    heartbeat.is_regular = false;
    heartbeat.load_observations = {{70, milliseconds(310), true}};
    heartbeat.operator_change = {{2}, {42}};
    heartbeat.software_versions = {{{"assistant"}, {{"v1"}, {"v2"}}}};
    const fleet_message decoded = decode(encode(heartbeat));
    const auto& decoded_heartbeat = std::get<heartbeat_message>(decoded);
    BOOST_TEST(decoded_heartbeat.sender.value == "daemon-1");
    BOOST_TEST((decoded_heartbeat.operator_change == heartbeat.operator_change));
    BOOST_TEST(decoded_heartbeat.store_silence.count() == 1234);
    BOOST_TEST(decoded_heartbeat.cut_off);
    BOOST_TEST((decoded_heartbeat.software_versions == heartbeat.software_versions));
    BOOST_TEST(!decoded_heartbeat.is_regular);
    BOOST_REQUIRE(decoded_heartbeat.load_observations.size() == 1U);
    BOOST_TEST(decoded_heartbeat.load_observations[0].concurrent_loads == 70);
    BOOST_TEST(decoded_heartbeat.load_observations[0].complete);

    inventory_message inventory;
    inventory.sender = {"daemon-1"};
    inventory.endpoint = {"i-1"};
    inventory.token = 7;
    inventory.sequence = 8;
    inventory.adapters = {{{{"base/a1"}, {2}}, milliseconds(90), milliseconds(30), 5},
                          {{{"base/a2"}, {1}}}};
    const fleet_message decoded_inventory = decode(encode(inventory));
    const std::vector<reported_adapter>& adapters =
        std::get<inventory_message>(decoded_inventory).adapters;
    BOOST_TEST(adapters.at(0).ready_in.count() == 90);
    BOOST_TEST(adapters.at(0).loading_for.count() == 30);
    BOOST_TEST(adapters.at(0).concurrent_loads == 5);
    BOOST_TEST(adapters.at(1).concurrent_loads == 0);

    load_request_message load;
    load.sender = {"daemon-1"};
    load.endpoint = {"i-1"};
    load.adapter = {"base/a1"};
    load.version = adapter_version{4};
    const fleet_message decoded_request = decode(encode(load));
    BOOST_TEST(std::get<load_request_message>(decoded_request).version->value == 4U);

    const fleet_message decoded_copies = decode(
        encode(stream_copies_message{{"daemon-1"}, {"run"}, {{{"s1"}, {"v2"}, {7}}}}));
    const auto& copies = std::get<stream_copies_message>(decoded_copies);
    BOOST_TEST(copies.incarnation.value == "run");
    BOOST_REQUIRE(copies.copies.size() == 1U);
    BOOST_TEST(copies.copies.at(0).stream.value == "s1");
    BOOST_TEST(copies.copies.at(0).version.value == "v2");
    BOOST_TEST(copies.copies.at(0).number.value == 7U);
    const fleet_message decoded_receipt =
        decode(encode(stream_copies_receipt{{"daemon-1"}, {{{"s1"}, {7}}}}));
    const auto& receipt = std::get<stream_copies_receipt>(decoded_receipt);
    BOOST_TEST(receipt.streams.at(0).first.value == "s1");
    BOOST_TEST(receipt.streams.at(0).second.value == 7U);
    const fleet_message decoded_stream =
        decode(encode(stream_question_message{{"daemon-1"}, {"s1"}}));
    BOOST_TEST(std::get<stream_question_message>(decoded_stream).stream.value == "s1");
    stream_statement statement;
    statement.own = software_version{"v1"};
    statement.copy = stream_copy{{"daemon-2"}, {"run"}, {7}, {"v2"}};
    statement.uptime = milliseconds(1234);
    const fleet_message decoded_statement =
        decode(encode(stream_statement_message{{"daemon-1"}, {"s1"}, statement}));
    const auto& described = std::get<stream_statement_message>(decoded_statement);
    BOOST_TEST(described.stream.value == "s1");
    BOOST_TEST(described.statement.own->value == "v1");
    BOOST_TEST(described.statement.copy->writer.value == "daemon-2");
    BOOST_TEST(described.statement.copy->incarnation.value == "run");
    BOOST_TEST(described.statement.copy->number.value == 7U);
    BOOST_TEST(described.statement.copy->version.value == "v2");
    BOOST_TEST(described.statement.uptime.count() == 1234);

    quota_question_message question;
    question.customer = {"c"};
    question.quota.rate = 500;
    question.question = {{1ULL << 60U}, 1114, 2228.5, 30};
    const fleet_message decoded_question = decode(encode(question));
    const auto& asked = std::get<quota_question_message>(decoded_question);
    BOOST_TEST(asked.customer.value == "c");
    BOOST_TEST(asked.quota.rate == 500);
    BOOST_TEST(asked.question.number.value == 1ULL << 60U);
    BOOST_TEST(asked.question.needed == 1114);
    BOOST_TEST(asked.question.wanted == 2228.5);
    BOOST_TEST(asked.question.returned == 30);
    const fleet_message decoded_answer =
        decode(encode(quota_answer_message{{"d"}, {"c"}, {{5}, 7.5, milliseconds(80)}}));
    const auto& answered = std::get<quota_answer_message>(decoded_answer);
    BOOST_TEST(answered.answer.granted == 7.5);
    BOOST_TEST(answered.answer.retry_in.count() == 80);

    endpoint_load_message report;
    report.loads[{"i-1"}] = {3, 2400, {{{"base/a1"}, 2}}, {{{"base/a2"}, 5}}};
    report.questions[{"i-1"}] = {{7}, true};
    const fleet_message decoded_message = decode(encode(report));
    const auto& decoded_report = std::get<endpoint_load_message>(decoded_message);
    BOOST_TEST(decoded_report.loads.at({"i-1"}).pending_prefill_tokens == 2400);
    BOOST_TEST(decoded_report.loads.at({"i-1"}).in_flight_by_adapter.at({"base/a1"}) ==
               2);
    BOOST_TEST(decoded_report.loads.at({"i-1"}).started_by_adapter.at({"base/a2"}) == 5);
    BOOST_TEST(decoded_report.questions.at({"i-1"}).number.value == 7U);
    BOOST_TEST(decoded_report.questions.at({"i-1"}).is_waiting);

    stated_load_message stated;
    stated.loads[{"i-1"}] = {{7}, 4, 1200, {{{"base/a1"}, 3}}};
    const fleet_message decoded_stated = decode(encode(stated));
    const stated_load& stated_load_at_engine =
        std::get<stated_load_message>(decoded_stated).loads.at({"i-1"});
    BOOST_TEST(stated_load_at_engine.number.value == 7U);
    BOOST_TEST(stated_load_at_engine.in_flight == 4);
    BOOST_TEST(stated_load_at_engine.pending_prefill_tokens == 1200);
    BOOST_TEST(stated_load_at_engine.in_flight_by_adapter.at({"base/a1"}) == 3);

    store_changes_message changes;
    changes.watches.push_back({"op/",
                               {{1}, {4}},
                               {{1}, {9}},
                               {{"op/a", std::string("\0\xff", 2), {8}, false, {1}}}});
    const fleet_message decoded_changes = decode(encode(changes));
    const watch_news& news =
        std::get<store_changes_message>(decoded_changes).watches.at(0);
    BOOST_TEST(news.prefix == "op/");
    BOOST_TEST((news.after == store_position{{1}, {4}}));
    BOOST_TEST((news.position == store_position{{1}, {9}}));
    BOOST_TEST(news.items.at(0).value == std::string("\0\xff", 2));
    BOOST_TEST((position_of(news.items.at(0)) == store_position{{1}, {8}}));

    const fleet_message decoded_suspects = decode(encode(
        suspects_message{{"daemon-1"}, {{"print", 2}}, {{"print", {{{"i-1"}, 7}}}}}));
    BOOST_TEST(std::get<suspects_message>(decoded_suspects).crashes.at("print") == 2);
    const std::vector<endpoint_crash> named =
        std::get<suspects_message>(decoded_suspects).named_crashes.at("print");
    BOOST_TEST(named.at(0).endpoint.value == "i-1");
    BOOST_TEST(named.at(0).started_ms == 7U);

    const fleet_message decoded_parts =
        decode(encode(prompt_parts_message{{"daemon-1"},
                                           {{{"i-1"}, {{{"part"}, 2}}}},
                                           {{"answered"}},
                                           {{{"blocked"}, {1, milliseconds(50)}}}}));
    const auto& parts = std::get<prompt_parts_message>(decoded_parts);
    BOOST_TEST(parts.crashes.at({"i-1"}).at({"part"}) == 2);
    BOOST_TEST(parts.answered.front().value == "answered");
    BOOST_TEST(parts.blocked.at({"blocked"}).trials == 1);
    BOOST_TEST(parts.blocked.at({"blocked"}).next_trial_in.count() == 50);

    const fleet_message decoded_sync_request = decode(
        encode(sync_request_message{{"daemon-1"}, {"127.0.0.1:1"}, "op/", {{2}, {7}}}));
    BOOST_TEST(std::get<sync_request_message>(decoded_sync_request).reply_to.value ==
               "127.0.0.1:1");
    BOOST_TEST((std::get<sync_request_message>(decoded_sync_request).after ==
                store_position{{2}, {7}}));

    sync_chunk_message chunk;
    chunk.sender = {"daemon-1"};
    chunk.key = "op/config";
    chunk.position = {{2}, {8}};
    chunk.value_bytes = 9;
    chunk.offset = 4;
    chunk.bytes = std::string("\xff\x00\x80", 3);
    chunk.item_count = 2;
    chunk.response_position = {{3}, {11}};
    const fleet_message decoded_chunk = decode(encode(chunk));
    const auto& received_chunk = std::get<sync_chunk_message>(decoded_chunk);
    BOOST_TEST(received_chunk.bytes == chunk.bytes);
    BOOST_TEST(received_chunk.offset == 4U);
    BOOST_TEST((received_chunk.position == chunk.position));
    BOOST_TEST((received_chunk.response_position == chunk.response_position));
}

BOOST_AUTO_TEST_CASE(decoding_a_malformed_peer_message_throws)
{
    for (const std::string& malformed :
         {std::string(), std::string("text"), std::string("\x80"),
          std::string("\x81\xa4kind\xa4"), std::string(3000, '\xff')})
        BOOST_CHECK_THROW(decode(malformed), std::runtime_error);
}

RC_BOOST_PROP(decoding_a_corrupted_peer_message_succeeds_or_throws_runtime_error, ())
{
    inventory_message inventory;
    inventory.sender = {"daemon-1"};
    inventory.endpoint = {"i-1"};
    inventory.adapters = {{{{"base/a1"}, {2}}, milliseconds(90)}};
    std::string bytes = encode(inventory);
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    try
    {
        decode(bytes);
    }
    catch (const std::runtime_error&)
    {
    }
}

namespace
{

// A server that answers each request with the next one of its responses, and repeats the
// last one. For the response "close" it closes the connection instead.
struct scripted_server
{
    event_loop& loop;
    network_address address{"127.0.0.1:" + std::to_string(harness::free_port())};
    std::vector<std::string> responses;
    int requests = 0;
    int connections = 0;

    explicit scripted_server(event_loop& shared_loop) : loop(shared_loop)
    {
        loop.listen(address,
                    [this](stream_id id)
                    {
                        ++connections;
                        stream_handlers handlers;
                        handlers.readable = [this](stream_id from) { respond(from); };
                        loop.set_handlers(id, std::move(handlers));
                    });
    }

    void respond(stream_id from)
    {
        loop.input(from).clear();
        const std::size_t index = static_cast<std::size_t>(requests++);
        const std::string& bytes = responses.at(std::min(index, responses.size() - 1));
        if (bytes == "close")
            return loop.close(from);
        loop.send(from, bytes);
    }
};

const std::string get_request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string ok_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

BOOST_AUTO_TEST_CASE(calls_reuse_a_connection_only_after_a_clean_response)
{
    struct connection_case
    {
        std::vector<std::string> responses;
        std::vector<bool> answered;
        int connections;
    };
    for (const connection_case& row :
         {connection_case{{ok_response, ok_response}, {true, true}, 1},
          connection_case{{ok_response + "extra", ok_response}, {true, true}, 2},
          connection_case{{"close", ok_response}, {false, true}, 2},
          connection_case{{"nonsense\r\n\r\n", ok_response}, {false, true}, 2},
          connection_case{{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", ok_response},
                          {false, true},
                          2},
          connection_case{
              {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n"
               "ok",
               ok_response},
              {true, true},
              2}})
    {
        event_loop loop;
        scripted_server server(loop);
        server.responses = row.responses;
        http_client client(loop, server.address);
        std::vector<bool> answered;
        for (int call = 0; call < 2; ++call)
            client.call(get_request, milliseconds(150),
                        [&](const http_result& result)
                        { answered.push_back(result.has_response); });
        const instant deadline = boot_clock::now() + seconds(2);
        loop.run([&] { return answered.size() == 2 || boot_clock::now() > deadline; });
        BOOST_TEST(answered == row.answered, boost::test_tools::per_element());
        BOOST_TEST(server.connections == row.connections);
    }
}

BOOST_AUTO_TEST_CASE(a_connection_to_a_malformed_address_fails_asynchronously)
{
    for (const bool reset_first : {false, true})
    {
        event_loop loop;
        int ended = 0;
        stream_handlers handlers;
        handlers.ended = [&](stream_id, stream_end) { ++ended; };
        const stream_id id = loop.connect({"nowhere"}, std::move(handlers));
        loop.send(id, "bytes");
        BOOST_TEST(ended == 0);
        if (reset_first)
            loop.reset(id);
        const instant deadline = boot_clock::now() + milliseconds(20);
        loop.schedule(deadline, [] {});
        loop.run([&] { return boot_clock::now() > deadline; });
        BOOST_TEST(ended == (reset_first ? 0 : 1));
    }
}

BOOST_AUTO_TEST_CASE(a_call_to_an_address_without_a_listener_is_reported_as_not_sent)
{
    event_loop loop;
    http_client client(loop, {"127.0.0.1:" + std::to_string(harness::free_port())});
    std::optional<http_result> result;
    client.call(get_request, milliseconds(500),
                [&](const http_result& ended) { result = ended; });
    const instant deadline = boot_clock::now() + seconds(2);
    loop.run([&] { return result.has_value() || boot_clock::now() > deadline; });
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(!result->has_response);
    BOOST_TEST(result->not_sent);
}

BOOST_AUTO_TEST_SUITE_END()
