#ifndef POLLENHAVEN_CORE_PLUGIN_REGISTRY_HPP
#define POLLENHAVEN_CORE_PLUGIN_REGISTRY_HPP

#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>

namespace pollenhaven
{

// Registry of the implementations of one interface, by name. Modules register themselves
// during static initialization, so the core does not depend on any of them.
template <class Interface> class plugin_registry
{
public:
    using factory = std::function<Interface(const std::string& address)>;

    static plugin_registry& instance()
    {
        static plugin_registry registry;
        return registry;
    }

    // Registers an implementation; replaces one of the same name. Always returns true, so
    // that the initializer of a namespace-scope constant can call it.
    bool add(const std::string& name, factory make)
    {
        factories_[name] = std::move(make);
        return true;
    }

    // Creates the named implementation for an address. Throws std::invalid_argument,
    // listing the registered names, if there is no implementation of this name.
    Interface make(const std::string& name, const std::string& address) const
    {
        const auto found = factories_.find(name);
        if (found == factories_.end())
            throw std::invalid_argument("no module named '" + name +
                                        "' is registered; known: " + known_names());
        return found->second(address);
    }

private:
    std::string known_names() const
    {
        std::string names;
        for (const auto& entry : factories_)
            names += (names.empty() ? "" : ", ") + entry.first;
        return names.empty() ? "none" : names;
    }

    std::map<std::string, factory> factories_;
};

} // namespace pollenhaven

#endif
