#ifndef POLLENHAVEN_TESTS_HARNESS_HTTP_HPP
#define POLLENHAVEN_TESTS_HARNESS_HTTP_HPP

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace pollenhaven::harness
{

// The host name of all routes in the tests' configuration.
inline constexpr const char* fleet_host = "fleet.test";

struct http_response
{
    // 0 if no complete response was received.
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers;

    // The body as JSON; a discarded value if it is not valid JSON.
    nlohmann::json parsed() const { return nlohmann::json::parse(body, nullptr, false); }
    // The verdict of an error, or "completed" for a JSON object without an error. Empty
    // if the body has neither.
    std::string verdict() const;
    // Empty if the body has no error.
    std::string error_code() const;
};

http_response get(const std::string& address, const std::string& path);
http_response post(const std::string& address, const std::string& path,
                   const std::string& body,
                   const std::map<std::string, std::string>& headers = {},
                   int timeout_s = 60);
// Sets faults of a stand-in. Throws std::runtime_error if it does not accept the change.
void control_standin(const std::string& address, const nlohmann::json& change);
// Reads the counters of a stand-in.
nlohmann::json standin_counts(const std::string& address);

// The result of a streamed chat completion.
struct stream_response
{
    int status = 0;
    std::string text;
    // The error code of an unsuccessful response; empty if there is none.
    std::string error;
    // The final [DONE] was received.
    bool done = false;
    // Times in seconds since the request was sent.
    double first_token_s = 0;
    double total_s = 0;
};
stream_response stream_chat(const std::string& address, const std::string& model,
                            const std::string& prompt, int tokens);

// The result of a stream of server-sent events with numbers as ids.
struct event_stream
{
    int status = 0;
    // The error code of an unsuccessful response; empty if there is none.
    std::string error;
    // The data of the complete events, by id.
    std::map<int, std::string> events;
    // The response came to its end, rather than being broken off.
    bool is_complete = false;
};
event_stream read_event_stream(const std::string& address, const std::string& path,
                               const std::string& body,
                               const std::map<std::string, std::string>& headers);

std::string chat_body(const std::string& model, const std::string& prompt, int tokens,
                      bool stream = false);
// The text that the engine stand-in generates for a prompt.
std::string expected_text(const std::string& model, const std::string& prompt,
                          int tokens);

} // namespace pollenhaven::harness

#endif
