#ifndef POLLENHAVEN_CORE_TRACE_HPP
#define POLLENHAVEN_CORE_TRACE_HPP

#include <deque>
#include <fstream>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace pollenhaven
{

// Identifies a span within a trace, as in the W3C traceparent header.
struct trace_context
{
    std::string trace_id;
    std::string span_id;
};

// Reads a traceparent header. A missing or malformed one starts a new trace.
trace_context context_from_header(const std::string& traceparent);

// Writes the traceparent header for a hop whose parent is this context.
std::string to_header(const trace_context& context);

// One hop's work on one request.
struct span
{
    std::string name;
    std::string request;
    trace_context context;
    std::string parent_span_id;
    long long start_ns = 0;
    long long end_ns = 0;
    std::vector<std::pair<std::string, std::string>> attributes;
};

// Starts a span as a child of the parent.
span start_span(const std::string& name, const std::string& request,
                const trace_context& parent);

// Keeps the latest spans for the explain command and appends each, as a line of OTLP
// JSON, to a file if one is set. Thread-safe.
class span_log
{
public:
    explicit span_log(std::size_t capacity) : capacity_(capacity) {}

    // Throws std::runtime_error if the file can't be opened.
    void write_to(const std::string& path, const std::string& instance);
    void record(span finished);
    std::vector<span> of_request(const std::string& request) const;

private:
    mutable std::mutex mutex_;
    std::size_t capacity_;
    std::deque<span> recent_;
    std::string instance_;
    std::ofstream file_;
};

} // namespace pollenhaven

#endif
