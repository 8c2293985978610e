#ifndef POLLENHAVEN_SERVERS_SOCKET_HPP
#define POLLENHAVEN_SERVERS_SOCKET_HPP

#include "core/ids.hpp"

#include <netinet/in.h>

namespace pollenhaven
{

// Owns a file descriptor and closes it on destruction. The number -1 means none.
class file_descriptor
{
public:
    explicit file_descriptor(int number = -1) : number_(number) {}
    ~file_descriptor();
    file_descriptor(file_descriptor&& other) noexcept;
    file_descriptor& operator=(file_descriptor&& other) noexcept;
    file_descriptor(const file_descriptor&) = delete;
    file_descriptor& operator=(const file_descriptor&) = delete;

    int number() const { return number_; }

private:
    int number_;
};

// Opens a non-blocking listening socket on an IP:PORT address. Throws std::runtime_error
// if the address can't be bound. SO_REUSEPORT isn't set, so that a second process can
// bind the address only after the first has ended.
file_descriptor listen_on(const network_address& address);

// Starts a non-blocking connection. Throws std::runtime_error if the address is malformed
// or no socket can be opened.
file_descriptor connect_to(const network_address& address);

// Accepts one pending connection; the result's number is -1 if there is none.
file_descriptor accept_from(const file_descriptor& listener);

// The parts of an IP:PORT address.
struct host_and_port
{
    std::string host;
    int port = 0;
};
// Splits IP:PORT. Throws std::runtime_error with the address if it is malformed.
host_and_port split_address(const network_address& address);

// Converts an address for use in system calls. Throws std::runtime_error with the address
// if it is malformed.
sockaddr_in to_socket_address(const network_address& address);

} // namespace pollenhaven

#endif
