#include "main/control/explain_log.hpp"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace pollenhaven::control;

namespace
{

// A fenced code block of the operations page: its info string and its text.
struct code_block
{
    std::string kind;
    std::string text;
};

std::vector<code_block> read_code_blocks()
{
    std::ifstream page(POLLENHAVEN_OPERATIONS_PAGE);
    std::vector<code_block> blocks;
    std::string line;
    bool inside = false;
    while (std::getline(page, line))
    {
        if (line.starts_with("```"))
        {
            inside = !inside;
            if (inside)
                blocks.push_back({line.substr(3), ""});
        }
        else if (inside)
            blocks.back().text += line + '\n';
    }
    return blocks;
}

request_explanation explain(const std::string& request, const std::string& log)
{
    std::istringstream input(log);
    return explain_request(request, read_log_lines(input));
}

} // namespace

BOOST_AUTO_TEST_SUITE(explain_log)

BOOST_AUTO_TEST_CASE(the_examples_on_the_operations_page_match_the_output)
{
    const std::string info_prefix = "explain ";
    std::string log;
    int examples = 0;
    for (const code_block& block : read_code_blocks())
    {
        if (block.kind == "log")
            log = block.text;
        if (!block.kind.starts_with(info_prefix))
            continue;
        ++examples;
        const request_explanation explanation =
            explain(block.kind.substr(info_prefix.size()), log);
        BOOST_TEST(format_explanation(explanation) == block.text);
    }
    BOOST_TEST(examples == 3);
}

BOOST_AUTO_TEST_CASE(a_conclusion_states_the_outcome_and_its_reason)
{
    struct conclusion_case
    {
        const char* line;
        const char* expected_part;
    };
    for (const conclusion_case& row :
         {conclusion_case{R"({"event":"refused","reason":"retry_budget","age_ms":7})",
                          "shared budget"},
          conclusion_case{R"({"event":"refused","reason":"load_too_late","age_ms":7,
                     "load_engine":"i-1","queued_loads":4})",
                          "engine i-1 had 4 loads"},
          conclusion_case{
              R"({"event":"refused","reason":"prompt_part_blocked","age_ms":7})",
              "a part of its prompt crashed engines"},
          conclusion_case{R"({"event":"failed","reason":"deadline","age_ms":9})",
                          "may have run"},
          conclusion_case{R"({"event":"caller gone","age_ms":9})",
                          "the caller left after 9 ms"},
          conclusion_case{R"({"event":"sent","age_ms":9})", "no end is in the log"}})
    {
        std::string line = row.line;
        std::erase(line, '\n');
        line.insert(1, R"("time_ms":5,"daemon":"d","request":"r",)");
        const request_explanation explanation = explain("r", line + "\n");
        BOOST_TEST(explanation.conclusion.find(row.expected_part) != std::string::npos,
                   explanation.conclusion);
    }
}

BOOST_AUTO_TEST_CASE(lines_that_are_not_json_objects_are_ignored)
{
    const request_explanation explanation =
        explain("r", "text\n{not json\n[1]\n  12.5 node {\"time_ms\":5,\"daemon\":\"d\","
                     "\"event\":\"caller gone\",\"request\":\"r\",\"age_ms\":3}\n");
    BOOST_TEST(explanation.lines.size() == 1U);
    BOOST_TEST(explain("other", "").lines.empty());
}

BOOST_AUTO_TEST_SUITE_END()
