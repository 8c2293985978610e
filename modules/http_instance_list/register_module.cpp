#include "core/plugin_registry.hpp"
#include "modules/http_instance_list/http_instance_list.hpp"

namespace pollenhaven
{

namespace
{

const bool registered =
    plugin_registry<instance_list>::instance().add("http", make_http_instance_list);

} // namespace

} // namespace pollenhaven
