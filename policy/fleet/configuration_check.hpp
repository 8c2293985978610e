#ifndef POLLENHAVEN_POLICY_FLEET_CONFIGURATION_CHECK_HPP
#define POLLENHAVEN_POLICY_FLEET_CONFIGURATION_CHECK_HPP

#include "core/records/routing.hpp"

#include <string>
#include <vector>

namespace pollenhaven
{

// Validates a configuration that was parsed without errors. Returns one message for each
// value that is invalid or contradicts another; empty if there is none.
std::vector<std::string> configuration_errors(const routing_table& table);

} // namespace pollenhaven

#endif
