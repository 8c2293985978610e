#ifndef POLLENHAVEN_POLICY_FLEET_MODEL_CHECK_HPP
#define POLLENHAVEN_POLICY_FLEET_MODEL_CHECK_HPP

#include "core/interfaces/platform_dialect.hpp"
#include "policy/fleet/fleet_view.hpp"

#include <string>

namespace pollenhaven
{

// Returns the reason why no engine of the service can run the request: its base model is
// not served there, or another version of its adapter is in force. Empty if one can.
std::string reason_for_unknown_model(const fleet_view& fleet, const routing_table& table,
                                     const service_id& service,
                                     const caller_request& request);

} // namespace pollenhaven

#endif
