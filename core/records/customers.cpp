#include "core/records/customers.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstring>
#include <stdexcept>

namespace pollenhaven
{

namespace
{

key_digest make_process_key()
{
    key_digest key{};
    if (RAND_bytes(key.data(), static_cast<int>(key.size())) != 1)
        throw std::runtime_error("no random bytes for the hash of API keys");
    return key;
}

key_digest digest_of(std::string_view api_key)
{
    static const key_digest process_key = make_process_key();
    key_digest digest{};
    unsigned int size = 0;
    if (HMAC(EVP_sha256(), process_key.data(), static_cast<int>(process_key.size()),
             reinterpret_cast<const unsigned char*>(api_key.data()), api_key.size(),
             digest.data(), &size) == nullptr)
        throw std::runtime_error("an API key can't be hashed");
    return digest;
}

std::uint64_t first_bytes_of(const key_digest& digest)
{
    std::uint64_t bytes = 0;
    std::memcpy(&bytes, digest.data(), sizeof bytes);
    return bytes;
}

} // namespace

void add_key(customer_table& table, std::string_view api_key, const customer_id& customer)
{
    const key_digest digest = digest_of(api_key);
    table.keys.insert({first_bytes_of(digest), {digest, customer}});
}

const customer_record* find_customer(const customer_table& table,
                                     std::string_view api_key)
{
    const key_digest digest = digest_of(api_key);
    const auto [begin, end] = table.keys.equal_range(first_bytes_of(digest));
    for (auto at = begin; at != end; ++at)
    {
        const key_digest& known = at->second.digest;
        if (CRYPTO_memcmp(known.data(), digest.data(), digest.size()) != 0)
            continue;
        const auto found = table.customers.find(at->second.customer);
        return found == table.customers.end() ? nullptr : &found->second;
    }
    return nullptr;
}

} // namespace pollenhaven
