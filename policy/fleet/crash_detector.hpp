#ifndef POLLENHAVEN_POLICY_FLEET_CRASH_DETECTOR_HPP
#define POLLENHAVEN_POLICY_FLEET_CRASH_DETECTOR_HPP

#include "policy/crash_history.hpp"
#include "policy/fleet/prompt_part_crashes.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pollenhaven
{

// A request whose connection to the endpoint broke while the request ran.
struct cut_off_request
{
    std::string fingerprint;
    instant cut_off_at{};
    // The shared parts of its prompt; none if the endpoint had begun to answer it.
    std::vector<prompt_part_id> unanswered_parts;
    // Start of the endpoint's run, in milliseconds since the Unix epoch; 0 if it isn't
    // known.
    std::uint64_t endpoint_started_ms = 0;
};

// Distinguishes crashes of endpoints from connections that broke for other reasons. A
// request that was cut off counts as running during a crash only if its endpoint is found
// to be unreachable, removed or restarted soon after.
struct crash_detector
{
    crash_history history;
    // Requests that were cut off, by endpoint, oldest first.
    std::map<endpoint_id, std::vector<cut_off_request>> cut_off;
    // Fingerprints of the suspects that run for this daemon, by endpoint.
    std::map<endpoint_id, std::multiset<std::string>> running_suspects;
};

// Records that the connection to the endpoint broke while it ran this request.
void record_cut_off(crash_detector& detector, const endpoint_id& endpoint,
                    const cut_off_request& request);

// Returns the prompt parts of the requests that record_endpoint_lost() would count and
// that the endpoint had not begun to answer.
positioned_parts unanswered_parts(const crash_detector& detector,
                                  const endpoint_id& endpoint, instant now);

// Records a crash for the requests that were cut off shortly before their endpoint was
// found to be unreachable, removed or restarted. Returns the crash counts that changed,
// by fingerprint.
std::map<std::string, int> record_endpoint_lost(crash_detector& detector,
                                                const endpoint_id& endpoint, instant now);

// Returns the endpoints that run a suspect for this daemon; it must not send another one
// there.
std::set<endpoint_id> endpoints_with_suspects(const crash_detector& detector);

// Records that a suspect started at the endpoint.
void add_running_suspect(crash_detector& detector, const endpoint_id& endpoint,
                         const std::string& fingerprint);

// Records that a suspect ended at the endpoint. No effect if its start was not recorded.
void remove_running_suspect(crash_detector& detector, const endpoint_id& endpoint,
                            const std::string& fingerprint);

// Removes suspects and cut-off requests that are too old to count.
void remove_expired(crash_detector& detector, instant now);

} // namespace pollenhaven

#endif
