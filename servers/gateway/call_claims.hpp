#ifndef POLLENHAVEN_SERVERS_GATEWAY_CALL_CLAIMS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_CALL_CLAIMS_HPP

#include "policy/call_claim.hpp"
#include "servers/gateway/call_channel.hpp"
#include "servers/gateway/gateway_context.hpp"

#include <functional>
#include <map>
#include <string>

namespace pollenhaven
{

// Claims idempotency keys in the store, so that a call runs at most once under its key
// whichever daemons it is sent to. Costs nothing while no call bears a key.
class call_claims
{
public:
    using decided_function = std::function<void(const claim_decision&)>;

    explicit call_claims(gateway_context& context);

    // `decided` is called once, unless the claim is abandoned before.
    void claim(const claim_request& wish, decided_function decided);
    // The caller no longer waits; a claim that comes about later is given back.
    void abandon(const std::string& attempt);
    // Records the answer of a call that ran. Repeated until the store answers.
    void record_answer(const claim_request& wish, store_revision claimed, int status,
                       const std::string& body);
    // Gives the key of a call that didn't run back. Repeated until the store answers.
    void release(const claim_request& wish, store_revision claimed);
    // Removes records that are older than their retention; called regularly.
    void remove_old();

private:
    struct open_claim
    {
        claim_request wish;
        decided_function decided;
    };

    void on_written(const std::string& attempt, const call_result& result);
    // Reads the key to learn who holds it. `may_be_written` if our own write of it was
    // sent and not answered.
    void read_back(const std::string& attempt, bool may_be_written);
    void decide(const std::string& attempt, const claim_decision& decision);
    // Looks for a claim of ours that the store may have written late, and gives it back.
    void clean_up(const claim_request& wish, instant until);
    void write_until_answered(const store_transaction& change);
    void read_old(const std::string& after);
    bool is_first_member() const;

    gateway_context& context_;
    call_channel channel_;
    std::map<std::string, open_claim> open_;
    instant last_removal_{};
    bool removing_ = false;
};

} // namespace pollenhaven

#endif
