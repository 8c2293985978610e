#include "policy/crash_history.hpp"

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

suspect_status suspect_status_of(const crash_history& recorded_crashes,
                                 const std::string& fingerprint, instant now)
{
    const auto found = recorded_crashes.suspects.find(fingerprint);
    if (found == recorded_crashes.suspects.end() ||
        now - found->second.last > recorded_crashes.memory)
        return suspect_status::allowed;
    return found->second.crashes >= recorded_crashes.max_crashes
               ? suspect_status::blocked
               : suspect_status::suspected;
}

bool may_run_beside(const crash_history& recorded_crashes, const std::string& fingerprint,
                    const std::set<std::string>& running, instant now)
{
    const suspect_status verdict_on_it =
        suspect_status_of(recorded_crashes, fingerprint, now);
    if (verdict_on_it != suspect_status::suspected)
        return verdict_on_it == suspect_status::allowed;
    return std::none_of(running.begin(), running.end(),
                        [&](const std::string& other) {
                            return suspect_status_of(recorded_crashes, other, now) !=
                                   suspect_status::allowed;
                        });
}

void record_crash(crash_history& recorded_crashes, const std::set<std::string>& running,
                  instant now)
{
    std::set<std::string> counted;
    for (const std::string& fingerprint : running)
    {
        if (recorded_crashes.suspects.count(fingerprint) > 0)
            counted.insert(fingerprint);
    }
    for (const std::string& fingerprint : counted.empty() ? running : counted)
    {
        crash_suspect& suspect = recorded_crashes.suspects[fingerprint];
        ++suspect.crashes;
        suspect.last = now;
    }
}

void record_completed(crash_history& recorded_crashes, const std::string& fingerprint)
{
    const auto found = recorded_crashes.suspects.find(fingerprint);
    if (found != recorded_crashes.suspects.end() &&
        found->second.crashes < recorded_crashes.max_crashes)
        recorded_crashes.suspects.erase(found);
}

bool merge_peer_crashes(crash_history& recorded_crashes, const std::string& fingerprint,
                        int crashes, instant now)
{
    const auto found = recorded_crashes.suspects.find(fingerprint);
    const int known =
        found == recorded_crashes.suspects.end() ? 0 : found->second.crashes;
    if (crashes <= known)
        return false;
    recorded_crashes.suspects[fingerprint] = {crashes, now};
    return true;
}

void remove_expired(crash_history& recorded_crashes, instant now)
{
    std::erase_if(recorded_crashes.suspects, [&](const auto& entry)
                  { return now - entry.second.last > recorded_crashes.memory; });
}

} // namespace pollenhaven
