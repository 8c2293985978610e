#include "policy/crash_history.hpp"

#include "core/json_text.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace pollenhaven
{

namespace
{

// Removes the body fields that may differ when a caller retries the same request.
void remove_volatile_fields(nlohmann::json& body)
{
    for (const char* name : {"user", "stream", "stream_options", "metadata", "seed"})
        body.erase(name);
}

std::string canonical_text(const std::string& body)
{
    nlohmann::json parsed = parse_json_or_null(body);
    if (!parsed.is_object())
        return body;
    remove_volatile_fields(parsed);
    return write_json(parsed);
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

suspect_status suspect_status_of(const crash_history& history,
                                 const std::string& fingerprint, instant now)
{
    const auto found = history.suspects.find(fingerprint);
    if (found == history.suspects.end() ||
        now - found->second.last_crash_at > history.suspicion_lifetime)
        return suspect_status::allowed;
    return found->second.crashes >= history.max_crashes ? suspect_status::blocked
                                                        : suspect_status::suspected;
}

bool may_run_beside(const crash_history& history, const std::string& fingerprint,
                    const std::set<std::string>& running, instant now)
{
    const suspect_status status = suspect_status_of(history, fingerprint, now);
    if (status != suspect_status::suspected)
        return status == suspect_status::allowed;
    return std::none_of(
        running.begin(), running.end(),
        [&](const std::string& other)
        { return suspect_status_of(history, other, now) != suspect_status::allowed; });
}

std::map<std::string, int> record_crash(crash_history& history,
                                        const std::set<std::string>& running, instant now)
{
    std::set<std::string> counted_suspects;
    for (const std::string& fingerprint : running)
    {
        if (history.suspects.count(fingerprint) > 0)
            counted_suspects.insert(fingerprint);
    }
    std::map<std::string, int> changed;
    for (const std::string& fingerprint :
         counted_suspects.empty() ? running : counted_suspects)
    {
        crash_suspect& suspect = history.suspects[fingerprint];
        ++suspect.crashes;
        suspect.last_crash_at = now;
        changed[fingerprint] = suspect.crashes;
    }
    return changed;
}

void record_completed(crash_history& history, const std::string& fingerprint)
{
    const auto found = history.suspects.find(fingerprint);
    if (found != history.suspects.end() && found->second.crashes < history.max_crashes)
        history.suspects.erase(found);
}

bool merge_peer_crashes(crash_history& history, const std::string& fingerprint,
                        int crashes, instant now)
{
    const auto found = history.suspects.find(fingerprint);
    const int known_crashes = found == history.suspects.end() ? 0 : found->second.crashes;
    if (crashes <= known_crashes)
        return false;
    history.suspects[fingerprint] = {crashes, now};
    return true;
}

void remove_expired(crash_history& history, instant now)
{
    std::erase_if(
        history.suspects, [&](const auto& entry)
        { return now - entry.second.last_crash_at > history.suspicion_lifetime; });
}

} // namespace pollenhaven
