#ifndef POLLENHAVEN_SERVERS_CLAIM_DUTY_HPP
#define POLLENHAVEN_SERVERS_CLAIM_DUTY_HPP

#include "core/bounded_ring.hpp"
#include "policy/call_claim.hpp"
#include "servers/daemon_context.hpp"

#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace pollenhaven
{

// Claims the keys of non-idempotent calls in the key-value service, many in one write.
class claim_duty
{
public:
    explicit claim_duty(daemon_context& context);
    ~claim_duty();
    claim_duty(const claim_duty&) = delete;
    claim_duty& operator=(const claim_duty&) = delete;

    // Blocks until the claim is decided, at most for the time given. A claim that is
    // granted after the caller gave up is released again. Thread-safe.
    claim_decision claim(const claim_wish& wish, milliseconds patience);
    // Records the answer of a call that was carried out. Blocks until the service has
    // taken it, at most for the time given; after that it is still retried in the
    // background.
    void record_answer(const std::string& key, store_revision claimed,
                       const claim_record& record, milliseconds patience);
    // Gives a claim back whose call was not carried out. Blocks like record_answer, so
    // that a retry that follows finds the key free.
    void release(const std::string& key, store_revision claimed, milliseconds patience);

private:
    struct open_wish
    {
        claim_wish wish;
        std::promise<claim_decision> decided;
        std::atomic<bool> abandoned{false};
    };
    struct update
    {
        std::string key;
        store_revision claimed;
        // Nothing: delete the claim.
        std::optional<claim_record> record;
        // Set for those who wait for the write.
        std::shared_ptr<std::promise<void>> written;
    };
    using shared_wish = std::shared_ptr<open_wish>;

    void update_and_wait(const std::string& key, store_revision claimed,
                         const std::optional<claim_record>& record,
                         milliseconds patience);
    void run();
    void collect();
    void decide_batch();
    void decide(const shared_wish& open, const claim_decision& decision);
    std::map<std::string, stored_value> read_back(const std::vector<claim_wish>& wishes);
    void write_updates();
    bool write_batch(const std::vector<update>& batch);
    void resolve_unknown();
    void refresh_retention();

    daemon_context& context_;
    bounded_ring<shared_wish> wishes_;
    bounded_ring<update> updates_;
    std::vector<shared_wish> pending_;
    std::vector<update> pending_updates_;
    // Claims that may have been written although the service gave no answer.
    std::vector<claim_wish> unresolved_;
    std::optional<lease_id> retention_;
    instant retention_granted_{};
    std::thread thread_;
};

} // namespace pollenhaven

#endif
