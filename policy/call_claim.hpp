#ifndef POLLENHAVEN_POLICY_CALL_CLAIM_HPP
#define POLLENHAVEN_POLICY_CALL_CLAIM_HPP

#include "core/interfaces/platform_dialect.hpp"
#include "core/verdict.hpp"

#include <optional>
#include <string>
#include <vector>

namespace pollenhaven
{

// The prefix of the store keys of all claims.
inline constexpr const char* claim_prefix = "pollenhaven-calls/";

enum class claim_state
{
    // The call may be running, or the daemon that ran it may have crashed meanwhile.
    claimed,
    // The call ran; its response is recorded.
    done
};

// The claim of an idempotency key, as written to the store: which attempt of the call
// holds the key and, once the call has run, its response.
struct claim_record
{
    claim_state state = claim_state::claimed;
    // Identifies the attempt that wrote the claim. It lets a daemon recognise its own
    // claim if the store's response to the write was lost.
    std::string attempt;
    // Fingerprint of the call's content. It reveals a key that is reused for another
    // call.
    std::string fingerprint;
    // Wall-clock time of the claim.
    milliseconds claimed_at{0};
    // For done: status and body of the response.
    int status = 0;
    std::string body;
    // False if only the end of the connection marked the end of the body, so that it may
    // have been cut off.
    bool has_length = true;
};

// Encodes a record for the store.
std::string encode_claim(const claim_record& record);

// Decodes a record from the store. A value that cannot be decoded counts as a claim by an
// unknown attempt, so that no call runs under its key.
claim_record decode_claim(const std::string& text);

// A call's request to claim its key: the store key, and the record to write there.
struct claim_request
{
    std::string key;
    claim_record record;
};

// Returns the store key for a caller's idempotency key on a route. The caller's key is
// hashed to stay within the store's limit on key length.
std::string claim_key(const std::string& route, const std::string& caller_key);

enum class claim_outcome
{
    // This attempt holds the key: the call may run once.
    granted,
    // The call ran before; its recorded response is returned.
    answered_before,
    // Another attempt holds the key and its outcome is not known.
    in_doubt,
    // The key was used for a call with other content.
    key_reused,
    // The store did not respond; the call must not run.
    unavailable
};

// Returns the name of the outcome that logs and metrics contain.
std::string to_string(claim_outcome outcome);

struct claim_decision
{
    claim_outcome outcome = claim_outcome::unavailable;
    // For granted: the revision of the claim, required to change it.
    store_revision revision;
    // For answered_before: the recorded response.
    claim_record existing;
};

// Returns the transaction that writes the claim if its key does not exist.
store_transaction claim_transaction(const claim_request& request);

// Decides about a claim whose key is already in the store, as the item `stored`.
claim_decision resolve_existing_claim(const claim_request& request,
                                      const store_item& stored);

// Returns true if the item was written by this claim request itself, which happens if the
// store's response to the write was lost.
bool is_own_claim(const claim_request& request, const store_item& stored);

// Returns the record of a call that has run, with its response; none if the body is too
// long to be stored.
std::optional<claim_record> completed_claim_record(const claim_request& request,
                                                   int status, const std::string& body,
                                                   bool has_length);

// Returns transactions that remove the claims older than the retention time, each with
// at most as many entries as the store accepts. A claim that cannot be decoded has no
// time and counts as expired.
std::vector<store_transaction>
expired_claim_removals(const std::vector<store_item>& items, milliseconds wall_clock_now,
                       milliseconds retention);

// Returns the error response for a decision that does not let the call run.
failure failure_for(const claim_decision& decision);

} // namespace pollenhaven

#endif
