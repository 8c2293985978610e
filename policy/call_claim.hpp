#ifndef POLLENHAVEN_POLICY_CALL_CLAIM_HPP
#define POLLENHAVEN_POLICY_CALL_CLAIM_HPP

#include "core/interfaces/platform_dialect.hpp"
#include "core/verdict.hpp"

#include <optional>
#include <string>
#include <vector>

namespace pollenhaven
{

// Where claims stand in the store.
inline constexpr const char* claim_prefix = "pollenhaven-calls/";

enum class claim_state
{
    // Someone may be carrying the call out, or has died while doing so.
    claimed,
    // The call was carried out; its answer is recorded.
    done
};

// What the store keeps of a call with an idempotency key.
struct claim_record
{
    claim_state state = claim_state::claimed;
    // Names the attempt that made the claim, so that a writer whose reply was lost
    // recognises its own.
    std::string attempt;
    // Fingerprint of the call's content: one key must not name two different calls.
    std::string fingerprint;
    // Wall-clock time of the claim.
    milliseconds claimed_at{0};
    int status = 0;
    std::string body;
};

// The record's text in the store, and back. A text that can't be read counts as a claim
// by an unknown attempt, which lets nothing run.
std::string encode_claim(const claim_record& record);
claim_record decode_claim(const std::string& text);

// A call that wants its key.
struct claim_request
{
    std::string key;
    claim_record record;
};

// The store's key for a caller's idempotency key at a route, within the store's length.
std::string claim_key(const std::string& route,
                      const std::string& caller_idempotency_key);

enum class claim_outcome
{
    // The key is ours: the call may be carried out once.
    granted,
    // The call was carried out before; its recorded answer is the answer.
    answered_before,
    // Another attempt holds the key and its end is not known.
    in_doubt,
    // The key was used for another call.
    key_reused,
    // The store gave no answer; nothing may be carried out.
    unavailable
};

std::string to_string(claim_outcome outcome);

struct claim_decision
{
    claim_outcome outcome = claim_outcome::unavailable;
    // For granted: the revision that wrote the claim, needed to change it.
    store_revision revision;
    // For answered_before: the recorded answer.
    claim_record existing;
};

// Writes the claim if nobody has the key.
store_transaction claim_transaction(const claim_request& wish);

// Decides about a wish whose key exists.
claim_decision resolve_existing_claim(const claim_request& wish,
                                      const store_item& stored);

// Says whether the item is the wish's own claim, whose answer from the store was lost.
bool is_own_claim(const claim_request& wish, const store_item& stored);

// The record of an answer; none if it is too long to be kept.
std::optional<claim_record> completed_claim_record(const claim_request& wish, int status,
                                                   const std::string& body);

// Transactions that remove the records older than the retention, as many entries each as
// the store takes.
std::vector<store_transaction>
expired_claim_removals(const std::vector<store_item>& items, milliseconds wall_clock_now,
                       milliseconds retention);

// What a caller is told of a decision that doesn't let its call run.
failure failure_for(const claim_decision& decision);

} // namespace pollenhaven

#endif
