#ifndef POLLENHAVEN_MAIN_CONTROL_EXPLAIN_LOG_HPP
#define POLLENHAVEN_MAIN_CONTROL_EXPLAIN_LOG_HPP

#include <nlohmann/json.hpp>

#include <istream>
#include <string>
#include <vector>

namespace pollenhaven::control
{

// What the log lines of a deployment tell of one request.
struct request_explanation
{
    // Lines about the request, and those about its adapter and endpoints around it, by
    // time.
    std::vector<nlohmann::json> lines;
    // One sentence: how it ended and why. Empty if no line names the request.
    std::string conclusion;
};

// Reads the daemons' JSON lines; text before the brace of a line and lines that aren't
// JSON are passed over.
std::vector<nlohmann::json> read_log_lines(std::istream& input);

request_explanation explain_request(const std::string& request,
                                    const std::vector<nlohmann::json>& log);

// The story as text, one line an event, with the time since the request's first line.
std::string format_explanation(const request_explanation& story);

} // namespace pollenhaven::control

#endif
