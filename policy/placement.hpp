#ifndef POLLENHAVEN_POLICY_PLACEMENT_HPP
#define POLLENHAVEN_POLICY_PLACEMENT_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "policy/operating_document.hpp"

#include <optional>
#include <vector>

namespace pollenhaven
{

enum class residency
{
    absent,
    loading,
    resident
};

// What an entry daemon knows of one endpoint that could serve a request.
struct placement_candidate
{
    endpoint_id endpoint;
    residency state = residency::absent;
    // Requests that get a place in the batch before this one, those that wait for their
    // adapter, those that run, and how many can run at once.
    int queued = 0;
    int stalled = 0;
    int running = 0;
    int max_batch = 1;
    // Slots that hold an adapter in use or awaited; with all of them busy a load must
    // wait.
    int busy_slots = 0;
    int slots = 1;
    // How much the adapter was asked for lately that would be evicted there for a new
    // one; 0 while a slot is free.
    double victim_heat = 0;
    // Adapters there that wait for the store or are being loaded.
    int loading = 0;
    // Requests in progress there with which the adapter could not be loaded or served.
    bool excluded = false;
};

struct placement_costs
{
    // Time that one request occupies its place in the batch.
    milliseconds service_time{1500};
    // Time that one load takes once it has its permit.
    milliseconds load_time{250};
    // Loads that the store allows; every load that waits already makes the next one wait.
    double loads_per_second = 3.0;
    // Expected wait for a slot where all are in use or awaited. While the engine is busy
    // none may come free for long.
    milliseconds slot_wait{6000};
    // Added for each step down the adapter's rendezvous order, so that all daemons agree
    // on where a cold adapter goes unless queues differ.
    milliseconds rank_step{60};
    // Added for each unit of heat of the adapter that would be evicted: what is evicted
    // has to be loaded again if it is asked for.
    milliseconds victim_heat_step{200};
};

// The expected wait in milliseconds before a request sent there now could start, with so
// many loads waiting for the store in the whole region.
double expected_wait_ms(const placement_candidate& candidate, int rank, int waiting_loads,
                        const placement_costs& costs);

// The loads that wait for the store on all candidates together.
int waiting_loads(const std::vector<placement_candidate>& candidates);

// Where a request should go, and how long it is expected to wait there.
struct placement
{
    endpoint_id endpoint;
    double expected_wait_ms = 0;
};

// Chooses the endpoint with the shortest expected wait; nothing if all are excluded.
std::optional<placement>
choose_endpoint(const model_ref& adapter,
                const std::vector<placement_candidate>& candidates,
                const placement_costs& costs);

// How long a request may be made to wait before it is better told to come back.
struct patience_limits
{
    milliseconds interactive{10000};
    milliseconds overnight{90000};
};

// The time within which a request has to start, or is better told to come back.
milliseconds patience_for(work_class priority, milliseconds time_left,
                          const patience_limits& limits);

// Nothing if the request should be queued; otherwise when its caller should come back. A
// request that would wait longer than is useful is refused at once instead of being held.
std::optional<milliseconds> refuse_for_now(const placement& chosen, work_class priority,
                                           milliseconds time_left,
                                           const patience_limits& limits);

} // namespace pollenhaven

#endif
