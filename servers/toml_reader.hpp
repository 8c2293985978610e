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

// Reads one TOML table key by key and finds faults: wrong type, out of range, missing
// and, at the end, unknown keys. Every fault is reported through the function given, with
// the place "source:line: table.key".
class toml_reader
{
public:
    using error_handler = std::function<void(const std::string& message)>;

    toml_reader(const toml::table& table, std::string source, std::string name,
                error_handler fault);

    std::string required_text(const std::string& key);
    std::string text(const std::string& key, const std::string& fallback);
    long long number(const std::string& key, long long fallback, long long lowest,
                     long long highest);
    double real(const std::string& key, double fallback, double lowest, double highest);
    bool boolean(const std::string& key, bool fallback);
    std::vector<std::string> string_list(const std::string& key);
    // One of the allowed words.
    std::string word(const std::string& key, const std::string& fallback,
                     const std::vector<std::string>& allowed);
    // Reports each key that was not read.
    void reject_unknown_keys();
    // Reports a fault at a key of this table.
    void report_error(const std::string& key, const std::string& message) const;

private:
    const toml::node* find(const std::string& key);

    const toml::table& table_;
    std::string source_;
    std::string name_;
    error_handler report_;
    std::set<std::string> known_keys_;
};

// The line on which a node stands, for messages.
std::string line_of(const toml::node& node);

} // namespace pollenhaven

#endif
