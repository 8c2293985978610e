#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/http_client.hpp"
#include "servers/gateway/http_reader.hpp"
#include "tests/harness/process.hpp"

#include <boost/test/unit_test.hpp>
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
    read_fault fault = read_fault::none;
};

// Reads bytes that arrive in pieces of the given size.
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
    result.fault = reader.fault();
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_wire)

BOOST_AUTO_TEST_CASE(requests_are_read_whatever_their_framing)
{
    struct framing
    {
        const char* bytes;
        read_state state;
        const char* body;
        read_fault fault;
    };
    const std::string long_head =
        "GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n";
    for (const framing& row :
         {framing{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", read_state::complete, "",
                  read_fault::none},
          framing{"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", read_state::complete,
                  "abc", read_fault::none},
          framing{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc"
                  "\r\n0\r\n\r\n",
                  read_state::complete, "abc", read_fault::none},
          framing{"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n"
                  "\r\n0\r\n\r\n",
                  read_state::malformed, "", read_fault::bad_message},
          framing{"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
                  read_state::malformed, "", read_fault::bad_message},
          framing{"POST / HTTP/1.1\r\nContent-Length: 400\r\n\r\n", read_state::malformed,
                  "", read_fault::body_too_large},
          framing{long_head.c_str(), read_state::malformed, "",
                  read_fault::head_too_large},
          framing{"NOT HTTP\r\n\r\n", read_state::malformed, "", read_fault::bad_message},
          framing{"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", read_state::partial,
                  "ab", read_fault::none}})
    {
        for (const std::size_t piece : {1UL, 7UL, 1000UL})
        {
            const read_result result =
                read_in_pieces(http_reader::message_kind::request, row.bytes, piece);
            BOOST_TEST((result.state == row.state), row.bytes << " by " << piece);
            BOOST_TEST(result.body == row.body, row.bytes << " by " << piece);
            BOOST_TEST((result.fault == row.fault), row.bytes << " by " << piece);
        }
    }
}

