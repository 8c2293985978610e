#include "main/control/commands.hpp"
#include "main/control/explain_log.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <vector>

namespace pollenhaven::control
{

void run_explain(const control_options& options)
{
    if (options.arguments.size() < 2 || options.logs.empty())
        throw command_error(
            exit_code::bad_input,
            "explain needs a request id and one --log FILE per daemon; - is "
            "standard input");
    std::vector<nlohmann::json> log;
    for (const std::string& path : options.logs)
    {
        std::ifstream file(path);
        if (path != "-" && !file)
            throw command_error(exit_code::bad_input, "can't read the log file " + path);
        const std::vector<nlohmann::json> lines =
            read_log_lines(path == "-" ? static_cast<std::istream&>(std::cin) : file);
        log.insert(log.end(), lines.begin(), lines.end());
    }
    const request_explanation explanation = explain_request(options.arguments[1], log);
    if (explanation.lines.empty())
        throw command_error(exit_code::failure,
                            "no log line has the request id " + options.arguments[1]);
    if (options.json)
        std::cout << nlohmann::json{{"lines", explanation.lines},
                                    {"conclusion", explanation.conclusion}}
                         .dump()
                  << '\n';
    else
        std::cout << format_explanation(explanation);
}

} // namespace pollenhaven::control
