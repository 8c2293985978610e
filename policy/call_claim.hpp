#ifndef POLLENHAVEN_POLICY_CALL_CLAIM_HPP
#define POLLENHAVEN_POLICY_CALL_CLAIM_HPP

#include "core/ids.hpp"
#include "core/interfaces/key_value_store.hpp"
#include "core/verdict.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenhaven
{

enum class claim_state
{
    // Someone may be carrying the call out, or has died while doing so.
    claimed,
    // The call was carried out; its answer is recorded.
    done
};

// What the key-value service keeps of a non-idempotent call.
struct claim_record
{
    claim_state state = claim_state::claimed;
    // Names the attempt that made the claim, so that a writer whose reply was lost
    // recognises its own.
    std::string attempt;
    // Fingerprint of the call's content: one key must not name two different calls.
    std::string fingerprint;
    int status = 0;
    std::string body;
};

// The record's text in the key-value service, and back. A text that can't be read counts
// as a claim by an unknown attempt, which lets nothing run.
std::string encode_claim(const claim_record& record);
claim_record decode_claim(const std::string& text);

// A call that wants its key.
struct claim_wish
{
    std::string key;
    claim_record record;
};

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
    // The service gave no answer; nothing may be carried out.
    unavailable
};

struct claim_decision
{
    claim_outcome outcome = claim_outcome::unavailable;
    // For granted: the revision that wrote the claim, needed to change it.
    store_revision revision;
    // For answered_before: the recorded answer.
    claim_record existing;
};

// Builds one transaction that claims all the wishes, or none.
transaction claim_transaction(const std::vector<claim_wish>& wishes,
                              const std::optional<lease_id>& retention);

// Decides about a wish whose key exists with this record.
claim_decision decide_existing(const claim_wish& wish, const stored_value& stored,
                               const claim_record& record);

// Keys may appear only once in a transaction; later wishes for the same key wait.
std::vector<claim_wish> distinct_wishes(std::vector<claim_wish>& pending,
                                        std::size_t limit);

// What a caller is told of a decision that doesn't let its call run.
failure refusal_for(const claim_decision& decision);

} // namespace pollenhaven

#endif
