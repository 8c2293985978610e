#include "core/random_id.hpp"

#include <random>

namespace pollenhaven
{

std::string random_hex(std::size_t byte_count)
{
    static constexpr char digits[] = "0123456789abcdef";
    thread_local std::random_device source;
    std::string text;
    text.reserve(byte_count * 2);
    for (std::size_t i = 0; i < byte_count; ++i)
    {
        const unsigned int byte = source() & 0xffU;
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

} // namespace pollenhaven
