#ifndef POLLENHAVEN_POLICY_FLEET_CRASH_DETECTOR_HPP
#define POLLENHAVEN_POLICY_FLEET_CRASH_DETECTOR_HPP

#include "policy/crash_history.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pollenhaven
{

// A request whose endpoint broke off while it ran.
struct cut_off_request
{
    std::string content;
    instant at{};
};

// Tells crashes of endpoints from connections that broke for other reasons: a request
// that was cut off counts as running at a crash only if its endpoint is then seen to be
// gone or to have started anew.
struct crash_detector
{
    crash_history recorded_crashes;
    std::map<endpoint_id, std::vector<cut_off_request>> cut_off;
    // Suspects that this daemon has under way, by endpoint.
    std::map<endpoint_id, std::multiset<std::string>> running_suspects;
};

void record_cut_off(crash_detector& watch, const endpoint_id& endpoint,
                    const std::string& content, instant now);

// Counts the requests that the endpoint cut off shortly before it was seen to be gone.
// Returns true if any was counted.
bool record_endpoint_lost(crash_detector& watch, const endpoint_id& endpoint,
                          instant now);

// Endpoints at which a suspect runs, where another one must not start.
std::set<endpoint_id> endpoints_with_suspects(const crash_detector& watch);

void add_running_suspect(crash_detector& watch, const endpoint_id& endpoint,
                         const std::string& content);
void remove_running_suspect(crash_detector& watch, const endpoint_id& endpoint,
                            const std::string& content);

// Drops what is too old to count.
void remove_expired(crash_detector& watch, instant now);

} // namespace pollenhaven

#endif