BOOST_AUTO_TEST_CASE(bytes_behind_an_answer_are_left)
{
    const read_result result = read_in_pieces(
        http_reader::message_kind::response,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500", 1000);
    BOOST_TEST((result.state == read_state::complete));
    BOOST_TEST(result.rest == "HTTP/1.1 500");
}

BOOST_AUTO_TEST_CASE(an_answer_without_length_ends_with_its_connection_only)
{
    http_reader reader(http_reader::message_kind::response, limits);
    std::string input = "HTTP/1.1 200 OK\r\n\r\npart";
    BOOST_TEST((reader.read(input) == read_state::partial));
    BOOST_TEST(!reader.has_length());
    BOOST_TEST((reader.finish() == read_state::complete));
    http_reader cut(http_reader::message_kind::response, limits);
    input = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
    BOOST_TEST((cut.read(input) == read_state::partial));
    BOOST_TEST((cut.finish() == read_state::malformed));
}

BOOST_AUTO_TEST_CASE(peer_messages_survive_the_wire)
{
    heartbeat_message beat;
    beat.sender = {"daemon-1"};
    beat.incarnation = {"start"};
    beat.ready = true;
    beat.store_silence = milliseconds(1234);
    beat.use[{"i-1"}] = {3, 2400, {{{"base/a1"}, 2}}, {{{"base/a2"}, 5}}};
    const fleet_message back = decode(encode(beat));
    const auto& read = std::get<heartbeat_message>(back);
    BOOST_TEST(read.sender.value == "daemon-1");
    BOOST_TEST(read.store_silence.count() == 1234);
    BOOST_TEST(read.use.at({"i-1"}).pending_prefill_tokens == 2400);
    BOOST_TEST(read.use.at({"i-1"}).started_by_adapter.at({"base/a2"}) == 5);

    inventory_message holds;
    holds.sender = {"daemon-1"};
    holds.endpoint = {"i-1"};
    holds.token = 7;
    holds.sequence = 8;
    holds.adapters = {{{{"base/a1"}, {2}}, milliseconds(90)}};
    const fleet_message held = decode(encode(holds));
    BOOST_TEST(std::get<inventory_message>(held).adapters[0].ready_in.count() == 90);

    load_request_message load;
    load.sender = {"daemon-1"};
    load.endpoint = {"i-1"};
    load.adapter = {"base/a1"};
    load.version = adapter_version{4};
    const fleet_message asked = decode(encode(load));
    BOOST_TEST(std::get<load_request_message>(asked).version->value == 4U);

    const fleet_message used =
        decode(encode(endpoint_load_message{{"daemon-1"}, {{{"i-1"}, {3, 2400}}}}));
    BOOST_TEST(
        std::get<endpoint_load_message>(used).counts.at({"i-1"}).pending_prefill_tokens ==
        2400);

    const fleet_message suspects =
        decode(encode(suspects_message{{"daemon-1"}, {{"print", 2}}}));
    BOOST_TEST(std::get<suspects_message>(suspects).crashes.at("print") == 2);

    const fleet_message question =
        decode(encode(sync_request_message{{"daemon-1"}, {"127.0.0.1:1"}, "op/", {7}}));
    BOOST_TEST(std::get<sync_request_message>(question).reply_to.value == "127.0.0.1:1");
    BOOST_TEST(std::get<sync_request_message>(question).after.value == 7U);

    sync_chunk_message piece;
    piece.sender = {"daemon-1"};
    piece.key = "op/config";
    piece.revision = {8};
    piece.value_bytes = 9;
    piece.offset = 4;
    piece.bytes = std::string("\xff\x00\x80", 3);
    piece.item_count = 2;
    piece.position = {11};
    const fleet_message told = decode(encode(piece));
    const auto& relayed = std::get<sync_chunk_message>(told);
    BOOST_TEST(relayed.bytes == piece.bytes);
    BOOST_TEST(relayed.offset == 4U);
    BOOST_TEST(relayed.position.value == 11U);
}

BOOST_AUTO_TEST_CASE(malformed_peer_messages_are_refused)
{
    for (const std::string& wrong :
         {std::string(), std::string("text"), std::string("\x80"),
          std::string("\x81\xa4kind\xa4"), std::string(3000, '\xff')})
        BOOST_CHECK_THROW(decode(wrong), std::runtime_error);
}

RC_BOOST_PROP(spoiled_peer_messages_never_do_more_than_throw, ())
{
    inventory_message holds;
    holds.sender = {"daemon-1"};
    holds.endpoint = {"i-1"};
    holds.adapters = {{{{"base/a1"}, {2}}, milliseconds(90)}};
    std::string bytes = encode(holds);
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

// Accepts connections and answers each with fixed bytes.
struct scripted_server
{
    event_loop& loop;
    network_address address{"127.0.0.1:" + std::to_string(harness::free_port())};
    std::vector<std::string> answers;
    int requests = 0;
    int connections = 0;

    explicit scripted_server(event_loop& carried) : loop(carried)
    {
        loop.listen(address,
                    [this](stream_id id)
                    {
                        ++connections;
                        stream_handlers handlers;
                        handlers.readable = [this](stream_id from) { answer(from); };
                        loop.set_handlers(id, std::move(handlers));
                    });
    }

    void answer(stream_id from)
    {
        loop.input(from).clear();
        const std::size_t index = static_cast<std::size_t>(requests++);
        const std::string& bytes = answers.at(std::min(index, answers.size() - 1));
        if (bytes == "close")
            return loop.close(from);
        loop.send(from, bytes);
    }
};

const std::string get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string fine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

BOOST_AUTO_TEST_CASE(calls_share_a_connection_until_an_answer_is_unclean)
{
    struct channel_case
    {
        std::vector<std::string> answers;
        std::vector<bool> answered;
        int connections;
    };
    for (const channel_case& row :
         {channel_case{{fine, fine}, {true, true}, 1},
          channel_case{{fine + "extra", fine}, {true, true}, 2},
          channel_case{{"close", fine}, {false, true}, 2},
          channel_case{{"nonsense\r\n\r\n", fine}, {false, true}, 2},
          channel_case{
              {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", fine}, {false, true}, 2},
          channel_case{
              {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n"
               "ok",
               fine},
              {true, true},
              2}})
    {
        event_loop loop;
        scripted_server server(loop);
        server.answers = row.answers;
        http_client channel(loop, server.address);
        std::vector<bool> answered;
        for (int call = 0; call < 2; ++call)
            channel.call(get, milliseconds(150),
                         [&](const http_result& result)
                         { answered.push_back(result.answered); });
        const instant until = boot_clock::now() + seconds(2);
        loop.run([&] { return answered.size() == 2 || boot_clock::now() > until; });
        BOOST_TEST(answered == row.answered, boost::test_tools::per_element());
        BOOST_TEST(server.connections == row.connections);
    }
}

BOOST_AUTO_TEST_CASE(a_connection_to_a_malformed_address_fails_as_others_do)
{
    for (const bool dropped : {false, true})
    {
        event_loop loop;
        int ended = 0;
        stream_handlers handlers;
        handlers.ended = [&](stream_id, stream_end) { ++ended; };
        const stream_id id = loop.connect({"nowhere"}, std::move(handlers));
        loop.send(id, "bytes");
        BOOST_TEST(ended == 0);
        if (dropped)
            loop.reset(id);
        const instant until = boot_clock::now() + milliseconds(20);
        loop.schedule(until, [] {});
        loop.run([&] { return boot_clock::now() > until; });
        BOOST_TEST(ended == (dropped ? 0 : 1));
    }
}

BOOST_AUTO_TEST_CASE(a_call_that_reaches_nobody_is_known_as_not_sent)
{
    event_loop loop;
    http_client channel(loop, {"127.0.0.1:" + std::to_string(harness::free_port())});
    std::optional<http_result> result;
    channel.call(get, milliseconds(500),
                 [&](const http_result& ended) { result = ended; });
    const instant until = boot_clock::now() + seconds(2);
    loop.run([&] { return result.has_value() || boot_clock::now() > until; });
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(!result->answered);
    BOOST_TEST(result->not_sent);
}

BOOST_AUTO_TEST_SUITE_END()
