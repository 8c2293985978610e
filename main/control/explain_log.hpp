#ifndef POLLENHAVEN_MAIN_CONTROL_EXPLAIN_LOG_HPP
#define POLLENHAVEN_MAIN_CONTROL_EXPLAIN_LOG_HPP

#include <nlohmann/json.hpp>

#include <istream>
#include <string>
#include <vector>

namespace pollenhaven::control
{

// How one request was handled, from the log lines of all daemons.
struct request_explanation
{
    // Log lines of the request, and related lines about its adapters, endpoints and
    // daemons from shortly before it until its end; sorted by time.
    std::vector<nlohmann::json> lines;
    // One sentence: how the request ended and why. Empty if no line has its id.
    std::string conclusion;
};

// Reads the JSON log lines of daemons. Text before the first brace of a line is ignored,
// as are lines without a JSON object that has an `event`.
std::vector<nlohmann::json> read_log_lines(std::istream& input);

// Collects the lines that concern one request. `request` is its id.
request_explanation explain_request(const std::string& request,
                                    const std::vector<nlohmann::json>& log);

// Formats the explanation as text: one line per event, with the milliseconds since the
// request arrived, then the conclusion.
std::string format_explanation(const request_explanation& explanation);

} // namespace pollenhaven::control

#endif
