#ifndef POLLENHAVEN_MODULES_HTTP_INSTANCE_LIST_HTTP_INSTANCE_LIST_HPP
#define POLLENHAVEN_MODULES_HTTP_INSTANCE_LIST_HTTP_INSTANCE_LIST_HPP

#include "core/interfaces/instance_list.hpp"

#include <string>

namespace pollenhaven
{

// The platform's instance list as a JSON object over HTTP. The address is IP:PORT.
instance_list make_http_instance_list(const std::string& address);

} // namespace pollenhaven

#endif
