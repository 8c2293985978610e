#include "core/interfaces/platform_dialect.hpp"
#include "core/plugin_registry.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace pollenhaven;

namespace
{

platform_dialect dialect()
{
    return plugin_registry<platform_dialect>::instance().make("fleet", "");
}

http_head request_head()
{
    http_head head;
    head.method = "POST";
    head.target = "/path/1?query=2";
    head.fields = {{"Host", "host.example:80"},
                   {"X-Pollenhaven-Request-Id", "id-1"},
                   {"X-Pollenhaven-Model", "base/a7"},
                   {"X-Pollenhaven-Token-Count", "1460,80"},
                   {"X-Pollenhaven-Deadline-Ms", "15000"},
                   {"Connection", "keep-alive, X-Hop"},
                   {"X-Hop", "1"},
                   {"Transfer-Encoding", "chunked"},
                   {"X-Other", "kept"}};
    return head;
}

bool has_line(const std::string& head, const std::string& line)
{
    return head.find("\r\n" + line + "\r\n") != std::string::npos;
}

store_item entry(const std::string& value)
{
    return {"servers/i-1", value, {3}, false};
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_dialect)

BOOST_AUTO_TEST_CASE(a_request_is_parsed)
{
    const caller_request request = dialect().read_request(request_head());
    BOOST_TEST(request.id.value == "id-1");
    BOOST_TEST(request.host == "host.example");
    BOOST_TEST(request.model.value == "base");
    BOOST_TEST(request.adapter.value == "base/a7");
    BOOST_TEST(request.prompt_tokens == 1460);
    BOOST_TEST(request.output_tokens == 80);
    BOOST_TEST(request.deadline->count() == 15000);
}

// Guards against a quota that is read in another unit, or customers that are left out.
BOOST_AUTO_TEST_CASE(the_customers_of_a_configuration_are_read)
{
    BOOST_TEST(!dialect().read_routing(R"({"version":1})").customers.has_value());
    const routing_table table = dialect().read_routing(
        R"({"version":1,"tenants":[{"name":"a","apiKeys":["k1","k2"],"priority":1,)"
        R"("unit":"token_stream","plainTokens":200,"ratePerS":500,"burst":700},)"
        R"({"name":"b","apiKeys":[]}],"routes":[{"name":"r","host":"h","kind":"streaming",)"
        R"("pathPrefix":"/p/","service":"s","public":true}]})");
    BOOST_REQUIRE(table.customers.has_value());
    const customer_record* const customer = find_customer(*table.customers, "k2");
    BOOST_REQUIRE(customer != nullptr);
    BOOST_TEST(customer->priority == 1);
    BOOST_TEST((customer->quota == customer_quota{500, 700, quota_unit::tokens, 200}));
    BOOST_TEST(!table.customers->customers.at({"b"}).quota.has_value());
    BOOST_TEST(find_customer(*table.customers, "k3") == nullptr);
    BOOST_TEST(table.routes.front().is_public);
    for (const char* invalid :
         {R"({"version":1,"tenants":[{"name":"","apiKeys":[]}]})",
          R"({"version":1,"tenants":[{"name":"a b"}]})", R"({"version":1,"tenants":{}})",
          R"({"version":1,"tenants":[{"name":"a","ratePerS":-1}]})",
          R"({"version":1,"tenants":[{"name":"a","apiKeys":[1]}]})"})
        BOOST_CHECK_THROW(dialect().read_routing(invalid), dialect_error);
}

BOOST_AUTO_TEST_CASE(a_stated_request_limit_is_read_and_a_malformed_one_is_reported)
{
    const auto read = [](const std::vector<std::string>& limits)
    {
        http_head head;
        head.status = 200;
        for (const std::string& limit : limits)
            head.fields.push_back({"Server-Limit", limit});
        return dialect().read_response(head);
    };
    BOOST_TEST(!read({}).request_limit.has_value());
    BOOST_TEST(read({"2.5"}).request_limit->per_second == 2.5);
    BOOST_TEST(read({"0"}).request_limit->per_second == 0);
    BOOST_TEST(read({"99999999999"}).request_limit->per_second == 99999999999.0);
    BOOST_TEST(read({"4", "2.5"}).request_limit->per_second == 2.5);
    for (const std::string malformed :
         {"", "-1", "-0", "2.5 per second", "1e9", "nan", "inf"})
    {
        BOOST_TEST(!read({malformed}).request_limit.has_value(), malformed);
        BOOST_TEST(read({malformed}).has_malformed_limit, malformed);
    }
    BOOST_TEST(read({"4", "x"}).request_limit->per_second == 4);
}

// The last part is the request's own, so a request with one part shares none.
BOOST_AUTO_TEST_CASE(the_parts_of_a_prompt_that_requests_share_are_read)
{
    const std::vector<std::pair<std::string, std::string>> rows{
        {"5c1e:800,91bd:410,e440:250", "5c1e 91bd "},
        {"5c1e:800,e440:250", "5c1e "},
        {"e440:250", ""},
        {"", ""},
        {",:5,x", "  "}};
    for (const auto& [field, expected] : rows)
    {
        http_head head = request_head();
        head.fields.push_back({"X-Pollenhaven-Prefix-Hash", field});
        std::string ids;
        for (const prompt_part_id& part :
             dialect().read_request(head).shared_prompt_parts)
            ids += part.value + " ";
        BOOST_TEST(ids == expected, field);
    }
}

// Guards against a caller whose header takes a multiple of its length in memory.
BOOST_AUTO_TEST_CASE(the_parts_of_a_prompt_are_bounded)
{
    http_head head = request_head();
    std::string field;
    for (int part = 0; part < 5000; ++part)
        field += "a,";
    head.fields.push_back({"X-Pollenhaven-Prefix-Hash", field});
    BOOST_TEST(dialect().read_request(head).shared_prompt_parts.size() <= 64U);
}

BOOST_AUTO_TEST_CASE(a_deadline_that_is_not_an_unsigned_integer_is_rejected)
{
    for (const char* const malformed : {"soon", "-1", "1.5", "10 ", "0x10"})
    {
        http_head head = request_head();
        head.fields[4].value = malformed;
        BOOST_CHECK_THROW(dialect().read_request(head), dialect_error);
    }
}

BOOST_AUTO_TEST_CASE(a_forwarded_request_keeps_caller_fields_and_replaces_reserved_ones)
{
    http_head head = request_head();
    for (const char* const reserved_field :
         {"X-Pollenhaven-Hold", "X-Pollenhaven-Pin-Ms", "X-Pollenhaven-Kv-Backup",
          "Kv-From", "Kv-Fetch", "X-Pollenhaven-Expected-Instance",
          "x-pollenhaven-request-priority", "X-Pollenhaven-Expected-Version"})
        head.fields.push_back({reserved_field, "smuggled"});
    forwarding_fields fields;
    fields.endpoint = {"i-1"};
    fields.deadline = milliseconds(900);
    fields.version = adapter_version{4};
    const std::string bytes = dialect().write_forwarded_request(head, 12, fields);
    BOOST_TEST(bytes.starts_with("POST /path/1?query=2 HTTP/1.1\r\n"));
    BOOST_TEST(has_line(bytes, "X-Other: kept"));
    BOOST_TEST(has_line(bytes, "X-Pollenhaven-Request-Id: id-1"));
    BOOST_TEST(has_line(bytes, "X-Pollenhaven-Deadline-Ms: 900"));
    BOOST_TEST(has_line(bytes, "X-Pollenhaven-Expected-Instance: i-1"));
    BOOST_TEST(has_line(bytes, "X-Pollenhaven-Expected-Version: 4"));
    BOOST_TEST(has_line(bytes, "Content-Length: 12"));
    BOOST_TEST(bytes.find("smuggled") == std::string::npos);
    BOOST_TEST(bytes.find("15000") == std::string::npos);
    BOOST_TEST(bytes.find("X-Hop") == std::string::npos);
    BOOST_TEST(bytes.find("chunked") == std::string::npos);
}

// Callers of the OpenAI-compatible interface state in the body what callers of the
// platform's interface state in header fields, so the daemon writes these fields for the
// engine.
BOOST_AUTO_TEST_CASE(a_request_of_the_openai_interface_is_forwarded_with_platform_fields)
{
    http_head head;
    head.method = "POST";
    head.target = "/v1/chat/completions";
    head.fields = {{"X-Pollenhaven-Model", "base/forged"},
                   {"X-Pollenhaven-Request-Id", "forged"}};
    forwarding_fields fields;
    caller_request described;
    described.id = {"id-1"};
    described.model = {"base"};
    described.adapter = {"base/a1"};
    described.prompt_tokens = 30;
    described.output_tokens = 7;
    fields.description = described;
    const std::string bytes = dialect().write_forwarded_request(head, 2, fields);
    BOOST_TEST(bytes.find("X-Pollenhaven-Request-Id: id-1\r\n") != std::string::npos);
    BOOST_TEST(bytes.find("X-Pollenhaven-Model: base/a1\r\n") != std::string::npos);
    BOOST_TEST(bytes.find("X-Pollenhaven-Token-Count: 30,7\r\n") != std::string::npos);
    BOOST_TEST(bytes.find("forged") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_sends_one_last_event_id)
{
    http_head head = request_head();
    head.fields.push_back({"Last-Event-Id", "3"});
    forwarding_fields fields;
    fields.last_event_id = "9";
    const std::string bytes = dialect().write_forwarded_request(head, 0, fields);
    BOOST_TEST(has_line(bytes, "Last-Event-Id: 9"));
    BOOST_TEST(bytes.find("Last-Event-Id: 3") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(response_heads_are_parsed)
{
    struct response_case
    {
        int status;
        const char* field;
        const char* value;
        bool not_run;
    };
    for (const response_case& row :
         {response_case{503, "X-Pollenhaven-Not-Executed", "1", true},
          response_case{421, "X-Other", "", true},
          response_case{503, "X-Other", "", false},
          response_case{500, "X-Other", "", false},
          response_case{200, "X-Other", "", false}})
    {
        http_head head;
        head.status = row.status;
        head.fields = {{row.field, row.value}};
        BOOST_TEST(dialect().read_response(head).not_run == row.not_run);
    }
    http_head head;
    head.status = 200;
    head.fields = {{"X-Pollenhaven-Server-Load", "3,1,8"},
                   {"Keep-Alive", "timeout=7, max=100"},
                   {"X-Pollenhaven-Server-Signature", "s"},
                   {"X-Pollenhaven-Instance-Id", "i-2"}};
    const endpoint_response response = dialect().read_response(head);
    BOOST_TEST(*response.running == 3);
    BOOST_TEST(*response.waiting == 1);
    BOOST_TEST(response.idle_timeout->count() == 7000);
    BOOST_TEST(response.has_signature);
    BOOST_TEST(response.endpoint.value == "i-2");
}

BOOST_AUTO_TEST_CASE(malformed_endpoint_entries_are_rejected)
{
    for (const char* const malformed :
         {"", "not json", "[]", "{}", R"({"service":1,"addr":"a:1","state":"ready"})",
          R"({"service":"s","state":"ready"})", R"({"service":"s","addr":"a:1"})",
          R"({"service":"s","addr":"a:1","state":"dancing"})",
          R"({"service":"s","addr":"a:1","state":"ready","slots":"many"})",
          R"({"service":"s","addr":"a:1","state":"ready","born":1.5})",
          R"({"service":"s","addr":"a:1","state":"ready","models":{}})"})
        BOOST_CHECK_THROW(dialect().read_endpoint(entry(malformed)), dialect_error);
}

BOOST_AUTO_TEST_CASE(an_endpoint_entry_is_parsed_with_its_adapters)
{
    const endpoint_record record = dialect().read_endpoint(entry(
        R"({"service":"s","addr":"10.0.0.1:80","zone":"z","slots":64,"state":"draining",
            "remainingMs":1500,"born":1700000000000,"seq":4,"unknown":{},
            "models":[{"name":"base","version":1,"adapters":["a3@1","a9@12"]}]})"));
    BOOST_TEST(record.id.value == "i-1");
    BOOST_TEST(record.draining);
    BOOST_TEST(record.remaining->count() == 1500);
    BOOST_TEST(record.started_ms == 1700000000000U);
    BOOST_TEST(record.inventory.accepted_orders == 4U);
    BOOST_REQUIRE(record.inventory.adapters.size() == 2U);
    BOOST_TEST(record.inventory.adapters[1].adapter.value == "base/a9");
    BOOST_TEST(record.inventory.adapters[1].version.value == 12U);
}

BOOST_AUTO_TEST_CASE(a_report_lists_loads_in_progress)
{
    const engine_inventory report = dialect().read_report(
        R"({"models":[{"name":"base","version":1,"adapters":[]}],"seq":2,
            "running":12,"waiting":1,"pending":["base/a3@2"]})");
    BOOST_REQUIRE(report.loading.size() == 1U);
    BOOST_TEST(report.loading[0].adapter.value == "base/a3");
    BOOST_TEST(report.loading[0].version.value == 2U);
    BOOST_TEST(report.running == 12);
}

BOOST_AUTO_TEST_CASE(orders_carry_precondition_fencing_token_and_expected_instance)
{
    engine_order order;
    order.model = {"base"};
    order.adapter = {"base/a3"};
    order.version = adapter_version{2};
    order.expected_orders = 7;
    order.endpoint = {"i-1"};
    order.holder = {"daemon"};
    order.fencing_token = 41;
    const std::string bytes = dialect().order_call(order).bytes;
    const nlohmann::json body =
        nlohmann::json::parse(bytes.substr(bytes.find("\r\n\r\n") + 4));
    BOOST_TEST(body["op"] == "load");
    BOOST_TEST(body["adapter"] == "a3");
    BOOST_TEST(body["precondition"] == 7);
    BOOST_TEST(body["fencingToken"] == 41);
    BOOST_TEST(has_line(bytes, "X-Pollenhaven-Expected-Instance: i-1"));
}

BOOST_AUTO_TEST_CASE(store_values_are_restored_from_base64)
{
    for (const std::string& value : {std::string(), std::string("a"), std::string("ab"),
                                     std::string("abc"), std::string("\0\xff\n", 3)})
    {
        store_transaction change;
        change.writes.push_back({"key", value, 0});
        const std::string bytes = dialect().transaction_call(change).bytes;
        const nlohmann::json body =
            nlohmann::json::parse(bytes.substr(bytes.find("\r\n\r\n") + 4));
        const nlohmann::json page{
            {"items",
             {{{"key", "key"}, {"revision", 3}, {"value", body["puts"][0]["value"]}}}},
            {"currentRev", 9}};
        const store_page read = dialect().read_page(page.dump());
        BOOST_REQUIRE(read.items.size() == 1U);
        BOOST_TEST(read.items[0].value == value);
        BOOST_TEST(read.current.value == 9U);
    }
}

// An odd item of a page is no fault of the page: see one_odd_item_of_a_page.
BOOST_AUTO_TEST_CASE(malformed_store_responses_are_rejected)
{
    for (const char* const malformed :
         {"", "{}", R"({"items":[],"currentRev":-1})",
          R"({"items":[],"currentRev":1e300})",
          R"({"items":[],"currentRev":1,"morePages":true})",
          R"({"items":{},"currentRev":1})", R"({"items":[]})"})
        BOOST_CHECK_THROW(dialect().read_page(malformed), dialect_error);
}

BOOST_AUTO_TEST_CASE(a_configuration_is_parsed_and_routes_by_longest_prefix)
{
    const routing_table table = dialect().read_routing(
        R"({"version":7,"routes":[
            {"name":"short","host":"h","pathPrefix":"/a/","kind":"idempotent","service":"s",
             "timeoutMs":2000,"maxAttempts":2,"priority":2},
            {"name":"long","host":"h","pathPrefix":"/a/b/","kind":"streaming",
             "split":[{"service":"s","weight":90},{"service":"t","weight":10}],
             "resumable":true}],
            "services":[{"name":"s","maxConns":110},
             {"name":"t","engine":{"slots":64,"adapterSlots":30,"weightsMb":68000,
              "models":[{"name":"base","weightsMb":65500,"adapterMb":40}]}}],
            "limits":{"maxHeaderBytes":1000,"idleTimeoutMs":9000}})");
    BOOST_TEST(table.version.value == 7U);
    BOOST_TEST(match_route(table, "h", "/a/x")->name == "short");
    BOOST_TEST(match_route(table, "h", "/a/b/x")->name == "long");
    BOOST_TEST((match_route(table, "h", "/c") == nullptr));
    BOOST_TEST((match_route(table, "other", "/a/x") == nullptr));
    BOOST_TEST(table.services.at({"t"}).engine->adapter_slots == 30);
    BOOST_TEST(table.limits.header_bytes == 1000U);
    int picks_of_s = 0;
    for (std::uint64_t draw = 0; draw < 1000; ++draw)
        picks_of_s += pick_service(table.routes[1], draw * 104729).value == "s" ? 1 : 0;
    BOOST_TEST(picks_of_s > 850);
    BOOST_TEST(picks_of_s < 950);
}

BOOST_AUTO_TEST_CASE(a_malformed_configuration_is_rejected)
{
    for (const char* const malformed :
         {"", "{}", R"({"version":-1})", R"({"version":1,"routes":[{"host":"h"}]})",
          R"({"version":1,"routes":[{"host":"h","pathPrefix":"/","kind":"odd",
              "service":"s"}]})"})
        BOOST_CHECK_THROW(dialect().read_routing(malformed), dialect_error);
}

BOOST_AUTO_TEST_SUITE_END()
