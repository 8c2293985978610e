#ifndef POLLENHAVEN_POLICY_FLEET_CALLER_SHARES_HPP
#define POLLENHAVEN_POLICY_FLEET_CALLER_SHARES_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <vector>

namespace pollenhaven
{

// Answers daemons of different sizes: callers pick one of the addresses of a directory
// response at random, so larger daemons are listed in more of the responses.

// A daemon that callers may use.
struct listed_daemon
{
    daemon_id id;
    network_address address;
    double cores = 1;
};

// Returns the addresses of one response, which `draw` identifies. Each daemon is in a
// part of the responses that is proportional to its cores; the largest ones are in all,
// unless there are more than a response may hold. Up to that number, daemons of equal
// size are in all responses.
std::vector<network_address> draw_addresses(const std::vector<listed_daemon>& daemons,
                                            std::uint64_t draw);

} // namespace pollenhaven

#endif
