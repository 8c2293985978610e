// What daemons owe one another: messages survive the way, malformed ones are refused.

#include "servers/document_parser.hpp"
#include "servers/peer_messages.hpp"
#include "servers/request_parser.hpp"
#include "tests/policy/property.hpp"

#include <boost/test/data/test_case.hpp>

using namespace pollenhaven;

namespace
{

template <class Decode>
void expect_refused_or_read(const std::string& data, Decode decode)
{
    try
    {
        decode(data);
    }
    catch (const message_error&)
    {
        return; // Refused, which is all that is asked.
    }
}

struct bad_body
{
    const char* name;
    const char* body;
    const char* code;
};

std::ostream& operator<<(std::ostream& out, const bad_body& row)
{
    return out << row.name;
}

const std::vector<bad_body> bad_bodies = {
    {"not JSON", "{", "invalid_request"},
    {"a list", "[]", "invalid_request"},
    {"no messages", R"({"model":"a@v1"})", "invalid_request"},
    {"message without role", R"({"model":"a@v1","messages":[{"content":"x"}]})",
     "invalid_request"},
    {"model is a number", R"({"model":1,"messages":[{"role":"user","content":"x"}]})",
     "invalid_request"},
    {"stream is a string",
     R"({"model":"a@v1","stream":"yes","messages":[{"role":"user","content":"x"}]})",
     "invalid_request"},
    {"too many tokens",
     R"({"model":"a@v1","max_tokens":1000000,"messages":[{"role":"user","content":"x"}]})",
     "invalid_request"},
    {"unknown version", R"({"model":"a@v2","messages":[{"role":"user","content":"x"}]})",
     "unknown_model"}};

operating_document one_adapter()
{
    operating_document document;
    document.adapters[{"a@v1"}] = {{"a@v1"}, {"suva"}, work_class::interactive};
    return document;
}

} // namespace

BOOST_AUTO_TEST_SUITE(messages)

BOOST_AUTO_TEST_CASE(a_request_survives_the_way)
{
    check_property("round trip",
                   []
                   {
                       execute_request sent;
                       sent.id = {*rc::gen::arbitrary<std::string>()};
                       sent.body = *rc::gen::arbitrary<std::string>();
                       sent.model = {*rc::gen::arbitrary<std::string>()};
                       sent.tokens = {*rc::gen::arbitrary<std::uint32_t>()};
                       sent.idempotent = *rc::gen::arbitrary<bool>();
                       sent.resume = *rc::gen::arbitrary<bool>();
                       sent.crashes = *rc::gen::inRange(0, 5);
                       const execute_request read = decode_execute_request(encode(sent));
                       RC_ASSERT(read.id == sent.id);
                       RC_ASSERT(read.body == sent.body);
                       RC_ASSERT(read.model == sent.model);
                       RC_ASSERT(read.tokens == sent.tokens);
                       RC_ASSERT(read.idempotent == sent.idempotent);
                       RC_ASSERT(read.resume == sent.resume);
                       RC_ASSERT(read.crashes == sent.crashes);
                   });
}

// Truncated, altered and random bytes never do anything but be read or refused.
BOOST_AUTO_TEST_CASE(malformed_messages_are_refused)
{
    check_property("malformed",
                   []
                   {
                       gossip_message message;
                       message.from = {"daemon"};
                       message.has_endpoints = true;
                       message.endpoints.push_back({{"e"}, true, {{{"suva"}, 3}}});
                       std::string data = encode(message);
                       const int kind = *rc::gen::inRange(0, 3);
                       if (kind == 0)
                           data.resize(*rc::gen::inRange<std::size_t>(0, data.size()));
                       if (kind == 1)
                           data[*rc::gen::inRange<std::size_t>(0, data.size())] =
                               *rc::gen::arbitrary<char>();
                       if (kind == 2)
                           data = *rc::gen::arbitrary<std::string>();
                       expect_refused_or_read(data, decode_gossip_message);
                       expect_refused_or_read(data, decode_execute_request);
                       expect_refused_or_read(data, decode_execute_event);
                       expect_refused_or_read(data, decode_gossip_answer);
                   });
}

BOOST_AUTO_TEST_CASE(another_protocol_version_is_refused)
{
    std::string data = encode(permit_message{"id", work_class::interactive});
    const std::size_t version = data.find("\xa1v") + 2;
    BOOST_TEST(data[version] == static_cast<char>(peer_protocol_version));
    data[version] = static_cast<char>(peer_protocol_version + 1);
    BOOST_CHECK_THROW(decode_permit_message(data), message_error);
}

BOOST_DATA_TEST_CASE(a_bad_body_is_refused_as_not_run,
                     boost::unit_test::data::make(bad_bodies), row)
{
    BOOST_CHECK_EXCEPTION(parse_chat_completion(row.body, one_adapter()), request_error,
                          [&](const request_error& error) {
                              return error.reason().code == row.code &&
                                     error.reason().run == verdict::not_run;
                          });
}

BOOST_AUTO_TEST_SUITE_END()
