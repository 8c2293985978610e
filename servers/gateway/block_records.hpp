#ifndef POLLENHAVEN_SERVERS_GATEWAY_BLOCK_RECORDS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_BLOCK_RECORDS_HPP

#include "policy/fleet/block_record.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/prompt_part_guard.hpp"
#include "servers/gateway/store_client.hpp"

#include <functional>
#include <map>
#include <string>

namespace pollenhaven
{

// The records of blocked prompt parts, below the prefix of all entries that the members
// watch.
inline constexpr const char* block_record_prefix = "pollenhaven/blocks/";

// Keeps the blocked parts of the guard in the store (policy/fleet/block_record.hpp), and
// adopts those that the store has.
class block_records
{
public:
    // Returns true if this daemon has all records that the store has.
    using loaded_check = std::function<bool()>;

    block_records(gateway_context& context, prompt_part_guard& guard,
                  loaded_check is_loaded);

    // Applies a change of a record.
    void on_item(const store_item& item);
    // Writes and removes the records that this daemon keeps. Must be called periodically
    // and when a part was blocked.
    void update();

private:
    struct known_record
    {
        prompt_part_id part;
        int trials = 0;
        store_revision revision;
    };

    // Adds the change of a record to the transaction, if this daemon has to make it.
    void add_change(store_transaction& transaction, const prompt_part_id& part) const;

    gateway_context& context_;
    prompt_part_guard& guard_;
    loaded_check is_loaded_;
    store_client client_;
    // By key.
    std::map<std::string, known_record> records_;
    bool write_in_progress_ = false;
};

} // namespace pollenhaven

#endif
