#ifndef POLLENHAVEN_SERVERS_GATEWAY_BASE_VERSIONS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_BASE_VERSIONS_HPP

#include "policy/fleet/stream_origin.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/store_client.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace pollenhaven
{

// The store's entries with the base versions of the services, below the prefix of all
// entries that the members watch.
inline constexpr const char* base_version_prefix = "pollenhaven/versions/";

// Reads the software version from the value of such an entry, or of a stream's record;
// none if it is malformed.
std::optional<software_version> decode_software_version(const std::string& value);

// Keeps fleet_view::base_versions as the store has them; the first member of the fleet
// writes them (policy/fleet/stream_origin.hpp).
class base_versions
{
public:
    // Returns true if this daemon has all entries that the store has.
    using loaded_check = std::function<bool()>;

    base_versions(gateway_context& context, loaded_check is_loaded);

    // Applies a change of a service's entry.
    void on_item(const store_item& item);
    // Writes the entries that have to change. Must be called periodically.
    void run_periodic_work();

private:
    void write(const service_id& service, const software_version& version);

    gateway_context& context_;
    loaded_check is_loaded_;
    store_client client_;
    // Since when no endpoint has run a service's base version.
    std::map<service_id, instant> absent_since_;
    instant last_check_{};
};

} // namespace pollenhaven

#endif
