#ifndef POLLENHAVEN_POLICY_FLEET_ENDPOINT_LINKS_HPP
#define POLLENHAVEN_POLICY_FLEET_ENDPOINT_LINKS_HPP

#include "policy/fleet/fleet_view.hpp"

#include <optional>
#include <set>
#include <vector>

namespace pollenhaven
{

// What this daemon knows of its links to the endpoints. After a failed connection it
// probes other endpoints. If connections to several endpoints fail over a whole
// round of probes and none is established in between, the daemon counts as cut off from
// all of them, and has its peers serve its callers. A daemon that is wrong about it
// learns so from the next connection.
struct endpoint_links
{
    // The endpoints to which a connection failed since the last one was established.
    std::set<endpoint_id> failed;
    instant first_failure_at{};
    std::optional<instant> cut_off_since;
    // When any endpoint last sent something to this daemon.
    instant last_heard_at{};
};

// A round of probes begins at this interval while connections fail. A probe fails if it
// isn't connected within the timeout.
inline constexpr milliseconds link_probe_interval{300};
inline constexpr milliseconds link_probe_timeout{250};

// Connections that fail for this long have failed during a whole round of probes, even if
// the first one failed just after a round had begun.
inline constexpr milliseconds min_cut_duration = link_probe_interval + link_probe_timeout;

bool is_cut_off(const endpoint_links& links);

// A cut counts as confirmed after this time, which is longer than one round of probes.
constexpr milliseconds cut_confirmation_time{400};

// Returns true if the daemon has been cut off for so long that probes have confirmed it.
bool is_cut_off_confirmed(const endpoint_links& links, instant now);

// Returns true while connections have failed and probes haven't shown yet whether the
// endpoints or this daemon's links are the cause.
bool is_cut_undecided(const endpoint_links& links, instant now);

// Returns true if it should be found out by probes whether the daemon is cut off: it
// waits for endpoints, and none has sent anything for some time.
bool is_silence_suspicious(const endpoint_links& links, bool waits_for_endpoints,
                           instant now);

// Records that a connection to an endpoint was established. Returns true if this ends a
// cut.
bool record_connection(endpoint_links& links);

// Records that no connection to an endpoint could be established. Returns true if the
// daemon counts as cut off from now on.
bool record_connection_failure(endpoint_links& links, const fleet_view& fleet,
                               const endpoint_id& endpoint, instant now);

// Returns up to `count` endpoints to which a cut-off daemon should try to connect, chosen
// by the seed; those to which no connection has failed go first.
std::vector<endpoint_id> endpoints_to_probe(const endpoint_links& links,
                                            const fleet_view& fleet, std::size_t count,
                                            std::uint64_t seed, instant now);

// Returns the peer that should serve a request of a daemon that is cut off: of those that
// are ready and reach endpoints, the first by rendezvous hashing of the request. None if
// there is none but those in `excluded`.
std::optional<daemon_id> choose_relay(const fleet_view& fleet, std::uint64_t request_hash,
                                      const std::set<daemon_id>& excluded, instant now);

} // namespace pollenhaven

#endif
