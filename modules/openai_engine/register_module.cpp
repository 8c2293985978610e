#include "core/plugin_registry.hpp"
#include "modules/openai_engine/openai_engine.hpp"

namespace pollenhaven
{

namespace
{

const bool registered =
    plugin_registry<engine_client>::instance().add("openai", make_openai_engine);

} // namespace

} // namespace pollenhaven
