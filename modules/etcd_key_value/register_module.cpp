#include "core/plugin_registry.hpp"
#include "modules/etcd_key_value/etcd_key_value.hpp"

namespace pollenhaven
{

namespace
{

const bool registered =
    plugin_registry<key_value_store>::instance().add("etcd_json", make_etcd_key_value);

} // namespace

} // namespace pollenhaven
