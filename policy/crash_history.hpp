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

// A request's content that was running when an endpoint crashed.
struct crash_suspect
{
    int crashes = 0;
    instant last{};
};

// Recognises a request that crashes endpoints by its content, since its id changes when
// the caller sends it again. After the first crash all requests that were running are
// suspects; suspects run at most one at a time on an endpoint, so a second crash convicts
// exactly one.
struct crash_history
{
    std::map<std::string, crash_suspect> suspects;
    int max_crashes = 2;
    // A suspicion that was not confirmed lapses after this time.
    seconds memory{3600};
};

enum class suspect_status
{
    allowed,
    // May run only on an endpoint on which no other suspect runs.
    suspected,
    blocked
};

// A fingerprint of a request's content: what is asked of which model or service.
std::string content_fingerprint(const std::string& target, const std::string& body);

suspect_status suspect_status_of(const crash_history& recorded_crashes,
                                 const std::string& fingerprint, instant now);

// Says whether a request may start on an endpoint where these contents run: not if it is
// blocked, and not if it is a suspect beside another one.
bool may_run_beside(const crash_history& recorded_crashes, const std::string& fingerprint,
                    const std::set<std::string>& running, instant now);

// Notes a crash with the contents that were running. Where suspects were among them, only
// they are counted up.
void record_crash(crash_history& recorded_crashes, const std::set<std::string>& running,
                  instant now);

// The content ran to its end without a crash: clears a suspicion, but not a conviction.
void record_completed(crash_history& recorded_crashes, const std::string& fingerprint);

// Takes over what a peer counted, if it is more. Returns true if anything changed.
bool merge_peer_crashes(crash_history& recorded_crashes, const std::string& fingerprint,
                        int crashes, instant now);

void remove_expired(crash_history& recorded_crashes, instant now);

} // namespace pollenhaven

#endif
