#ifndef POLLENHAVEN_CORE_INTERFACES_INSTANCE_LIST_HPP
#define POLLENHAVEN_CORE_INTERFACES_INSTANCE_LIST_HPP

#include <functional>
#include <map>
#include <string>

namespace pollenhaven
{

enum class instance_state
{
    live,
    leaving
};

// The platform's list of instances. It lags behind the truth. An instance that was listed
// before and is absent now is gone.
struct instance_list
{
    // Returns instance names with their states. Throws std::runtime_error if the list
    // can't be read.
    std::function<std::map<std::string, instance_state>()> fetch;
};

} // namespace pollenhaven

#endif
