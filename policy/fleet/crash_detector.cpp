#include "policy/fleet/crash_detector.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// Maximum time from a broken connection to the detection of the crash that broke it. A
// crashed endpoint refuses connections at once. Its entry in the store is removed, or
// shows a new start time, within its lease time plus the delay of the watch.
constexpr milliseconds crash_detection_time{5000};

bool is_recent(const cut_off_request& request, instant now)
{
    return now - request.cut_off_at <= crash_detection_time;
}

} // namespace

void record_cut_off(crash_detector& detector, const endpoint_id& endpoint,
                    const cut_off_request& request)
{
    detector.cut_off[endpoint].push_back(request);
}

positioned_parts unanswered_parts(const crash_detector& detector,
                                  const endpoint_id& endpoint, instant now)
{
    positioned_parts parts;
    const auto found = detector.cut_off.find(endpoint);
    if (found == detector.cut_off.end())
        return parts;
    for (const cut_off_request& request : found->second)
    {
        int position = 0;
        for (const prompt_part_id& part : request.unanswered_parts)
        {
            if (is_recent(request, now) && parts.size() < max_parts_per_crash)
                parts[part] = std::max(parts[part], position);
            ++position;
        }
    }
    return parts;
}

std::map<std::string, int> record_endpoint_lost(crash_detector& detector,
                                                const endpoint_id& endpoint, instant now)
{
    const auto found = detector.cut_off.find(endpoint);
    if (found == detector.cut_off.end())
        return {};
    std::set<std::string> running;
    endpoint_crash crash{endpoint, 0};
    for (const cut_off_request& request : found->second)
    {
        if (!is_recent(request, now))
            continue;
        running.insert(request.fingerprint);
        crash.started_ms = std::max(crash.started_ms, request.endpoint_started_ms);
    }
    detector.cut_off.erase(found);
    return record_crash(detector.history, running, crash, now);
}

std::set<endpoint_id> endpoints_with_suspects(const crash_detector& detector)
{
    std::set<endpoint_id> endpoints;
    for (const auto& [endpoint, fingerprints] : detector.running_suspects)
        endpoints.insert(endpoint);
    return endpoints;
}

void add_running_suspect(crash_detector& detector, const endpoint_id& endpoint,
                         const std::string& fingerprint)
{
    detector.running_suspects[endpoint].insert(fingerprint);
}

void remove_running_suspect(crash_detector& detector, const endpoint_id& endpoint,
                            const std::string& fingerprint)
{
    const auto found = detector.running_suspects.find(endpoint);
    if (found == detector.running_suspects.end())
        return;
    const auto running = found->second.find(fingerprint);
    if (running != found->second.end())
        found->second.erase(running);
    if (found->second.empty())
        detector.running_suspects.erase(found);
}

void remove_expired(crash_detector& detector, instant now)
{
    remove_expired(detector.history, now);
    std::erase_if(detector.cut_off, [now](const auto& entry)
                  { return !is_recent(entry.second.back(), now); });
}

} // namespace pollenhaven
