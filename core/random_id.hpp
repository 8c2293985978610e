#ifndef POLLENHAVEN_CORE_RANDOM_ID_HPP
#define POLLENHAVEN_CORE_RANDOM_ID_HPP

#include <cstddef>
#include <string>

namespace pollenhaven
{

// Returns byte_count random bytes from the operating system as 2 * byte_count
// hexadecimal digits.
std::string random_hex(std::size_t byte_count);

} // namespace pollenhaven

#endif
