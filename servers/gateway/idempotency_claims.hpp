#ifndef POLLENHAVEN_SERVERS_GATEWAY_IDEMPOTENCY_CLAIMS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_IDEMPOTENCY_CLAIMS_HPP

#include "policy/call_claim.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/store_client.hpp"

#include <functional>
#include <map>
#include <string>

namespace pollenhaven
{

// Claims idempotency keys in the store, so that a request with a key runs at most once,
// whichever daemons it is sent to. Requests without a key cause no store calls.
class idempotency_claims
{
public:
    using claim_handler = std::function<void(const claim_decision&)>;

    explicit idempotency_claims(gateway_context& context);

    // Tries to claim the key. `on_decision` is called once with the result, unless the
    // claim is abandoned first.
    void claim(const claim_request& request, claim_handler on_decision);
    // Drops the handler of a pending claim, because the caller no longer waits. `attempt`
    // is the value of claim_record::attempt. If the claim is granted later, it is
    // released.
    void abandon(const std::string& attempt);
    // Records the response to a request that ran, so that duplicates get the same one.
    // The write is retried until the store confirms or refuses it. Responses with a body
    // above a limit aren't recorded. `has_length` is kept for the duplicates' responses.
    void record_response(const claim_request& request, store_revision claim_revision,
                         int status, const std::string& body, bool has_length);
    // Releases the key of a request that didn't run. The removal is retried until the
    // store confirms or refuses it.
    void release(const claim_request& request, store_revision claim_revision);
    // Removes records older than the retention time. Must be called periodically; only
    // the first member of the fleet does the work, at most once an hour.
    void remove_expired_claims();

private:
    struct pending_claim
    {
        claim_request request;
        claim_handler on_decision;
    };

    void on_claim_written(const std::string& attempt, const http_result& result);
    // Reads the key's record to find out who holds it. `may_be_written` is true if this
    // daemon's own write was sent but its result is unknown.
    void read_existing_claim(const std::string& attempt, bool may_be_written);
    void finish_claim(const std::string& attempt, const claim_decision& decision);
    // Polls the key for a claim of this daemon that the store wrote late, and releases
    // it. Polling ends once the key has a record, or with the first response of the store
    // after the given time.
    void release_late_claim(const claim_request& request, instant until);
    // Retries the transaction until the store confirms it, or refuses it because the
    // expected revisions have changed.
    void write_with_retry(const store_transaction& transaction);
    // Reads a page of records after the given key and removes the expired ones, then goes
    // on with the next page.
    void remove_expired_claims_after(const std::string& after);

    gateway_context& context_;
    store_client client_;
    std::map<std::string, pending_claim> pending_claims_;
    instant last_removal_{};
    bool removal_in_progress_ = false;
};

} // namespace pollenhaven

#endif
