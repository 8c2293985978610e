#include "main/control/commands.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <iostream>

namespace pollenhaven::control
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds connect_timeout{1000};
constexpr int status_ok = 200;

exit_code exit_code_for(const std::string& verdict_name)
{
    return verdict_name == "not_run" ? exit_code::not_run : exit_code::may_have_run;
}

[[noreturn]] void throw_request_error(const std::string& body)
{
    const json response = json::parse(body, nullptr, false);
    if (!response.is_object() || !response.contains("error"))
        throw command_error(exit_code::failure,
                            "unexpected response from the daemon: " + body);
    const json& error = response["error"];
    throw command_error(exit_code_for(error.value("verdict", "")),
                        error.value("code", "") + ": " + error.value("message", ""));
}

// Prints the text of each server-sent event as it arrives. Throws command_error for an
// event with an error.
class stream_printer
{
public:
    // Returns true, so that the HTTP client continues to receive.
    bool accept(const char* data, std::size_t length)
    {
        buffer_.append(data, length);
        std::size_t end = 0;
        while ((end = buffer_.find("\n\n")) != std::string::npos)
        {
            print(buffer_.substr(0, end));
            buffer_.erase(0, end + 2);
        }
        return true;
    }
    const std::string& unparsed_bytes() const { return buffer_; }

private:
    static void print(const std::string& event)
    {
        static const std::string prefix = "data: ";
        const std::size_t at = event.find(prefix);
        if (at == std::string::npos)
            return;
        const json chunk = json::parse(event.substr(at + prefix.size()), nullptr, false);
        if (!chunk.is_object())
            return;
        if (chunk.contains("error"))
            throw_request_error(chunk.dump());
        const json& choice = chunk["choices"].front();
        std::cout << choice.value("delta", json::object()).value("content", "")
                  << std::flush;
    }

    std::string buffer_;
};

// The Host header field selects the route.
httplib::Headers request_headers(const control_options& options)
{
    httplib::Headers headers;
    if (!options.host.empty())
        headers.emplace("Host", options.host);
    return headers;
}

void print_stream(httplib::Client& client, const control_options& options,
                  const json& body)
{
    stream_printer printer;
    int status = 0;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = request_headers(options);
    request.headers.emplace("Content-Type", "application/json");
    request.body = body.dump();
    request.response_handler = [&](const httplib::Response& response)
    {
        status = response.status;
        return true;
    };
    request.content_receiver =
        [&](const char* data, std::size_t length, std::uint64_t, std::uint64_t)
    { return printer.accept(data, length); };
    const httplib::Result result = client.send(request);
    if (status != 0 && status != status_ok)
        throw_request_error(printer.unparsed_bytes());
    if (!result)
        throw command_error(
            exit_code::may_have_run,
            "the connection failed or timed out before the end of the stream");
    std::cout << '\n';
}

} // namespace

void run_request(const control_options& options)
{
    if (options.model.empty())
        throw command_error(exit_code::bad_input,
                            "request needs --model base/adapter[@version]");
    const json entry =
        json::parse(fetch_from_daemon(required_daemon_address(options), "/v1/entry"));
    const std::string address = entry["address"].is_string()
                                    ? entry["address"].get<std::string>()
                                    : options.daemon;
    httplib::Client client("http://" + address);
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(std::chrono::seconds(options.timeout_s));
    const json body = {{"model", options.model},
                       {"stream", options.stream},
                       {"max_tokens", options.max_tokens},
                       {"messages", {{{"role", "user"}, {"content", options.prompt}}}}};
    if (options.stream)
    {
        print_stream(client, options, body);
        return;
    }
    const httplib::Result result =
        client.Post("/v1/chat/completions", request_headers(options), body.dump(),
                    "application/json");
    if (!result)
        throw command_error(exit_code::may_have_run,
                            "no response from " + address +
                                ": the connection failed or timed out");
    if (result->status != status_ok)
        throw_request_error(result->body);
    const json response = json::parse(result->body);
    std::cout
        << (options.json
                ? result->body
                : response["choices"].front()["message"]["content"].get<std::string>())
        << '\n';
}

} // namespace pollenhaven::control
