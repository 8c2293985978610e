#ifndef POLLENHAVEN_POLICY_FLEET_STREAM_COPIES_HPP
#define POLLENHAVEN_POLICY_FLEET_STREAM_COPIES_HPP

#include "policy/fleet/fleet_view.hpp"

#include <map>
#include <optional>
#include <vector>

namespace pollenhaven
{

// Other daemons hold copies of the records of streams (stream_origin.hpp). So a stream's
// version is still known if the store comes back without the record and the daemon that
// wrote it is gone. A copy is confirmed before the record is written.

// The fixed-length fingerprint of the id of the request that began a stream.
using stream_key = strong_string<struct stream_key_tag>;

// Numbers the copies that one run of a daemon sends; a later one replaces an earlier one.
using copy_number = strong_number<struct copy_number_tag>;

// The first version of the messages between daemons with copies (zone_relay.hpp).
constexpr int first_copying_version = 3;

// The number of peers to which a copy is sent first, and of those that must confirm it
// before no further ones are tried.
constexpr std::size_t copies_per_stream = 3;
constexpr std::size_t confirmed_copies_per_stream = 2;

// The store comes back from a copy that was made at most this long before.
constexpr milliseconds max_restored_copy_age{20'000};

// Returns the members that may hold copies for this daemon, the preferred ones first: one
// of each other availability zone, one of its own, and so on.
std::vector<daemon_id> copy_holders(const fleet_view& fleet, instant now);

// A copy of a stream's record, as its holder knows it.
struct stream_copy
{
    daemon_id writer;
    incarnation_id incarnation;
    copy_number number;
    software_version version;
};

// What a member knows of a stream.
struct stream_statement
{
    // The version at which the member itself began or resumed the stream.
    std::optional<software_version> own;
    std::optional<stream_copy> copy;
    // How long the member's process has run.
    milliseconds uptime{0};
};

// What the members have answered to a question about one stream, and when each answer
// arrived.
struct stream_answer
{
    stream_statement statement;
    instant received{};
};
using stream_answers = std::map<daemon_id, stream_answer>;

// Returns the version that began the stream by the statements; none if nobody knows it or
// two statements contradict each other. A daemon that passed events on knows better than
// the holder of a copy, and of one writer's copies the last one counts.
std::optional<software_version> stated_version(const stream_answers& answers);

// Returns true if the stream has no record and never had one: nobody knows of it, and of
// the daemons that ran when the store can have lost a record, which is known to have been
// restored at `restored_at`, at most one is lost. A lost daemon has stopped, has started
// again or hasn't answered. Each record has a copy at a second daemon. `started` is the
// start of this daemon's process.
bool is_without_record(const fleet_view& fleet, const stream_answers& answers,
                       instant restored_at, instant started);

} // namespace pollenhaven

#endif
