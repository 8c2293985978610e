#ifndef POLLENHAVEN_SERVERS_SETTINGS_ERROR_HPP
#define POLLENHAVEN_SERVERS_SETTINGS_ERROR_HPP

#include <stdexcept>

namespace pollenhaven
{

// An invalid setting. The message starts with its place, as "file:line: table.key ...".
class settings_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace pollenhaven

#endif
