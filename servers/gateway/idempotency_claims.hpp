#ifndef POLLENHAVEN_SERVERS_GATEWAY_IDEMPOTENCY_CLAIMS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_IDEMPOTENCY_CLAIMS_HPP

#include "policy/call_claim.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/http_client.hpp"

#include <functional>
#include <map>
#include <string>

namespace pollenhaven
{

// Claims idempotency keys in the store, so that a call runs at most once under its key
// whichever daemons it is sent to. Costs nothing while no call bears a key.
class idempotency_claims
{
public:
    using claim_handler = std::function<void(const claim_decision&)>;

    explicit idempotency_claims(gateway_context& context);

    // `decided` is called once, unless the claim is abandoned before.
    void claim(const claim_request& wish, claim_handler decided);
    // The caller no longer waits; a claim that comes about later is given back.
    void abandon(const std::string& attempt);
    // Records the answer of a call that ran. Repeated until the store answers.
    void record_response(const claim_request& wish, store_revision claimed, int status,
                         const std::string& body);
    // Gives the key of a call that didn't run back. Repeated until the store answers.
    void release(const claim_request& wish, store_revision claimed);
    // Removes records that are older than their retention; called regularly.
    void remove_expired_claims();

private:
    struct pending_claim
    {
        claim_request wish;
        claim_handler decided;
    };

    void on_claim_written(const std::string& attempt, const http_result& result);
    // Reads the key to learn who holds it. `may_be_written` if our own write of it was
    // sent and not answered.
    void read_existing_claim(const std::string& attempt, bool may_be_written);
    void finish_claim(const std::string& attempt, const claim_decision& decision);
    // Looks for a claim of ours that the store may have written late, and gives it back.
    void release_late_claim(const claim_request& wish, instant until);
    void write_with_retry(const store_transaction& change);
    void remove_expired_claims_after(const std::string& after);
    bool is_first_member() const;

    gateway_context& context_;
    http_client client_;
    std::map<std::string, pending_claim> pending_claims_;
    instant last_removal_{};
    bool removal_in_progress_ = false;
};

} // namespace pollenhaven

#endif
