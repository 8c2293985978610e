#include "main/control/commands.hpp"
#include "main/control/explain_log.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <vector>

namespace pollenhaven::control
{

void run_explain(const control_options& given)
{
    if (given.arguments.size() < 2 || given.logs.empty())
        throw command_error(
            exit_code::bad_input,
            "explain needs a request id and the daemons' logs, --log FILE "
            "for each; - is standard input");
    std::vector<nlohmann::json> log;
    for (const std::string& path : given.logs)
    {
        std::ifstream file(path);
        if (path != "-" && !file)
            throw command_error(exit_code::bad_input, "can't read the log " + path);
        const std::vector<nlohmann::json> lines =
            read_log_lines(path == "-" ? static_cast<std::istream&>(std::cin) : file);
        log.insert(log.end(), lines.begin(), lines.end());
    }
    const request_explanation story = explain_request(given.arguments[1], log);
    if (story.lines.empty())
        throw command_error(exit_code::failure,
                            "no line of the logs names request " + given.arguments[1]);
    if (given.json)
        std::cout << nlohmann::json{{"lines", story.lines},
                                    {"conclusion", story.conclusion}}
                         .dump()
                  << '\n';
    else
        std::cout << format_explanation(story);
}

} // namespace pollenhaven::control
