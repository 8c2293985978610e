#ifndef POLLENHAVEN_CORE_INTERFACES_KEY_VALUE_STORE_HPP
#define POLLENHAVEN_CORE_INTERFACES_KEY_VALUE_STORE_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace pollenhaven
{

// Names a lease of the key-value service.
using lease_id = strong_number<struct lease_id_tag>;

// One key with its value and the revision that last wrote it.
struct stored_value
{
    std::string key;
    std::string value;
    store_revision modified;
};

// Requires that a key was last written at the given revision; revision 0 requires that
// the key is absent.
struct revision_check
{
    std::string key;
    store_revision expected;
};

// Writes a key; a key with a lease goes away when the lease lapses.
struct put_operation
{
    std::string key;
    std::string value;
    std::optional<lease_id> lease;
};

// Carried out whole if every check holds, and not at all otherwise.
struct transaction
{
    std::vector<revision_check> checks;
    std::vector<put_operation> puts;
    std::vector<std::string> deletes;
};

struct transaction_result
{
    bool succeeded = false;
    store_revision revision;
    // When a check failed: the current values of the checked keys that exist.
    std::vector<stored_value> current;
};

struct range_result
{
    std::vector<stored_value> values;
    store_revision revision;
};

// Thrown by every call of the key-value service that got no answer. When may_have_applied
// is set, a write may have taken effect although its reply is lost.
class key_value_error : public std::runtime_error
{
public:
    key_value_error(const std::string& message, bool may_have_applied)
        : std::runtime_error(message), may_have_applied_(may_have_applied)
    {
    }
    bool may_have_applied() const { return may_have_applied_; }

private:
    bool may_have_applied_;
};

// The platform's key-value service. All calls block, may be made from any thread and
// throw key_value_error.
struct key_value_store
{
    // Reads all keys that begin with the prefix.
    std::function<range_result(const std::string& prefix)> range;
    std::function<transaction_result(const transaction&)> commit;
    std::function<lease_id(seconds time_to_live)> grant_lease;
    // Returns false if the lease no longer exists.
    std::function<bool(lease_id)> keep_alive;
    // Blocks until a key under the prefix changes after the revision, the stream goes
    // silent for too long, or stop becomes true. Returns true if something changed.
    std::function<bool(const std::string& prefix, store_revision after,
                       const std::atomic<bool>& stop)>
        wait_for_change;
};

} // namespace pollenhaven

#endif
