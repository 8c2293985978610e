#ifndef POLLENHAVEN_SERVERS_STATUS_REPORT_HPP
#define POLLENHAVEN_SERVERS_STATUS_REPORT_HPP

#include "servers/daemon_context.hpp"

#include <string>

namespace pollenhaven
{

// Reports for operators, as JSON texts.
std::string status_report(const daemon_context& context);
std::string endpoints_report(const daemon_context& context);
std::string adapters_report(const daemon_context& context);
std::string shares_report(const daemon_context& context);
// The spans that this daemon keeps of a request.
std::string explain_report(const daemon_context& context, const std::string& request);
// The address that a caller should use, with others to fall back on.
std::string entry_report(const daemon_context& context, std::size_t turn);

} // namespace pollenhaven

#endif
