#ifndef POLLENHAVEN_MODULES_OPENAI_CALLERS_OPENAI_CALLERS_HPP
#define POLLENHAVEN_MODULES_OPENAI_CALLERS_OPENAI_CALLERS_HPP

#include "core/interfaces/caller_interface.hpp"

namespace pollenhaven
{

// Returns the interface for callers that use the OpenAI API. It has completions whose
// `model` is base, base/adapter or base/adapter@version, and calls of plain services,
// which need an Idempotency-Key. docs/operators/callers.md describes it.
caller_interface make_openai_callers();

} // namespace pollenhaven

#endif
