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

exit_code code_of(const std::string& verdict_name)
{
    return verdict_name == "not_run" ? exit_code::not_run : exit_code::may_have_run;
}

[[noreturn]] void fail_request(const std::string& body)
{
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("error"))
        throw command_error(exit_code::failure, "the daemon answered: " + body);
    const json& error = answer["error"];
    throw command_error(code_of(error.value("verdict", "")),
                        error.value("code", "") + ": " + error.value("message", ""));
}

// Prints the text of each event of a stream as it arrives.
class stream_printer
{
public:
    bool accept(const char* data, std::size_t length)
    {
        received_.append(data, length);
        std::size_t end = 0;
        while ((end = received_.find("\n\n")) != std::string::npos)
        {
            print(received_.substr(0, end));
            received_.erase(0, end + 2);
        }
        return true;
    }
    const std::string& rest() const { return received_; }

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
            fail_request(chunk.dump());
        const json& choice = chunk["choices"].front();
        std::cout << choice.value("delta", json::object()).value("content", "")
                  << std::flush;
    }

    std::string received_;
};

// Routes are chosen by host.
httplib::Headers headers_of(const control_options& given)
{
    httplib::Headers headers;
    if (!given.host.empty())
        headers.emplace("Host", given.host);
    return headers;
}

void follow_stream(httplib::Client& client, const control_options& given,
                   const json& body)
{
    stream_printer printer;
    int status = 0;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = headers_of(given);
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
        fail_request(printer.rest());
    if (!result)
        throw command_error(exit_code::may_have_run, "the stream was lost");
    std::cout << '\n';
}

} // namespace

void run_request(const control_options& given)
{
    if (given.model.empty())
        throw command_error(exit_code::bad_input,
                            "request needs --model base/adapter[@version]");
    const json entry =
        json::parse(fetch_from_daemon(required_daemon_address(given), "/v1/entry"));
    const std::string address =
        entry["address"].is_string() ? entry["address"].get<std::string>() : given.daemon;
    httplib::Client client("http://" + address);
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(std::chrono::seconds(given.timeout_s));
    const json body = {{"model", given.model},
                       {"stream", given.stream},
                       {"max_tokens", given.max_tokens},
                       {"messages", {{{"role", "user"}, {"content", given.prompt}}}}};
    if (given.stream)
    {
        follow_stream(client, given, body);
        return;
    }
    const httplib::Result result = client.Post("/v1/chat/completions", headers_of(given),
                                               body.dump(), "application/json");
    if (!result)
        throw command_error(exit_code::may_have_run,
                            "no answer from " + address + " within the timeout");
    if (result->status != status_ok)
        fail_request(result->body);
    const json answer = json::parse(result->body);
    std::cout
        << (given.json
                ? result->body
                : answer["choices"].front()["message"]["content"].get<std::string>())
        << '\n';
}

} // namespace pollenhaven::control
