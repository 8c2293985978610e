#ifndef POLLENHAVEN_POLICY_FLEET_CONFIGURATION_CHECK_HPP
#define POLLENHAVEN_POLICY_FLEET_CONFIGURATION_CHECK_HPP

#include "core/records/routing.hpp"

#include <string>
#include <vector>

namespace pollenhaven
{

// What is wrong with a configuration that can be read but wouldn't serve as it says: a
// line for each fault, none if it is sound.
std::vector<std::string> configuration_errors(const routing_table& table);

} // namespace pollenhaven

#endif
