#ifndef POLLENHAVEN_MODULES_ETCD_KEY_VALUE_ETCD_KEY_VALUE_HPP
#define POLLENHAVEN_MODULES_ETCD_KEY_VALUE_ETCD_KEY_VALUE_HPP

#include "core/interfaces/key_value_store.hpp"

#include <string>

namespace pollenhaven
{

// A key-value store behind etcd's published JSON-over-HTTP gateway (v3 paths, base64 keys
// and values). The address is IP:PORT.
key_value_store make_etcd_key_value(const std::string& address);

} // namespace pollenhaven

#endif
