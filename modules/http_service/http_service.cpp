#include "modules/http_service/http_service.hpp"

#include <httplib.h>

namespace pollenhaven
{

namespace
{

constexpr milliseconds connect_timeout{500};
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

// A worker that asks to come back later (503 with Retry-After) or refuses an old fencing
// number (409) has carried nothing out. A bare 503 promises nothing.
bool is_refusal(const httplib::Response& response)
{
    const bool come_back =
        response.status == status_unavailable && response.has_header("Retry-After");
    return come_back || response.status == status_conflict;
}

verdict verdict_of(const httplib::Response& response)
{
    if (is_refusal(response))
        return verdict::not_run;
    return response.status >= 500 ? verdict::may_have_run : verdict::completed;
}

service_answer call_worker(const std::string& address, const service_call& call)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(call.timeout);
    const httplib::Headers headers = {
        {"X-Request-Id", call.id.value},
        {"Idempotency-Key", call.key.value},
        {"X-Fencing-Number", std::to_string(call.fencing.value)},
        {"traceparent", call.trace_parent}};
    const httplib::Result result =
        client.Post(call.path, headers, call.body, "application/json");
    service_answer answer;
    if (!result)
    {
        const bool never_sent = result.error() == httplib::Error::Connection ||
                                result.error() == httplib::Error::ConnectionTimeout;
        answer.run = never_sent ? verdict::not_run : verdict::may_have_run;
        answer.error = {answer.run, status_unavailable, "service_unreachable",
                        "worker " + address + ": " + httplib::to_string(result.error()),
                        std::nullopt};
        return answer;
    }
    answer.status = result->status;
    answer.body = result->body;
    answer.run = verdict_of(*result);
    if (answer.run != verdict::completed)
        answer.error = {answer.run, status_unavailable, "service_refused",
                        "worker " + address + " answered status " +
                            std::to_string(result->status),
                        std::nullopt};
    return answer;
}

} // namespace

service_client make_http_service(const std::string& address)
{
    service_client service;
    service.call = [address](const service_call& call)
    { return call_worker(address, call); };
    return service;
}

} // namespace pollenhaven
