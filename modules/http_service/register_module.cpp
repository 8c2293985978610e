#include "core/plugin_registry.hpp"
#include "modules/http_service/http_service.hpp"

namespace pollenhaven
{

namespace
{

const bool registered =
    plugin_registry<service_client>::instance().add("http", make_http_service);

} // namespace

} // namespace pollenhaven
