#include "core/interfaces/platform_dialect.hpp"
#include "core/plugin_registry.hpp"
#include "main/control/commands.hpp"
#include "servers/gateway/http_client.hpp"

namespace pollenhaven::control
{

namespace
{

constexpr milliseconds store_timeout{2000};
constexpr int status_ok = 200;

http_result call_store(const control_options& options, const std::string& bytes)
{
    event_loop loop;
    http_client client(loop, {options.store});
    std::optional<http_result> result;
    client.call(bytes, store_timeout,
                [&](const http_result& response) { result = response; });
    loop.run([&] { return result.has_value(); });
    return *result;
}

} // namespace

std::string read_store_key(const control_options& options, const std::string& key)
{
    const platform_dialect dialect = plugin_registry<platform_dialect>::instance().make(
        options.dialect, options.store);
    const http_result result = call_store(options, dialect.range_call(key, "").bytes);
    if (!result.has_response || result.status != status_ok)
        throw command_error(exit_code::unreachable,
                            "the store at " + options.store + " gave no valid response");
    try
    {
        for (const store_item& item : dialect.read_page(result.body).items)
            if (item.key == key)
                return item.value;
    }
    catch (const dialect_error& error)
    {
        throw command_error(exit_code::unreachable,
                            "the store at " + options.store +
                                " sent a malformed response: " + error.what());
    }
    return "";
}

} // namespace pollenhaven::control
