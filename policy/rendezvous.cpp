#include "policy/rendezvous.hpp"

#include <xxhash.h>

namespace pollenhaven
{

std::uint64_t rendezvous_weight(const std::string& key, const std::string& node)
{
    const XXH64_hash_t seed = XXH3_64bits(node.data(), node.size());
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

} // namespace pollenhaven
