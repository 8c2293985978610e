#ifndef POLLENHAVEN_MODULES_OPENAI_ENGINE_OPENAI_ENGINE_HPP
#define POLLENHAVEN_MODULES_OPENAI_ENGINE_OPENAI_ENGINE_HPP

#include "core/interfaces/engine_client.hpp"

#include <string>

namespace pollenhaven
{

// A model engine behind the OpenAI-compatible API, with the load and unload orders that
// servers of that API publish for LoRA adapters. The address is IP:PORT.
engine_client make_openai_engine(const std::string& address);

} // namespace pollenhaven

#endif
