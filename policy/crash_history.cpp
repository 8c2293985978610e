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

bool is_same_crash(const endpoint_crash& left, const endpoint_crash& right)
{
    return left.endpoint == right.endpoint &&
           (left.started_ms == right.started_ms || left.started_ms == 0 ||
            right.started_ms == 0);
}

bool is_named(const crash_suspect& suspect, const endpoint_crash& crash)
{
    return std::any_of(suspect.named_crashes.begin(), suspect.named_crashes.end(),
                       [&](const endpoint_crash& known)
                       { return is_same_crash(known, crash); });
}

// Returns true if the crash was not known by name.
bool add_named_crash(crash_suspect& suspect, const endpoint_crash& crash)
{
    if (is_named(suspect, crash) || suspect.named_crashes.size() >= max_named_crashes)
        return false;
    suspect.named_crashes.push_back(crash);
    return true;
}

// Returns true if the suspect was in another crash than this one.
bool is_suspect_of_another_crash(const crash_suspect& suspect,
                                 const endpoint_crash& crash)
{
    return suspect.crashes > (is_named(suspect, crash) ? 1 : 0);
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
                                        const std::set<std::string>& running,
                                        const endpoint_crash& crash, instant now)
{
    std::set<std::string> counted_suspects;
    for (const std::string& fingerprint : running)
    {
        const auto found = history.suspects.find(fingerprint);
        if (found != history.suspects.end() &&
            is_suspect_of_another_crash(found->second, crash))
            counted_suspects.insert(fingerprint);
    }
    std::map<std::string, int> changed;
    for (const std::string& fingerprint :
         counted_suspects.empty() ? running : counted_suspects)
    {
        crash_suspect& suspect = history.suspects[fingerprint];
        if (is_named(suspect, crash))
            continue;
        add_named_crash(suspect, crash);
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
                        int crashes, const std::vector<endpoint_crash>& named_crashes,
                        instant now)
{
    if (crashes <= 0)
        return false;
    crash_suspect& suspect = history.suspects[fingerprint];
    for (const endpoint_crash& crash : named_crashes)
        add_named_crash(suspect, crash);
    const int merged = std::max(
        {suspect.crashes, crashes, static_cast<int>(suspect.named_crashes.size())});
    if (merged == suspect.crashes)
        return false;
    suspect.crashes = merged;
    suspect.last_crash_at = now;
    return true;
}

void remove_expired(crash_history& history, instant now)
{
    std::erase_if(
        history.suspects, [&](const auto& entry)
        { return now - entry.second.last_crash_at > history.suspicion_lifetime; });
}

} // namespace pollenhaven
