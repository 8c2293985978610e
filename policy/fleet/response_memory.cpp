#include "policy/fleet/response_memory.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// Strings grow by doubling, so they may occupy twice the bytes that are counted; most of
// the memory is for everything else.
constexpr double memory_per_held_responses = 10;
constexpr double bytes_per_mb = 1 << 20U;

} // namespace

std::size_t held_response_limit(double memory_mb)
{
    return std::max(
        max_response_bytes,
        static_cast<std::size_t>(memory_mb * bytes_per_mb / memory_per_held_responses));
}

} // namespace pollenhaven
