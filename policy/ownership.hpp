#ifndef POLLENHAVEN_POLICY_OWNERSHIP_HPP
#define POLLENHAVEN_POLICY_OWNERSHIP_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "core/interfaces/instance_list.hpp"
#include "policy/operating_document.hpp"

#include <map>
#include <optional>
#include <string>

namespace pollenhaven
{

// Who may dispatch to one endpoint. An empty owner means that the last one released it.
struct ownership_record
{
    daemon_id owner;
    incarnation_id incarnation;
    ownership_epoch epoch;
    // True once the owner has seen itself in the platform's instance list. Only then does
    // its absence from the list prove that it is gone, and not that it is new.
    bool listed = false;
};

// The region's ownership, kept under one key and changed by compare-and-swap only.
struct ownership_document
{
    std::map<endpoint_id, ownership_record> endpoints;
    // Marks the write, so that a writer whose reply was lost recognises its own.
    std::string write_id;
};

// A daemon whose member lease is alive in the key-value service.
struct member_record
{
    daemon_id id;
    incarnation_id incarnation;
    network_address caller_address;
    network_address peer_address;
    std::string zone;
    bool leaving = false;
};

// All that one daemon knows when it decides about ownership.
struct ownership_view
{
    daemon_id self;
    incarnation_id self_incarnation;
    // True from the start of a planned stop.
    bool self_leaving = false;
    std::map<daemon_id, member_record> members;
    std::map<endpoint_id, endpoint_entry> endpoints;
    ownership_document current;
    // Instances that the platform lists; nothing if the list can't be read.
    std::optional<std::map<std::string, instance_state>> instances;
    // Since when each owner has been absent from the list without interruption.
    std::map<daemon_id, instant> absent_since;
    // Since when each owner's lease has been missing while the service answered.
    std::map<daemon_id, instant> lease_missing_since;
    // Since when the service has answered without interruption.
    instant service_answering_since{};
    // Endpoints of ours on which nothing runs and no order is open.
    std::map<endpoint_id, bool> idle;
    // How long a lease must have been missing before an endpoint that checks fencing
    // numbers is taken over.
    milliseconds take_over_delay{3000};
    // Since when this daemon runs. It takes nothing before it is listed, so that its own
    // end can be proved, unless the list doesn't show it for long.
    instant self_started{};
    milliseconds listing_patience{10000};
    // How long an owner must have been absent from the instance list to count as gone.
    milliseconds gone_delay{2000};
};

// Spreads the endpoints over the members: a live owner keeps what it has up to an even
// share, and the rest goes by rendezvous hashing to members with room.
std::map<endpoint_id, daemon_id> desired_owners(const ownership_view& view);

// Says whether the recorded owner can no longer dispatch, so that another may take over.
// Endpoints that don't check fencing numbers need proof that the old incarnation is gone;
// a lapsed lease is no such proof, because its holder may be paused between a check and a
// send.
bool may_take_over(const ownership_view& view, const endpoint_id& endpoint,
                   const ownership_record& record, instant now);

// The change of ownership this daemon should write now, or nothing. A daemon only ever
// takes for itself or releases its own.
std::optional<ownership_document> plan_ownership(const ownership_view& view, instant now);

// Endpoints of ours that another member should hold. They take no new work, and are
// released once idle.
std::map<endpoint_id, daemon_id> handovers(const ownership_view& view);

} // namespace pollenhaven

#endif
