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

// A request content that was running when an endpoint crashed.
struct crash_suspect
{
    int crashes = 0;
    instant last_crash_at{};
};

// Detects requests that crash endpoints. They are recognised by a fingerprint of their
// content, because the request id changes when the caller retries. After a first crash
// all requests that were running are suspects. An endpoint runs at most one suspect at a
// time, so a second crash identifies exactly one of them, which is then blocked.
struct crash_history
{
    std::map<std::string, crash_suspect> suspects;
    int max_crashes = 2;
    // Entries without a further crash expire after this time.
    seconds suspicion_lifetime{3600};
};

enum class suspect_status
{
    allowed,
    // May run only on an endpoint on which no other suspect runs.
    suspected,
    blocked
};

// Returns a fingerprint of a request's target and body, without the body fields that
// may differ between retries.
std::string content_fingerprint(const std::string& target, const std::string& body);

// Returns whether requests with this content are suspects or blocked.
suspect_status suspect_status_of(const crash_history& history,
                                 const std::string& fingerprint, instant now);

// Returns true if a request may start on an endpoint where the contents `running` run.
// False if it is blocked, or if it is a suspect and another suspect runs there.
bool may_run_beside(const crash_history& history, const std::string& fingerprint,
                    const std::set<std::string>& running, instant now);

// Records a crash during which these contents were running. If there are suspects among
// them, the crash counts for those alone, else for all.
void record_crash(crash_history& history, const std::set<std::string>& running,
                  instant now);

// Records that a request with this content completed without a crash. It is no longer a
// suspect, unless it is blocked already.
void record_completed(crash_history& history, const std::string& fingerprint);

// Adopts a peer's crash count if it is higher than the local one. Returns true if it was.
bool merge_peer_crashes(crash_history& history, const std::string& fingerprint,
                        int crashes, instant now);

void remove_expired(crash_history& history, instant now);

} // namespace pollenhaven

#endif
