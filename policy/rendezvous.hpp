#ifndef POLLENHAVEN_POLICY_RENDEZVOUS_HPP
#define POLLENHAVEN_POLICY_RENDEZVOUS_HPP

#include <cstdint>
#include <string>

namespace pollenhaven
{

// Returns the weight of a node for a key in rendezvous (highest random weight) hashing.
// All daemons compute the same weights and prefer the node with the highest one.
std::uint64_t rendezvous_weight(const std::string& key, const std::string& node);

} // namespace pollenhaven

#endif
