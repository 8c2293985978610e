#ifndef POLLENHAVEN_MODULES_HTTP_SERVICE_HTTP_SERVICE_HPP
#define POLLENHAVEN_MODULES_HTTP_SERVICE_HTTP_SERVICE_HPP

#include "core/interfaces/service_client.hpp"

#include <string>

namespace pollenhaven
{

// A worker of a plain service, called by POST over HTTP. The address is IP:PORT.
service_client make_http_service(const std::string& address);

} // namespace pollenhaven

#endif
