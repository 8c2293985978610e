#ifndef POLLENHAVEN_SERVERS_TOML_READER_HPP
#define POLLENHAVEN_SERVERS_TOML_READER_HPP

#include <toml++/toml.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pollenhaven
{

// Reads the keys of one TOML table and checks them for wrong types, values out of range,
// and missing and unknown keys. Each error is passed to the given handler, with its place
// as "source:line: table.key".
class toml_reader
{
public:
    using error_handler = std::function<void(const std::string& message)>;

    // `source` and `name` are the file and the name of the table, for error messages. The
    // table must outlive the reader.
    toml_reader(const toml::table& table, std::string source, std::string name,
                error_handler report);

    // Reads a string that must not be missing or empty.
    std::string required_text(const std::string& key);
    // Reads a string. This function and the other ones with `fallback` return it if the
    // key is missing.
    std::string text(const std::string& key, const std::string& fallback);
    long long number(const std::string& key, long long fallback, long long lowest,
                     long long highest);
    double real(const std::string& key, double fallback, double lowest, double highest);
    bool boolean(const std::string& key, bool fallback);
    // Reads a list of strings; empty if the key is missing.
    std::vector<std::string> string_list(const std::string& key);
    // Reads a string that must be one of `allowed`.
    std::string one_of(const std::string& key, const std::string& fallback,
                       const std::vector<std::string>& allowed);
    // Reports an error for each key of the table that hasn't been read.
    void reject_unknown_keys();
    // Reports an error at a key of this table.
    void report_error(const std::string& key, const std::string& message) const;

private:
    const toml::node* find(const std::string& key);

    const toml::table& table_;
    std::string source_;
    std::string name_;
    error_handler report_;
    std::set<std::string> known_keys_;
};

// Returns the line number of a node as text, for error messages.
std::string line_of(const toml::node& node);

} // namespace pollenhaven

#endif
