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

// Events before the request that may have decided it: loads and changes of holders.
constexpr long long context_before_ms = 3000;

std::string text(const json& line, const char* field)
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

bool names(const json& line, const char* field, const std::set<std::string>& values)
{
    const std::string value = text(line, field);
    return !value.empty() && values.contains(value);
}

// What a request touched.
struct request_parties
{
    std::set<std::string> daemons;
    std::set<std::string> adapters;
    std::set<std::string> endpoints;
};

// The context of a request: orders for its adapter, its endpoints' changes, and what
// happened to its daemons.
bool is_context(const json& line, const request_parties& parties)
{
    static const std::set<std::string> by_adapter{"order", "order failed",
                                                  "adapter version"};
    static const std::set<std::string> by_endpoint{"holder changed", "endpoint",
                                                   "endpoint entry gone"};
    static const std::set<std::string> by_daemon{"lease lost", "store watch failed",
                                                 "stopping", "started", "configuration"};
    const std::string event = text(line, "event");
    return (by_adapter.contains(event) && names(line, "adapter", parties.adapters)) ||
           (by_endpoint.contains(event) && names(line, "endpoint", parties.endpoints)) ||
           (by_daemon.contains(event) && names(line, "daemon", parties.daemons));
}

std::string describe_refusal(const json& line)
{
    static const std::map<std::string, std::string> reasons{
        {"load_too_late", "its adapter is at no engine and couldn't be loaded in time"},
        {"no_endpoint", "no endpoint that could run it became free in time"},
        {"retry_budget", "endpoints refused it and the shared budget for sending again "
                         "was used up"},
        {"no_configuration", "the daemon had no configuration yet"},
        {"deadline", "its time ran out before it was sent"}};
    const std::string reason = text(line, "reason");
    const auto known = reasons.find(reason);
    std::string sentence =
        "refused after " + text(line, "age_ms") +
        " ms without a run: " + (known == reasons.end() ? reason : known->second);
    if (!text(line, "load_engine").empty())
        sentence += " (engine " + text(line, "load_engine") + " had " +
                    text(line, "queued_loads") + " loads before it)";
    return sentence;
}

std::string describe_answer(const json& line, const json* began)
{
    std::string sentence = "answered with " + text(line, "reason") + " after " +
                           text(line, "age_ms") + " ms by " + text(line, "endpoint");
    if (began != nullptr)
        sentence += "; the first byte came after " + text(*began, "age_ms") +
                    " ms, the longest pause was " + text(line, "longest_pause_ms") +
                    " ms";
    return sentence;
}

std::string describe_end(const json& line, const json* began, const json* failed)
{
    const std::string event = text(line, "event");
    if (event == "answered")
        return describe_answer(line, began);
    if (event == "refused")
        return describe_refusal(line);
    if (event == "caller gone")
        return "the caller left after " + text(line, "age_ms") + " ms";
    if (event == "failed")
        return (began != nullptr ? "broken off" : "failed") + std::string(" after ") +
               text(line, "age_ms") + " ms, may have run: " +
               (failed != nullptr
                    ? text(*failed, "reason") + " (" + text(*failed, "endpoint") + ")"
                    : text(line, "reason"));
    return "no end is in the log; the last event is '" + event + "'";
}

std::string conclude(const std::vector<json>& own)
{
    const json* began = nullptr;
    const json* failed = nullptr;
    for (const json& line : own)
    {
        if (text(line, "event") == "answer began")
            began = &line;
        if (text(line, "event") == "attempt failed")
            failed = &line;
    }
    return describe_end(own.back(), began, failed);
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
    std::vector<json> own;
    request_parties parties;
    for (const json& line : log)
    {
        if (text(line, "request") != request)
            continue;
        own.push_back(line);
        parties.daemons.insert(text(line, "daemon"));
        parties.adapters.insert(text(line, "adapter"));
        parties.endpoints.insert(text(line, "endpoint"));
        parties.endpoints.insert(text(line, "load_engine"));
    }
    request_explanation story;
    if (own.empty())
        return story;
    parties.adapters.erase("");
    parties.endpoints.erase("");
    sort_by_time(own);
    const long long from = time_of(own.front()) - own.front().value("age_ms", 0LL);
    const long long to = time_of(own.back());
    story.lines = own;
    for (const json& line : log)
        if (text(line, "request").empty() && time_of(line) >= from - context_before_ms &&
            time_of(line) <= to && is_context(line, parties))
            story.lines.push_back(line);
    sort_by_time(story.lines);
    story.conclusion = conclude(own);
    return story;
}

std::string format_explanation(const request_explanation& story)
{
    static const std::set<std::string> heading{"time_ms", "daemon", "event", "request",
                                               "route"};
    long long begin = 0;
    for (const json& line : story.lines)
        if (begin == 0 && line.contains("request"))
            begin = time_of(line) - line.value("age_ms", 0LL);
    std::ostringstream out;
    for (const json& line : story.lines)
    {
        out << time_of(line) - begin << " ms  " << text(line, "daemon") << "  "
            << text(line, "event");
        for (const auto& [name, value] : line.items())
        {
            const std::string shown = text(line, name.c_str());
            if (!heading.contains(name) && !shown.empty() && shown != "0")
                out << "  " << name << "=" << shown;
        }
        out << '\n';
    }
    out << story.conclusion << '\n';
    return out.str();
}

} // namespace pollenhaven::control
