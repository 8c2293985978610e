#include "policy/fleet/crash_detector.hpp"

namespace pollenhaven
{

namespace
{

// A crashed endpoint refuses connections at once; its entry in the store goes, or names a
// new start, within its lease and the watch's delay.
constexpr milliseconds crash_shows_within{5000};

bool is_recent(const cut_off_request& request, instant now)
{
    return now - request.at <= crash_shows_within;
}

} // namespace

void record_cut_off(crash_detector& watch, const endpoint_id& endpoint,
                    const std::string& content, instant now)
{
    watch.cut_off[endpoint].push_back({content, now});
}

bool record_endpoint_lost(crash_detector& watch, const endpoint_id& endpoint, instant now)
{
    const auto found = watch.cut_off.find(endpoint);
    if (found == watch.cut_off.end())
        return false;
    std::set<std::string> running;
    for (const cut_off_request& request : found->second)
        if (is_recent(request, now))
            running.insert(request.content);
    watch.cut_off.erase(found);
    record_crash(watch.recorded_crashes, running, now);
    return !running.empty();
}

std::set<endpoint_id> endpoints_with_suspects(const crash_detector& watch)
{
    std::set<endpoint_id> endpoints;
    for (const auto& [endpoint, contents] : watch.running_suspects)
        endpoints.insert(endpoint);
    return endpoints;
}

void add_running_suspect(crash_detector& watch, const endpoint_id& endpoint,
                         const std::string& content)
{
    watch.running_suspects[endpoint].insert(content);
}

void remove_running_suspect(crash_detector& watch, const endpoint_id& endpoint,
                            const std::string& content)
{
    const auto found = watch.running_suspects.find(endpoint);
    if (found == watch.running_suspects.end())
        return;
    const auto running = found->second.find(content);
    if (running != found->second.end())
        found->second.erase(running);
    if (found->second.empty())
        watch.running_suspects.erase(found);
}

void remove_expired(crash_detector& watch, instant now)
{
    remove_expired(watch.recorded_crashes, now);
    std::erase_if(watch.cut_off, [now](const auto& entry)
                  { return !is_recent(entry.second.back(), now); });
}

} // namespace pollenhaven
