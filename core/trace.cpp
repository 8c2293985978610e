#include "core/trace.hpp"

#include "core/boot_clock.hpp"
#include "core/random_id.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace pollenhaven
{

namespace
{

constexpr std::size_t trace_id_bytes = 16;
constexpr std::size_t span_id_bytes = 8;
constexpr std::size_t traceparent_length = 55;
constexpr std::size_t trace_id_offset = 3;
constexpr std::size_t span_id_offset = 36;

bool is_hexadecimal(const std::string& text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char digit) { return std::isxdigit(digit) != 0; });
}

nlohmann::json otlp_attribute(const std::string& key, const std::string& value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

std::string otlp_line(const span& finished, const std::string& instance)
{
    nlohmann::json attributes = nlohmann::json::array();
    attributes.push_back(otlp_attribute("request.id", finished.request));
    for (const auto& attribute : finished.attributes)
        attributes.push_back(otlp_attribute(attribute.first, attribute.second));
    nlohmann::json record = {{"traceId", finished.context.trace_id},
                             {"spanId", finished.context.span_id},
                             {"parentSpanId", finished.parent_span_id},
                             {"name", finished.name},
                             {"startTimeUnixNano", std::to_string(finished.start_ns)},
                             {"endTimeUnixNano", std::to_string(finished.end_ns)},
                             {"attributes", attributes}};
    nlohmann::json resource = {{"attributes",
                                {otlp_attribute("service.name", "pollenhavend"),
                                 otlp_attribute("service.instance.id", instance)}}};
    nlohmann::json line = {
        {"resourceSpans",
         {{{"resource", resource}, {"scopeSpans", {{{"spans", {record}}}}}}}}};
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

trace_context context_from_header(const std::string& traceparent)
{
    const bool well_formed =
        traceparent.size() == traceparent_length &&
        traceparent.compare(0, 3, "00-") == 0 &&
        is_hexadecimal(traceparent.substr(trace_id_offset, 2 * trace_id_bytes)) &&
        is_hexadecimal(traceparent.substr(span_id_offset, 2 * span_id_bytes));
    if (!well_formed)
        return {random_hex(trace_id_bytes), ""};
    return {traceparent.substr(trace_id_offset, 2 * trace_id_bytes),
            traceparent.substr(span_id_offset, 2 * span_id_bytes)};
}

std::string to_header(const trace_context& context)
{
    return "00-" + context.trace_id + "-" + context.span_id + "-01";
}

span start_span(const std::string& name, const std::string& request,
                const trace_context& parent)
{
    span started;
    started.name = name;
    started.request = request;
    started.context = {parent.trace_id, random_hex(span_id_bytes)};
    started.parent_span_id = parent.span_id;
    started.start_ns = wall_clock_nanoseconds();
    return started;
}

void span_log::write_to(const std::string& path, const std::string& instance)
{
    const std::lock_guard lock(mutex_);
    instance_ = instance;
    file_.open(path, std::ios::app);
    if (!file_)
        throw std::runtime_error("can't open the span file '" + path + "' for appending");
}

void span_log::record(span finished)
{
    if (finished.end_ns == 0)
        finished.end_ns = wall_clock_nanoseconds();
    const std::lock_guard lock(mutex_);
    if (file_.is_open())
        file_ << otlp_line(finished, instance_) << '\n' << std::flush;
    recent_.push_back(std::move(finished));
    if (recent_.size() > capacity_)
        recent_.pop_front();
}

std::vector<span> span_log::of_request(const std::string& request) const
{
    const std::lock_guard lock(mutex_);
    std::vector<span> found;
    std::copy_if(recent_.begin(), recent_.end(), std::back_inserter(found),
                 [&](const span& candidate) { return candidate.request == request; });
    return found;
}

} // namespace pollenhaven
