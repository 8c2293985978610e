#include "main/control/explain_log.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace pollenhaven::control
{

namespace
{

using json = nlohmann::json;

// Related events from this long before the request are shown too, because loads and
// holder changes shortly before it can explain its outcome.
constexpr long long context_before_ms = 3000;

std::string field_text(const json& line, const char* field)
{
    const auto found = line.find(field);
    if (found == line.end())
        return "";
    return found->is_string() ? found->get<std::string>() : found->dump();
}

long long time_of(const json& line)
{
    return line.value("time_ms", 0LL);
}

bool field_is_one_of(const json& line, const char* field,
                     const std::set<std::string>& values)
{
    const std::string value = field_text(line, field);
    return !value.empty() && values.contains(value);
}

// The daemons, adapters and endpoints that the log lines of a request name.
struct named_subjects
{
    std::set<std::string> daemons;
    std::set<std::string> adapters;
    std::set<std::string> endpoints;
};

// Whether a line without a request id can explain the request's outcome: orders for its
// adapter, changes of its endpoints and events of its daemons.
bool can_explain(const json& line, const named_subjects& subjects)
{
    static const std::set<std::string> by_adapter{"order", "order failed",
                                                  "adapter version"};
    static const std::set<std::string> by_endpoint{"holder changed", "endpoint",
                                                   "endpoint entry gone"};
    static const std::set<std::string> by_daemon{"lease lost", "store watch failed",
                                                 "stopping", "started", "configuration"};
    const std::string event = field_text(line, "event");
    return (by_adapter.contains(event) &&
            field_is_one_of(line, "adapter", subjects.adapters)) ||
           (by_endpoint.contains(event) &&
            field_is_one_of(line, "endpoint", subjects.endpoints)) ||
           (by_daemon.contains(event) &&
            field_is_one_of(line, "daemon", subjects.daemons));
}

std::string describe_refusal(const json& line)
{
    static const std::map<std::string, std::string> reasons{
        {"load_too_late", "its adapter is at no engine and couldn't be loaded in time"},
        {"no_endpoint", "no endpoint that could run it became free in time"},
        {"retry_budget", "endpoints refused it and the shared budget for sending again "
                         "was used up"},
        {"no_configuration", "the daemon had no configuration yet"},
        {"stopping", "the daemon was shutting down"},
        {"request_blocked", "requests with its content crashed endpoints"},
        {"prompt_part_blocked", "a part of its prompt crashed engines"},
        {"request_limit", "all endpoints of its service had reached the request limits "
                          "that they state"},
        {"deadline", "its time ran out before it was sent"}};
    const std::string reason = field_text(line, "reason");
    const auto known = reasons.find(reason);
    std::string sentence =
        "refused after " + field_text(line, "age_ms") +
        " ms without a run: " + (known == reasons.end() ? reason : known->second);
    if (!field_text(line, "load_engine").empty())
        sentence += " (engine " + field_text(line, "load_engine") + " had " +
                    field_text(line, "queued_loads") + " loads before it)";
    return sentence;
}

std::string describe_response(const json& line, const json* response_start)
{
    std::string sentence = "answered with " + field_text(line, "reason") + " after " +
                           field_text(line, "age_ms") + " ms by " +
                           field_text(line, "endpoint");
    if (response_start != nullptr)
        sentence +=
            "; the first byte came after " + field_text(*response_start, "age_ms") +
            " ms, the longest pause was " + field_text(line, "longest_pause_ms") + " ms";
    return sentence;
}

std::string describe_last_line(const json& line, const json* response_start,
                               const json* failed_attempt)
{
    const std::string event = field_text(line, "event");
    if (event == "answered")
        return describe_response(line, response_start);
    if (event == "refused")
        return describe_refusal(line);
    if (event == "caller gone")
        return "the caller left after " + field_text(line, "age_ms") + " ms";
    if (event == "failed")
        return (response_start != nullptr ? "broken off" : "failed") +
               std::string(" after ") + field_text(line, "age_ms") +
               " ms, may have run: " +
               (failed_attempt != nullptr
                    ? field_text(*failed_attempt, "reason") + " (" +
                          field_text(*failed_attempt, "endpoint") + ")"
                    : field_text(line, "reason"));
    return "no end is in the log; the last event is '" + event + "'";
}

std::string describe_outcome(const std::vector<json>& request_lines)
{
    const json* response_start = nullptr;
    const json* failed_attempt = nullptr;
    for (const json& line : request_lines)
    {
        if (field_text(line, "event") == "answer began")
            response_start = &line;
        if (field_text(line, "event") == "attempt failed")
            failed_attempt = &line;
    }
    return describe_last_line(request_lines.back(), response_start, failed_attempt);
}

void sort_by_time(std::vector<json>& lines)
{
    std::stable_sort(lines.begin(), lines.end(),
                     [](const json& left, const json& right)
                     { return time_of(left) < time_of(right); });
}

} // namespace

std::vector<json> read_log_lines(std::istream& input)
{
    std::vector<json> lines;
    std::string line;
    while (std::getline(input, line))
    {
        const std::size_t brace = line.find('{');
        if (brace == std::string::npos)
            continue;
        json parsed = json::parse(line.substr(brace), nullptr, false);
        if (parsed.is_object() && parsed.contains("event"))
            lines.push_back(std::move(parsed));
    }
    return lines;
}

request_explanation explain_request(const std::string& request,
                                    const std::vector<json>& log)
{
    std::vector<json> request_lines;
    named_subjects subjects;
    for (const json& line : log)
    {
        if (field_text(line, "request") != request)
            continue;
        request_lines.push_back(line);
        subjects.daemons.insert(field_text(line, "daemon"));
        subjects.adapters.insert(field_text(line, "adapter"));
        subjects.endpoints.insert(field_text(line, "endpoint"));
        subjects.endpoints.insert(field_text(line, "load_engine"));
    }
    request_explanation explanation;
    if (request_lines.empty())
        return explanation;
    subjects.adapters.erase("");
    subjects.endpoints.erase("");
    sort_by_time(request_lines);
    const long long from =
        time_of(request_lines.front()) - request_lines.front().value("age_ms", 0LL);
    const long long to = time_of(request_lines.back());
    explanation.lines = request_lines;
    for (const json& line : log)
        if (field_text(line, "request").empty() &&
            time_of(line) >= from - context_before_ms && time_of(line) <= to &&
            can_explain(line, subjects))
            explanation.lines.push_back(line);
    sort_by_time(explanation.lines);
    explanation.conclusion = describe_outcome(request_lines);
    return explanation;
}

std::string format_explanation(const request_explanation& explanation)
{
    static const std::set<std::string> heading_fields{"time_ms", "daemon", "event",
                                                      "request", "route"};
    long long arrival_ms = 0;
    for (const json& line : explanation.lines)
        if (arrival_ms == 0 && line.contains("request"))
            arrival_ms = time_of(line) - line.value("age_ms", 0LL);
    std::ostringstream out;
    for (const json& line : explanation.lines)
    {
        out << time_of(line) - arrival_ms << " ms  " << field_text(line, "daemon") << "  "
            << field_text(line, "event");
        for (const auto& [name, value] : line.items())
        {
            const std::string value_text = field_text(line, name.c_str());
            if (!heading_fields.contains(name) && !value_text.empty() &&
                value_text != "0")
                out << "  " << name << "=" << value_text;
        }
        out << '\n';
    }
    out << explanation.conclusion << '\n';
    return out.str();
}

} // namespace pollenhaven::control
