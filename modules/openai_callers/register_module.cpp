#include "core/plugin_registry.hpp"
#include "modules/openai_callers/openai_callers.hpp"

namespace pollenhaven
{

namespace
{

[[maybe_unused]] const bool registered =
    plugin_registry<caller_interface>::instance().add("openai", [](const std::string&)
                                                      { return make_openai_callers(); });

} // namespace

} // namespace pollenhaven
