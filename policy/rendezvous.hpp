#ifndef POLLENHAVEN_POLICY_RENDEZVOUS_HPP
#define POLLENHAVEN_POLICY_RENDEZVOUS_HPP

#include <cstdint>
#include <string>

namespace pollenhaven
{

// The weight of a node for a key under rendezvous hashing. All daemons compute the same
// value and prefer the node with the highest one.
std::uint64_t rendezvous_weight(const std::string& key, const std::string& node);

} // namespace pollenhaven

#endif
