#ifndef POLLENHAVEN_SERVERS_GATEWAY_GATEWAY_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_GATEWAY_HPP

#include "servers/gateway/gateway_settings.hpp"

#include <string>

namespace pollenhaven
{

// Runs a daemon until SIGTERM or SIGINT and returns the exit code of the process. The
// settings file is read again on SIGHUP and when it changes. Throws std::runtime_error if
// an address can't be bound.
int run_gateway(const gateway_settings& settings, const std::string& settings_path);

} // namespace pollenhaven

#endif
