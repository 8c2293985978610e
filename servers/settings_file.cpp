#include "servers/settings_file.hpp"

#include "servers/socket.hpp"

namespace pollenhaven
{

namespace
{

constexpr long long max_duration_ms = 3600000;

[[noreturn]] void fail(const std::string& message)
{
    throw settings_error(message);
}

} // namespace

toml::table parse_settings_file(const std::string& path)
{
    try
    {
        return toml::parse_file(path);
    }
    catch (const toml::parse_error& error)
    {
        fail(path + ":" + std::to_string(error.source().begin.line) + ": " +
             std::string(error.description()));
    }
}

void reject_unknown_tables(const toml::table& root, const std::string& path,
                           const std::set<std::string>& known)
{
    for (const auto& [key, node] : root)
    {
        const std::string name(key.str());
        if (known.contains(name))
            continue;
        std::string message = path;
        message.append(":").append(line_of(node)).append(": '").append(name);
        message.append("' is not a known table; known:");
        for (const std::string& table : known)
            message.append(" ").append(table);
        fail(message);
    }
}

void read_settings_table(const toml::table& root, const std::string& path,
                         const std::string& name,
                         const std::function<void(toml_reader&)>& read)
{
    static const toml::table empty;
    const toml::node* node = root.get(name);
    if (node != nullptr && node->as_table() == nullptr)
        fail(path + ":" + line_of(*node) + ": " + name + " must be a table");
    toml_reader reader(node == nullptr ? empty : *node->as_table(), path, name, fail);
    read(reader);
    reader.reject_unknown_keys();
}

network_address read_address_setting(toml_reader& reader, const std::string& key,
                                     const std::string& fallback)
{
    const network_address address{fallback.empty() ? reader.required_text(key)
                                                   : reader.text(key, fallback)};
    try
    {
        to_socket_address(address);
    }
    catch (const std::runtime_error& error)
    {
        reader.report_error(key, std::string("is invalid: ") + error.what());
    }
    return address;
}

milliseconds read_duration_setting(toml_reader& reader, const std::string& key,
                                   milliseconds fallback)
{
    return milliseconds(reader.number(key, fallback.count(), 1, max_duration_ms));
}

} // namespace pollenhaven
