#include "servers/caller_server.hpp"

#include "core/log.hpp"
#include "servers/request_parser.hpp"
#include "servers/socket.hpp"
#include "servers/status_report.hpp"

#include <httplib.h>
#include <sys/socket.h>

#include <functional>
#include <utility>

namespace pollenhaven
{

namespace
{

const char* const json_type = "application/json";
constexpr int status_bad_gateway = 502;
constexpr int status_payload_too_large = 413;
constexpr int status_unavailable = 503;
constexpr milliseconds leaving_retry_after{100};
constexpr long milliseconds_per_second = 1000;

void send_failure(httplib::Response& response, const failure& reason,
                  const request_id& id)
{
    response.status = reason.http_status;
    if (reason.retry_after)
    {
        const long rounded_up =
            (reason.retry_after->count() + milliseconds_per_second - 1) /
            milliseconds_per_second;
        response.set_header("Retry-After", std::to_string(rounded_up));
    }
    response.set_header("X-Request-Id", id.value);
    response.set_header("X-Verdict", to_string(reason.run));
    response.set_content(error_body(reason, id), json_type);
}

// Counts a request as in progress for as long as it lives.
class progress_count
{
public:
    explicit progress_count(std::atomic<int>& count) : count_(count) { ++count_; }
    ~progress_count() { --count_; }
    progress_count(const progress_count&) = delete;
    progress_count& operator=(const progress_count&) = delete;

private:
    std::atomic<int>& count_;
};

// A streamed answer between its events.
struct open_stream
{
    open_stream(entry_router& router, const execute_request& request,
                std::atomic<int>& count)
        : progress(count), call(router, request)
    {
    }

