#include "modules/http_instance_list/http_instance_list.hpp"

#include "core/boot_clock.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace pollenhaven
{

namespace
{

constexpr milliseconds call_timeout{1000};
constexpr int status_ok = 200;

std::map<std::string, instance_state> fetch_list(const std::string& address)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(call_timeout);
    client.set_read_timeout(call_timeout);
    const httplib::Result result = client.Get("/v1/instances");
    if (!result || result->status != status_ok)
        throw std::runtime_error("the instance list at " + address + " can't be read");
    const nlohmann::json answer = nlohmann::json::parse(result->body, nullptr, false);
    if (!answer.is_object() || !answer.contains("instances"))
        throw std::runtime_error("the instance list at " + address + " is malformed");
    std::map<std::string, instance_state> instances;
    for (const auto& [name, state] : answer["instances"].items())
        instances[name] =
            state == "leaving" ? instance_state::leaving : instance_state::live;
    return instances;
}

} // namespace

instance_list make_http_instance_list(const std::string& address)
{
    instance_list list;
    list.fetch = [address] { return fetch_list(address); };
    return list;
}

} // namespace pollenhaven
