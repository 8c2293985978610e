#ifndef POLLENHAVEN_POLICY_FLEET_STREAM_ORIGIN_HPP
#define POLLENHAVEN_POLICY_FLEET_STREAM_ORIGIN_HPP

#include "core/records/routing.hpp"
#include "policy/fleet/fleet_view.hpp"

#include <optional>
#include <set>

namespace pollenhaven
{

// A stream continues only at the software version that began it. Callers resume streams
// at any daemon, also after all daemons have restarted, so the version must follow from
// what the store has: each service has a base version there, and each stream that begins
// at another version has a record, which is written before its first event is passed on.
// A stream without a record began at the base version.

// A stream can be resumed for this long after its beginning; callers' deadlines are
// shorter.
constexpr milliseconds stream_lifetime{60'000};

// What the store has about a stream.
enum class record_lookup
{
    // There is a record.
    found,
    // There is none.
    absent,
    // The store did not respond.
    unanswered
};

// Where the version of a stream is known from.
enum class origin_source
{
    unknown,
    // This daemon began the stream or resumed it before.
    own_memory,
    record,
    base_version,
    // Endpoints of only one version are known.
    only_version,
    // The members, of which one began the stream or holds a copy of its record.
    members
};

// What is known about a stream that a caller resumes, apart from the fleet.
struct stream_search
{
    // When the caller's request arrived. The stream had begun before.
    instant began{};
    record_lookup lookup = record_lookup::unanswered;
    // The version in the record; undefined unless it was found.
    software_version recorded;
    // False if the store may have lost the record, or this daemon doesn't know its base
    // versions yet.
    bool is_conclusive = false;
    // The version that the members have stated (stream_copies.hpp); none if they haven't.
    std::optional<software_version> stated;
};

// A stream of which the store hasn't confirmed the record in time. No event of it has
// been passed on.
struct late_record
{
    // The version at which it was about to begin.
    software_version version;
    // A write of the record was sent, or a peer got the request, so a record may still
    // appear.
    bool may_be_written = false;
    // The attempts that its route allows aren't used up.
    bool may_send_again = false;
};

enum class late_record_action
{
    // The stream begins without its record.
    pass_on,
    // The stream begins at the base version instead.
    begin_at_base,
    // The request ends. Its caller can send another one, which has another id.
    end
};

struct stream_origin
{
    origin_source source = origin_source::unknown;
    // Undefined if the source is unknown.
    software_version version;
};

// Returns the versions of the service's endpoints that aren't gone, draining ones too.
std::set<software_version> registered_versions(const fleet_view& fleet,
                                               const service_id& service, instant now);

// Returns true if an endpoint of the service runs this version and may get new requests,
// now or after a back-off.
bool is_version_serving(const fleet_view& fleet, const service_id& service,
                        const software_version& version, instant now);

// Returns true if a stream that begins at this version needs a record.
bool needs_record(const fleet_view& fleet, const service_id& service,
                  const software_version& version, instant now);

// Returns what becomes of a stream whose record is late. It begins without the record
// only if no other version can be taken for its own: it is at the base version, or no
// engine of the base version serves.
late_record_action choose_late_record_action(const fleet_view& fleet,
                                             const service_id& service,
                                             const late_record& late, instant now);

// Returns the version to which a new stream is restricted: the base version if the store
// may not take a record, or no peer its copy, and engines of that version serve. None if
// it may begin at any version. `silence` is the time for which the store or the peers
// have confirmed nothing.
std::optional<software_version> version_for_new_stream(const fleet_view& fleet,
                                                       const service_id& service,
                                                       milliseconds silence, instant now);

// Applies the service's entry in the store. One that a restored store has from before the
// last change that is known changes nothing but the revision to replace.
void apply_base_version(fleet_view& fleet, const service_id& service,
                        const base_version& stored, instant now);

// Returns true if the store, of which this era was first seen at the time `era_seen_at`,
// may lack a record that was written before. None is the time of a store that was never
// restored. A daemon that started after the restore knows by the base version's entry
// whether that was long ago.
bool may_lack_records(const fleet_view& fleet, const service_id& service,
                      std::optional<instant> era_seen_at, instant now);

// Returns true if the base version's entry has to say that the present era is settled.
bool must_settle_era(const fleet_view& fleet, const service_id& service,
                     std::optional<instant> era_seen_at, instant now);

// Returns the version that the store should have as the service's base version, if it has
// another one or none. The base version changes only when no endpoint has run it since
// `absent_since`, for so long that no stream of it can be resumed any more.
std::optional<software_version> next_base_version(const fleet_view& fleet,
                                                  const service_id& service,
                                                  std::optional<instant> absent_since,
                                                  instant now);

// Notes the versions of the endpoints that this daemon knows now, and forgets those that
// it hasn't known for the lifetime of a stream. Must be called periodically.
void record_known_versions(fleet_view& fleet, instant now);

// Returns the services to which routes with resumable streams lead.
std::set<service_id> services_with_resumable_streams(const routing_table& table);

// Returns the versions of these services that this daemon has known within the lifetime
// of a stream, which it sends to its peers.
service_versions versions_to_report(const fleet_view& fleet,
                                    const std::set<service_id>& services);

// Returns true if no stream of the service can have begun at another version before the
// search for it began. The own view alone doesn't show that: while this daemon stood
// still or was cut off, engines of another version may have joined. Each member with a
// lease must have stated the versions that it knows since the search began. A member that
// doesn't, because it was killed or runs an earlier release, counts as well if the store
// was silent to it too; at least half of the members must be heard from.
bool is_only_version(const fleet_view& fleet, const service_id& service,
                     const software_version& version, instant search_began, instant now);

// Returns true if neither this daemon nor a member whose statement it has knows a version
// of the service besides this one.
bool is_only_known_version(const fleet_view& fleet, const service_id& service,
                           const software_version& version, instant now);

// Returns the version that began a stream which this daemon doesn't know itself.
stream_origin locate_stream(const fleet_view& fleet, const service_id& service,
                            const stream_search& search, instant now);

// Returns how long a daemon waits between two writes of records, so that all daemons
// together use at most half of the writes that the store takes.
milliseconds record_write_interval(int members, int store_writes_per_second);

} // namespace pollenhaven

#endif
