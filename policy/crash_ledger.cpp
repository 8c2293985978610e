#include "policy/crash_ledger.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace pollenhaven
{

namespace
{

// The parts of a request body that differ when the same request is sent again.
void drop_volatile_parts(nlohmann::json& body)
{
    for (const char* name : {"user", "stream", "stream_options", "metadata", "seed"})
        body.erase(name);
}

std::string canonical_text(const std::string& body)
{
    nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object())
        return body;
    drop_volatile_parts(parsed);
    return parsed.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string content_fingerprint(const std::string& target, const std::string& body)
{
    const std::string text = target + '\n' + canonical_text(body);
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 33> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return digits.data();
}

containment judge(const crash_ledger& ledger, const std::string& fingerprint, instant now)
{
    const auto found = ledger.suspects.find(fingerprint);
    if (found == ledger.suspects.end() || now - found->second.last > ledger.memory)
        return containment::allowed;
    return found->second.crashes >= ledger.most_crashes ? containment::blocked
                                                        : containment::suspected;
}

bool may_run_beside(const crash_ledger& ledger, const std::string& fingerprint,
                    const std::set<std::string>& running, instant now)
{
    const containment verdict_on_it = judge(ledger, fingerprint, now);
    if (verdict_on_it != containment::suspected)
        return verdict_on_it == containment::allowed;
    return std::none_of(running.begin(), running.end(),
                        [&](const std::string& other)
                        { return judge(ledger, other, now) != containment::allowed; });
}

void note_crash(crash_ledger& ledger, const std::set<std::string>& running, instant now)
{
    std::set<std::string> counted;
    for (const std::string& fingerprint : running)
    {
        if (ledger.suspects.count(fingerprint) > 0)
            counted.insert(fingerprint);
    }
    for (const std::string& fingerprint : counted.empty() ? running : counted)
    {
        crash_suspect& suspect = ledger.suspects[fingerprint];
        ++suspect.crashes;
        suspect.last = now;
    }
}

void note_completed(crash_ledger& ledger, const std::string& fingerprint)
{
    const auto found = ledger.suspects.find(fingerprint);
    if (found != ledger.suspects.end() && found->second.crashes < ledger.most_crashes)
        ledger.suspects.erase(found);
}

bool merge(crash_ledger& ledger, const std::string& fingerprint, int crashes, instant now)
{
    const auto found = ledger.suspects.find(fingerprint);
    const int known = found == ledger.suspects.end() ? 0 : found->second.crashes;
    if (crashes <= known)
        return false;
    ledger.suspects[fingerprint] = {crashes, now};
    return true;
}

void forget_old(crash_ledger& ledger, instant now)
{
    std::erase_if(ledger.suspects, [&](const auto& entry)
                  { return now - entry.second.last > ledger.memory; });
}

} // namespace pollenhaven