    progress_count progress;
    entry_call call;
    execute_event event;
    request_id id;
    model_ref model;
    bool chat = true;
    instant started{};
};

bool write_text(httplib::DataSink& sink, const std::string& text)
{
    return sink.write(text.data(), text.size());
}

// Sends one event of a stream and waits for the next.
bool pass_on(open_stream& stream, httplib::DataSink& sink)
{
    const execute_event& event = stream.event;
    if (!event.final)
    {
        const std::string chunk =
            chunk_body(stream.id, stream.model, event.text, "", stream.chat);
        if (!write_text(sink, "data: " + chunk + "\n\n"))
            return false;
        stream.event = stream.call.next();
        return true;
    }
    if (event.run != verdict::completed)
    {
        write_text(sink, "data: " + error_body(event.error, stream.id) + "\n\n");
        return false;
    }
    const std::string last =
        chunk_body(stream.id, stream.model, "", event.finish_reason, stream.chat);
    if (!write_text(sink, "data: " + last + "\n\ndata: [DONE]\n\n"))
        return false;
    sink.done();
    return true;
}

} // namespace

// The handlers of all paths. Each runs on a thread of the HTTP library's pool.
class caller_server::routes
{
public:
    routes(daemon_context& context, entry_router& router, std::atomic<int>& in_progress,
           std::atomic<bool>& refusing)
        : context_(context), router_(router), in_progress_(in_progress),
          refusing_(refusing)
    {
        const int threads = context.settings.caller_threads;
        server_.new_task_queue = [threads]
        { return new httplib::ThreadPool(static_cast<std::size_t>(threads)); };
        server_.set_tcp_nodelay(true);
        server_.set_payload_max_length(context.settings.max_body_bytes);
        // The library would share the port between processes; ours must not be shared.
        server_.set_socket_options(
            [](socket_t number)
            {
                const int on = 1;
                setsockopt(number, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
            });
        install_work();
        install_reports();
        install_errors();
        const host_and_port address = split_address(context.settings.caller_address);
        if (!server_.bind_to_port(address.host.c_str(), address.port))
            throw std::runtime_error("can't listen on " +
                                     context.settings.caller_address.value);
    }

    void serve() { server_.listen_after_bind(); }
    void stop() { server_.stop(); }

private:
    using handler = std::function<void(const httplib::Request&, httplib::Response&)>;

    void install_work()
    {
        server_.Post("/v1/chat/completions",
                     guarded([this](const auto& request, auto& response)
                             { complete(request, response, true); }));
        server_.Post("/v1/completions",
                     guarded([this](const auto& request, auto& response)
                             { complete(request, response, false); }));
        server_.Post(R"(/v1/services/([^/]+)(/.*)?)",
                     guarded([this](const auto& request, auto& response)
                             { call_service(request, response); }));
    }

    void install_reports()
    {
        server_.Get("/v1/entry",
                    [this](const auto&, auto& response) {
                        response.set_content(entry_report(context_, turn_++), json_type);
                    });
        install_report("/v1/status", [this] { return status_report(context_); });
        install_report("/v1/endpoints", [this] { return endpoints_report(context_); });
        install_report("/v1/adapters", [this] { return adapters_report(context_); });
        install_report("/v1/shares", [this] { return shares_report(context_); });
        server_.Get("/v1/explain",
                    [this](const auto& request, auto& response)
                    {
                        const std::string id = request.get_param_value("id");
                        response.set_content(explain_report(context_, id), json_type);
                    });
        server_.Get("/metrics",
                    [this](const auto&, auto& response)
                    {
                        response.set_content(context_.metrics.prometheus_text(),
                                             "text/plain; version=0.0.4");
                    });
    }

    void install_report(const char* path, const std::function<std::string()>& report)
    {
        server_.Get(path, [report](const auto&, auto& response)
                    { response.set_content(report(), json_type); });
    }

    void install_errors()
    {
        server_.set_error_handler(
            [](const httplib::Request& request, httplib::Response& response)
            {
                if (!response.body.empty())
                    return;
                failure reason{verdict::not_run, response.status, "not_found",
                               "there is no " + request.method + " " + request.path,
                               std::nullopt};
                if (response.status == status_payload_too_large)
                {
                    reason.code = "body_too_large";
                    reason.message = "the body is larger than this system accepts";
                }
                send_failure(response, reason, {});
            });
    }

    // Refuses work while stopping and turns errors into answers.
    handler guarded(const handler& handle)
    {
        return
            [this, handle](const httplib::Request& request, httplib::Response& response)
        {
            try
            {
                if (is_leaving())
                    throw request_error(
                        {verdict::not_run, status_unavailable, "leaving",
                         "this instance is stopping; ask /v1/entry for another",
                         leaving_retry_after});
                handle(request, response);
            }
            catch (const request_error& error)
            {
                send_failure(response, error.reason(), {});
            }
            catch (const std::exception& error)
            {
                log_line(log_level::error, "request failed unexpectedly",
                         {{"path", request.path}, {"error", error.what()}});
                send_failure(response,
                             {verdict::may_have_run, status_bad_gateway, "internal_error",
                              "an unexpected error; see the log", std::nullopt},
                             {});
            }
        };
    }

    // A planned stop, or the platform says that this instance goes.
    bool is_leaving() const
    {
        return refusing_ || is_leaving_instance(*context_.cluster.snapshot(),
                                                context_.settings.id.value);
    }

    void complete(const httplib::Request& request, httplib::Response& response, bool chat)
    {
        const std::shared_ptr<const cluster_snapshot> known = context_.cluster.snapshot();
        completion_request parsed =
            chat ? parse_chat_completion(request.body, *known->document)
                 : parse_completion(request.body, *known->document);
        prepare(parsed.execute, request);
        const auto stream =
            std::make_shared<open_stream>(router_, parsed.execute, in_progress_);
        stream->id = parsed.execute.id;
        stream->model = parsed.execute.model;
        stream->chat = chat;
        stream->started = boot_clock::now();
        stream->event = stream->call.next();
        observe_first(stream->started, parsed.execute.priority);
        if (stream->event.final && stream->event.run != verdict::completed)
        {
            send_failure(response, stream->event.error, stream->id);
            return;
        }
        response.set_header("X-Request-Id", stream->id.value);
        response.set_header("X-Adapter", stream->model.value);
        if (parsed.stream)
        {
            response.set_chunked_content_provider(
                "text/event-stream", [stream](std::size_t, httplib::DataSink& sink)
                { return pass_on(*stream, sink); });
            return;
        }
        send_whole(*stream, response);
    }

    void send_whole(open_stream& stream, httplib::Response& response)
    {
        std::string text;
        while (!stream.event.final)
        {
            text += stream.event.text;
            stream.event = stream.call.next();
        }
        if (stream.event.run != verdict::completed)
        {
            send_failure(response, stream.event.error, stream.id);
            return;
        }
        response.set_header("X-Verdict", to_string(stream.event.run));
        response.set_content(completion_body(stream.event, stream.id, text, stream.chat),
                             json_type);
    }

    void call_service(const httplib::Request& request, httplib::Response& response)
    {
        const std::shared_ptr<const cluster_snapshot> known = context_.cluster.snapshot();
        const std::string path =
            request.matches[2].matched ? request.matches[2].str() : "/";
        execute_request execute = parse_service_call(
            request.matches[1], path, request.get_header_value("Idempotency-Key"),
            request.body, *known->document);
        prepare(execute, request);
        const progress_count progress(in_progress_);
        entry_call call(router_, execute);
        const execute_event answer = call.next();
        if (answer.run != verdict::completed)
        {
            send_failure(response, answer.error, execute.id);
            return;
        }
        response.status = answer.status;
        response.set_header("X-Request-Id", execute.id.value);
        response.set_header("X-Verdict", to_string(answer.run));
        response.set_content(answer.body, json_type);
    }

    void prepare(execute_request& execute, const httplib::Request& request)
    {
        execute.time_left = context_.settings.request_timeout;
        execute.trace_parent =
            to_header(context_from_header(request.get_header_value("traceparent")));
        context_.metrics.add("pollenhaven_requests_total");
    }

    void observe_first(instant started, work_class priority)
    {
        const char* name = priority == work_class::interactive
                               ? "pollenhaven_first_token_seconds_interactive"
                               : "pollenhaven_first_token_seconds_overnight";
        context_.metrics.observe_seconds(name, to_seconds(boot_clock::now() - started));
    }

    daemon_context& context_;
    entry_router& router_;
    std::atomic<int>& in_progress_;
    std::atomic<bool>& refusing_;
    std::atomic<std::size_t> turn_{0};
    httplib::Server server_;
};

caller_server::caller_server(daemon_context& context, entry_router& router)
    : context_(context), router_(router),
      routes_(std::make_unique<routes>(context, router, in_progress_, refusing_)),
      thread_([this] { routes_->serve(); })
{
}

caller_server::~caller_server()
{
    routes_->stop();
    thread_.join();
}

void caller_server::refuse_new_work()
{
    refusing_ = true;
}

} // namespace pollenhaven
