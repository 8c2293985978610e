#ifndef POLLENHAVEN_POLICY_CRASH_LEDGER_HPP
#define POLLENHAVEN_POLICY_CRASH_LEDGER_HPP

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
struct crash_ledger
{
    std::map<std::string, crash_suspect> suspects;
    int most_crashes = 2;
    // A suspicion that was not confirmed lapses after this time.
    seconds memory{3600};
};

enum class containment
{
    allowed,
    // May run only on an endpoint on which no other suspect runs.
    suspected,
    blocked
};

// A fingerprint of a request's content: what is asked of which model or service.
std::string content_fingerprint(const std::string& target, const std::string& body);

containment judge(const crash_ledger& ledger, const std::string& fingerprint,
                  instant now);

// Says whether a request may start on an endpoint where these contents run: not if it is
// blocked, and not if it is a suspect beside another one.
bool may_run_beside(const crash_ledger& ledger, const std::string& fingerprint,
                    const std::set<std::string>& running, instant now);

// Notes a crash with the contents that were running. Where suspects were among them, only
// they are counted up.
void note_crash(crash_ledger& ledger, const std::set<std::string>& running, instant now);

// The content ran to its end without a crash: clears a suspicion, but not a conviction.
void note_completed(crash_ledger& ledger, const std::string& fingerprint);

// Takes over what a peer counted, if it is more. Returns true if anything changed.
bool merge(crash_ledger& ledger, const std::string& fingerprint, int crashes,
           instant now);

void forget_old(crash_ledger& ledger, instant now);

} // namespace pollenhaven

#endif
