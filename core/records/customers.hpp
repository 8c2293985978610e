#ifndef POLLENHAVEN_CORE_RECORDS_CUSTOMERS_HPP
#define POLLENHAVEN_CORE_RECORDS_CUSTOMERS_HPP

#include "core/ids.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace pollenhaven
{

// What a quota counts.
enum class quota_unit
{
    requests,
    // The prompt and output tokens that a request states.
    tokens
};

// What the requests of a customer may use, over all daemons together.
struct customer_quota
{
    // Credit per second, and the credit that accumulates at most while it isn't used.
    double rate = 0;
    double burst = 0;
    quota_unit unit = quota_unit::requests;
    // The cost of a request that states no tokens.
    double default_cost = 1;

    bool operator==(const customer_quota&) const = default;
};

struct customer_record
{
    customer_id id;
    // 0 is the most urgent.
    int priority = 0;
    // None if the customer is not limited.
    std::optional<customer_quota> quota;
};

// HMAC-SHA256 of an API key under a random key of this process.
using key_digest = std::array<unsigned char, 32>;

// A key in the configuration, which isn't kept itself.
struct customer_key
{
    key_digest digest{};
    customer_id customer;
};

// The customers of one configuration, and their API keys.
struct customer_table
{
    std::map<customer_id, customer_record> customers;
    // By the first bytes of the digest.
    std::unordered_multimap<std::uint64_t, customer_key> keys;
};

// Adds an API key of a customer.
void add_key(customer_table& table, std::string_view api_key,
             const customer_id& customer);

// Returns the customer that has the key; null if none has it. Takes no longer if more
// bytes of the key match.
const customer_record* find_customer(const customer_table& table,
                                     std::string_view api_key);

} // namespace pollenhaven

#endif
