#ifndef POLLENHAVEN_SERVERS_SETTINGS_FILE_HPP
#define POLLENHAVEN_SERVERS_SETTINGS_FILE_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "servers/settings_error.hpp"
#include "servers/toml_reader.hpp"

#include <functional>
#include <set>
#include <string>

namespace pollenhaven
{

// Parses a TOML file. Throws settings_error with the line of a syntax error.
toml::table parse_settings_file(const std::string& path);

// Throws settings_error for the first table that isn't in `known`.
void reject_unknown_tables(const toml::table& root, const std::string& path,
                           const std::set<std::string>& known);

// Reads one table of the file; a missing table counts as an empty one. Throws
// settings_error for the first error, and for keys that `read` didn't read.
void read_settings_table(const toml::table& root, const std::string& path,
                         const std::string& name,
                         const std::function<void(toml_reader&)>& read);

// Reads an IP:PORT address; an empty fallback makes the key required.
network_address read_address_setting(toml_reader& reader, const std::string& key,
                                     const std::string& fallback);

// Reads a duration from 1 ms to 1 h, given in milliseconds.
milliseconds read_duration_setting(toml_reader& reader, const std::string& key,
                                   milliseconds fallback);

} // namespace pollenhaven

#endif
