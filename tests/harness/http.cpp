#include "tests/harness/http.hpp"

#include <httplib.h>

#include <chrono>
#include <csignal>
#include <functional>

namespace pollenhaven::harness
{

namespace
{

using nlohmann::json;
using steady = std::chrono::steady_clock;

double seconds_since(steady::time_point start)
{
    return std::chrono::duration<double>(steady::now() - start).count();
}

http_response to_response(const httplib::Result& result)
{
    http_response response;
    if (!result)
        return response;
    response.status = result->status;
    response.body = result->body;
    for (const auto& [name, value] : result->headers)
        response.headers[name] = value;
    return response;
}

void read_events(std::string& received, stream_response& streamed,
                 steady::time_point start)
{
    std::size_t end = 0;
    while ((end = received.find("\n\n")) != std::string::npos)
    {
        const std::string event = received.substr(0, end);
        received.erase(0, end + 2);
        const std::string data = event.substr(event.find("data: ") + 6);
        if (data == "[DONE]")
        {
            streamed.done = true;
            continue;
        }
        const json chunk = json::parse(data, nullptr, false);
        if (streamed.text.empty())
            streamed.first_token_s = seconds_since(start);
        streamed.text += chunk["choices"][0]["delta"].value("content", "");
    }
}

// Sends a request and passes the body of its response on as it arrives, after `status`
// has been set. Returns false if the response is broken off.
bool receive_stream(const std::string& address, httplib::Request request, int& status,
                    const std::function<void(const char*, std::size_t)>& received)
{
    std::signal(SIGPIPE, SIG_IGN);
    httplib::Client client("http://" + address);
    client.set_connection_timeout(std::chrono::seconds(2));
    client.set_read_timeout(std::chrono::seconds(60));
    request.response_handler = [&](const httplib::Response& response)
    {
        status = response.status;
        return true;
    };
    request.content_receiver =
        [&](const char* data, std::size_t length, std::uint64_t, std::uint64_t)
    {
        received(data, length);
        return true;
    };
    return static_cast<bool>(client.send(request));
}

} // namespace

std::string http_response::verdict() const
{
    const json object = parsed();
    if (!object.is_object())
        return "";
    return object.contains("error") ? object["error"].value("verdict", "") : "completed";
}

std::string http_response::error_code() const
{
    const json object = parsed();
    if (!object.is_object() || !object.contains("error"))
        return "";
    return object["error"].value("code", "");
}

http_response get(const std::string& address, const std::string& path)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(std::chrono::seconds(2));
    client.set_read_timeout(std::chrono::seconds(10));
    return to_response(client.Get(path));
}

http_response post(const std::string& address, const std::string& path,
                   const std::string& body,
                   const std::map<std::string, std::string>& headers, int timeout_s)
{
    // The library writes to connections that the daemon may have closed, which would end
    // the test with SIGPIPE.
    std::signal(SIGPIPE, SIG_IGN);
    httplib::Client client("http://" + address);
    client.set_connection_timeout(std::chrono::seconds(2));
    client.set_read_timeout(std::chrono::seconds(timeout_s));
    const httplib::Headers header_fields(headers.begin(), headers.end());
    return to_response(client.Post(path, header_fields, body, "application/json"));
}

void control_standin(const std::string& address, const json& change)
{
    if (post(address, "/control", change.dump()).status != 200)
        throw std::runtime_error("stand-in " + address + " did not accept " +
                                 change.dump());
}

json standin_counts(const std::string& address)
{
    return get(address, "/counts").parsed();
}

stream_response stream_chat(const std::string& address, const std::string& model,
                            const std::string& prompt, int tokens)
{
    const auto start = steady::now();
    stream_response streamed;
    std::string received;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"Content-Type", "application/json"}, {"Host", fleet_host}};
    request.body = chat_body(model, prompt, tokens, true);
    receive_stream(address, request, streamed.status,
                   [&](const char* data, std::size_t length)
                   {
                       received.append(data, length);
                       if (streamed.status == 200)
                           read_events(received, streamed, start);
                   });
    streamed.total_s = seconds_since(start);
    if (streamed.status == 200)
        return streamed;
    const json body = json::parse(received, nullptr, false);
    if (body.is_object() && body.contains("error"))
        streamed.error = body["error"].value("code", "");
    return streamed;
}

event_stream read_event_stream(const std::string& address, const std::string& path,
                               const std::string& body,
                               const std::map<std::string, std::string>& headers)
{
    event_stream streamed;
    std::string received;
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.headers = httplib::Headers(headers.begin(), headers.end());
    request.body = body;
    streamed.is_complete = receive_stream(address, request, streamed.status,
                                          [&](const char* data, std::size_t length)
                                          { received.append(data, length); });
    if (streamed.status != 200)
    {
        streamed.error = http_response{streamed.status, received, {}}.error_code();
        return streamed;
    }
    std::size_t end = 0;
    while ((end = received.find("\n\n")) != std::string::npos)
    {
        const std::string event = received.substr(0, end);
        received.erase(0, end + 2);
        streamed.events[std::stoi(event.substr(event.find("id: ") + 4))] =
            event.substr(event.find("data: ") + 6);
    }
    return streamed;
}

std::string chat_body(const std::string& model, const std::string& prompt, int tokens,
                      bool stream)
{
    return json{{"model", model},
                {"stream", stream},
                {"max_tokens", tokens},
                {"messages", {{{"role", "user"}, {"content", prompt}}}}}
        .dump();
}

std::string expected_text(const std::string& model, const std::string& prompt, int tokens)
{
    std::string text;
    for (int i = 0; i < tokens; ++i)
        text += " " + model + "/" + prompt.substr(0, 24) + "/" + std::to_string(i);
    return text;
}

} // namespace pollenhaven::harness
