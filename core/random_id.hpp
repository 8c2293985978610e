#ifndef POLLENHAVEN_CORE_RANDOM_ID_HPP
#define POLLENHAVEN_CORE_RANDOM_ID_HPP

#include <cstddef>
#include <string>

namespace pollenhaven
{

// Returns 2 * byte_count hexadecimal digits from the operating system's random source.
std::string random_hex(std::size_t byte_count);

} // namespace pollenhaven

#endif
