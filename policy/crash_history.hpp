#ifndef POLLENHAVEN_POLICY_CRASH_HISTORY_HPP
#define POLLENHAVEN_POLICY_CRASH_HISTORY_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pollenhaven
{

// The crash of one run of an endpoint. All daemons name it alike, so that those that saw
// it count it once.
struct endpoint_crash
{
    endpoint_id endpoint;
    // Start of the run, in milliseconds since the Unix epoch; 0 if it isn't known.
    std::uint64_t started_ms = 0;
};

// Upper bound of the crashes that are named for one suspect. A suspect is blocked
// earlier.
constexpr std::size_t max_named_crashes = 8;

// The endpoint crashes that count for requests with one content.
struct crash_suspect
{
    int crashes = 0;
    instant last_crash_at{};
    // The crashes that are known by name; daemons of earlier versions send only a number.
    std::vector<endpoint_crash> named_crashes;
};

// Detects requests that crash endpoints. They are recognised by a fingerprint of their
// content, because the request id changes when the caller retries. After a first crash
// all requests that were running are suspects. An endpoint runs at most one suspect at a
// time, so a second crash identifies exactly one of them, which is then blocked.
struct crash_history
{
    // The suspects by content fingerprint.
    std::map<std::string, crash_suspect> suspects;
    // A suspect is blocked after this many crashes.
    int max_crashes = 2;
    // A suspect expires this long after its last crash.
    seconds suspicion_lifetime{3600};
};

enum class suspect_status
{
    allowed,
    // May run only on an endpoint on which no other suspect runs.
    suspected,
    blocked
};

// Returns a fingerprint of a request's target and body. It ignores the body fields that
// may differ between retries.
std::string content_fingerprint(const std::string& target, const std::string& body);

// Returns whether requests with this fingerprint are suspects or blocked.
suspect_status suspect_status_of(const crash_history& history,
                                 const std::string& fingerprint, instant now);

// Returns true if a request may start on an endpoint that runs the requests with the
// fingerprints `running`. False if it is blocked, or if it is a suspect and one of those
// is a suspect or blocked.
bool may_run_beside(const crash_history& history, const std::string& fingerprint,
                    const std::set<std::string>& running, instant now);

// Records the crash of an endpoint that ran the requests with the fingerprints `running`.
// If there are suspects of other crashes among them, the crash counts for those alone,
// else for all; not again for those for which a peer has counted it. Returns the crash
// counts that changed, by fingerprint.
std::map<std::string, int> record_crash(crash_history& history,
                                        const std::set<std::string>& running,
                                        const endpoint_crash& crash, instant now);

// Records that a request with this fingerprint completed without a crash. It is no longer
// a suspect, unless it is blocked already.
void record_completed(crash_history& history, const std::string& fingerprint);

// Adds the crashes that a peer named and this daemon didn't know, and adopts the peer's
// count if it is higher than the local one. Returns true if the local count changed.
bool merge_peer_crashes(crash_history& history, const std::string& fingerprint,
                        int crashes, const std::vector<endpoint_crash>& named_crashes,
                        instant now);

// Removes the suspects whose last crash is longer ago than `suspicion_lifetime`.
void remove_expired(crash_history& history, instant now);

} // namespace pollenhaven

#endif
