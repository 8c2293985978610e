#include "core/interfaces/key_value_store.hpp"
#include "core/plugin_registry.hpp"
#include "core/random_id.hpp"
#include "main/control/commands.hpp"
#include "servers/config_duty.hpp"
#include "servers/document_parser.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace pollenhaven::control
{

namespace
{

using nlohmann::json;

constexpr seconds history_retention{30L * 24 * 3600};
constexpr std::size_t attempt_id_bytes = 8;
constexpr milliseconds poll_interval{100};
const std::string revision_comment = "# pollenhaven section revision ";

key_value_store open_store(const options& given)
{
    if (given.key_value.empty() || given.region.empty())
        throw command_error(exit_code::bad_input,
                            "config commands need --key-value IP:PORT and --region NAME");
    return plugin_registry<key_value_store>::instance().make(given.key_value_module,
                                                             given.key_value);
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw command_error(exit_code::bad_input, "can't read '" + path + "'");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void require_section(const options& given)
{
    if (given.section.empty() || given.section.find('/') != std::string::npos)
        throw command_error(exit_code::bad_input,
                            "name the section with --section; it must not contain '/'");
}

section_map read_all(const key_value_store& store, const options& given)
{
    store_revision newest;
    section_map sections;
    for (const document_section& section : read_sections(store, given.region, newest))
        sections[section.name] = section;
    return sections;
}

// The revision that an edited file was based on, from the comment that `config edit`
// wrote.
std::optional<store_revision> base_revision(const std::string& text)
{
    if (text.compare(0, revision_comment.size(), revision_comment) != 0)
        return std::nullopt;
    try
    {
        return store_revision{std::stoull(text.substr(revision_comment.size()))};
    }
    catch (const std::exception&)
    {
        throw command_error(exit_code::bad_input,
                            "the revision comment in the first line is malformed");
    }
}

std::string without_comment(const std::string& text)
{
    if (text.compare(0, revision_comment.size(), revision_comment) != 0)
        return text;
    const std::size_t end = text.find('\n');
    return end == std::string::npos ? "" : text.substr(end + 1);
}

void check_document(const section_map& sections)
{
    try
    {
        parse_document(sections);
    }
    catch (const document_error& error)
    {
        throw command_error(exit_code::bad_input, error.what());
    }
}

std::vector<std::string> lines_of(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream input(text);
    for (std::string line; std::getline(input, line);)
        lines.push_back(line);
    return lines;
}

// Prints the lines that differ: those common at both ends are left out.
void print_difference(const std::string& before, const std::string& after)
{
    const std::vector<std::string> old_lines = lines_of(before);
    const std::vector<std::string> new_lines = lines_of(after);
    const std::size_t shorter = std::min(old_lines.size(), new_lines.size());
    std::size_t head = 0;
    while (head < shorter && old_lines[head] == new_lines[head])
        ++head;
    std::size_t tail = 0;
    while (tail < shorter - head && old_lines[old_lines.size() - 1 - tail] ==
                                        new_lines[new_lines.size() - 1 - tail])
        ++tail;
    if (head + tail < std::max(old_lines.size(), new_lines.size()))
        std::cout << "@@ line " << head + 1 << " @@\n";
    for (std::size_t i = head; i + tail < old_lines.size(); ++i)
        std::cout << "-" << old_lines[i] << '\n';
    for (std::size_t i = head; i + tail < new_lines.size(); ++i)
        std::cout << "+" << new_lines[i] << '\n';
}

std::string history_key(const options& given, const std::string& attempt)
{
    std::ostringstream key;
    key << history_prefix(given.region) << given.section << '/' << std::setw(20)
        << std::setfill('0') << wall_clock_nanoseconds() << '-' << attempt;
    return key.str();
}

transaction edit_transaction(const key_value_store& store, const options& given,
                             const std::string& text, store_revision expected,
                             const std::string& record_key)
{
    const json entry = {{"author", given.author},
                        {"time_ns", wall_clock_nanoseconds()},
                        {"based_on", expected.value},
                        {"text", text}};
    const std::string key = document_prefix(given.region) + given.section;
    transaction edit;
    edit.checks.push_back({key, expected});
    edit.puts.push_back({key, text, std::nullopt});
    edit.puts.push_back({record_key, entry.dump(), store.grant_lease(history_retention)});
    return edit;
}

// Writes the section if nobody else did since. Returns the new revision.
store_revision commit_edit(const key_value_store& store, const options& given,
                           const std::string& text, store_revision expected)
{
    const std::string record_key = history_key(given, random_hex(attempt_id_bytes));
    const transaction edit = edit_transaction(store, given, text, expected, record_key);
    transaction_result result;
    try
    {
        result = store.commit(edit);
    }
    catch (const key_value_error& error)
    {
        if (!error.may_have_applied())
            throw;
        // The reply was lost: the history record says whether the edit took effect.
        const range_result written = store.range(record_key);
        if (written.values.empty())
            throw command_error(
                exit_code::unreachable,
                "the service did not confirm the edit and does not hold it; "
                "apply it again");
        return written.values.front().modified;
    }
    if (result.succeeded)
        return result.revision;
    const section_map now = read_all(store, given);
    const auto other = now.find(given.section);
    std::cerr << "the section was edited by someone else meanwhile; their text against "
                 "yours:\n";
    if (other != now.end())
        print_difference(other->second.text, text);
    throw command_error(
        exit_code::lost_race,
        "nothing was changed; fetch the section with 'config edit', merge and "
        "apply again");
}

std::vector<std::string> member_addresses(const key_value_store& store,
                                          const std::string& region)
{
    std::vector<std::string> addresses;
    for (const stored_value& value :
         store.range("/pollenhaven/" + region + "/cluster/members/").values)
        addresses.push_back(decode_member(value.value).caller_address.value);
    return addresses;
}

bool is_in_force(const std::string& address, const std::string& section,
                 store_revision revision)
{
    try
    {
        const json status = json::parse(fetch(address, "/v1/status"));
        return status.value("document_fault", "?").empty() &&
               status["sections"].value(section, std::uint64_t{0}) >= revision.value;
    }
    catch (const command_error&)
    {
        return false;
    }
}

void wait_in_force(const key_value_store& store, const options& given,
                   store_revision revision)
{
    const instant started = boot_clock::now();
    const instant deadline = started + seconds(given.timeout_s);
    for (;;)
    {
        std::string missing;
        const std::vector<std::string> members = member_addresses(store, given.region);
        for (const std::string& address : members)
        {
            if (!is_in_force(address, given.section, revision))
                missing += " " + address;
        }
        if (missing.empty())
        {
            std::cout << "in force on " << members.size() << " daemons after "
                      << to_seconds(boot_clock::now() - started) << " s\n";
            return;
        }
        if (boot_clock::now() > deadline)
            throw command_error(exit_code::not_in_force,
                                "accepted, but not in force yet on" + missing +
                                    "; see 'status' of these daemons");
        std::this_thread::sleep_for(poll_interval);
    }
}

struct planned_edit
{
    section_map before;
    std::string text;
    store_revision expected;
};

planned_edit plan_edit(const key_value_store& store, const options& given)
{
    require_section(given);
    const std::string file = read_file(given.file);
    planned_edit edit;
    edit.before = read_all(store, given);
    edit.text = without_comment(file);
    const auto known = edit.before.find(given.section);
    const store_revision current =
        known == edit.before.end() ? store_revision{} : known->second.revision;
    edit.expected = base_revision(file).value_or(current);
    section_map after = edit.before;
    after[given.section] = {given.section, edit.text, current};
    check_document(after);
    return edit;
}

void check(const options& given)
{
    if (given.key_value.empty())
    {
        const std::string name = given.section.empty() ? given.file : given.section;
        check_document({{name, {name, without_comment(read_file(given.file)), {}}}});
    }
    else
        plan_edit(open_store(given), given);
    std::cout << "valid\n";
}

void show(const options& given)
{
    for (const auto& [name, section] : read_all(open_store(given), given))
    {
        if (!given.section.empty() && name != given.section)
            continue;
        if (given.json)
            std::cout << json{{"section", name},
                              {"revision", section.revision.value},
                              {"text", section.text}}
                             .dump()
                      << '\n';
        else
            std::cout << "# section " << name << ", revision " << section.revision.value
                      << '\n'
                      << section.text << '\n';
    }
}

void edit(const options& given)
{
    require_section(given);
    const section_map sections = read_all(open_store(given), given);
    const auto found = sections.find(given.section);
    const document_section section =
        found == sections.end() ? document_section{given.section, "", {}} : found->second;
    std::ofstream file(given.file);
    file << revision_comment << section.revision.value << '\n' << section.text;
    if (!file.flush())
        throw command_error(exit_code::bad_input, "can't write '" + given.file + "'");
    std::cout << "section " << given.section << " at revision " << section.revision.value
              << " written to " << given.file << "; edit it, then 'config apply'\n";
}

void difference(const options& given)
{
    const planned_edit planned = plan_edit(open_store(given), given);
    const auto before = planned.before.find(given.section);
    print_difference(before == planned.before.end() ? "" : before->second.text,
                     planned.text);
}

void apply(const options& given)
{
    const key_value_store store = open_store(given);
    const planned_edit planned = plan_edit(store, given);
    const store_revision revision =
        commit_edit(store, given, planned.text, planned.expected);
    if (given.json)
        std::cout << json{{"section", given.section}, {"revision", revision.value}}.dump()
                  << '\n';
    else
        std::cout << "accepted: section " << given.section << " is at revision "
                  << revision.value << '\n';
    if (given.wait)
        wait_in_force(store, given, revision);
}

void history(const options& given)
{
    const std::string prefix =
        history_prefix(given.region) + (given.section.empty() ? "" : given.section + "/");
    for (const stored_value& value : open_store(given).range(prefix).values)
    {
        const json entry = json::parse(value.value, nullptr, false);
        if (!entry.is_object())
            continue;
        if (given.json)
            std::cout << entry.dump() << '\n';
        else
            std::cout << "revision " << value.modified.value << ", based on "
                      << entry.value("based_on", 0ULL) << ", by '"
                      << entry.value("author", "") << "', "
                      << entry.value("text", "").size() << " bytes\n";
    }
}

} // namespace

void run_config(const options& given)
{
    const std::string action = given.words.size() > 1 ? given.words[1] : "";
    try
    {
        if (action == "check")
            check(given);
        else if (action == "show")
            show(given);
        else if (action == "edit")
            edit(given);
        else if (action == "diff")
            difference(given);
        else if (action == "apply")
            apply(given);
        else if (action == "history")
            history(given);
        else
            throw command_error(
                exit_code::bad_input,
                "config needs one of check, show, diff, edit, apply, history");
    }
    catch (const key_value_error& error)
    {
        throw command_error(exit_code::unreachable,
                            std::string(error.what()) +
                                "; nothing is known to have changed");
    }
}

} // namespace pollenhaven::control
