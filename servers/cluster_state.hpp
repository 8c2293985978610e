#ifndef POLLENHAVEN_SERVERS_CLUSTER_STATE_HPP
#define POLLENHAVEN_SERVERS_CLUSTER_STATE_HPP

#include "policy/ownership.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace pollenhaven
{

using section_map = std::map<std::string, document_section>;

// What a daemon knows of its region at one moment. Never changed once published.
struct cluster_snapshot
{
    std::shared_ptr<const operating_document> document =
        std::make_shared<operating_document>();
    // The newest sections seen, as text, to relay to peers. They may be newer than the
    // document in force if they hold a fault.
    std::shared_ptr<const section_map> sections = std::make_shared<section_map>();
    store_revision document_revision;
    // Why the newest sections are not in force; empty if they are.
    std::string document_fault;

    ownership_document ownership;
    store_revision ownership_revision;
    // Daemons whose leases the key-value service shows.
    std::map<daemon_id, member_record> members;
    // The same and, besides, those still heard although their leases lapsed, for example
    // in an outage of the service. Requests and gossip go to these.
    std::map<daemon_id, member_record> known_members;
    std::optional<std::map<std::string, instance_state>> instances;
    daemon_id store_holder;
    bool self_leaving = false;
    // Endpoints of ours that go to another member as soon as they are idle.
    std::set<endpoint_id> handing_over;
    bool key_value_answering = false;
};

// Publishes snapshots to all duties. Thread-safe.
class cluster_state
{
public:
    std::shared_ptr<const cluster_snapshot> snapshot() const;
    // Applies a change to a copy and publishes it.
    void update(const std::function<void(cluster_snapshot&)>& change);

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const cluster_snapshot> current_ =
        std::make_shared<cluster_snapshot>();
};

// The ownership document's text in the key-value service, and back. Throws
// std::runtime_error if the text can't be read.
std::string encode_ownership(const ownership_document& document);
ownership_document decode_ownership(const std::string& text);
std::string encode_member(const member_record& member);
member_record decode_member(const std::string& text);

// Adopts an ownership document only if it is strictly newer than the one known. A peer
// that lags can so never take a daemon back. Returns true if it was adopted.
bool adopt_ownership(cluster_snapshot& snapshot, const ownership_document& document,
                     store_revision revision);

// Adopts sections that are strictly newer than those known and puts the document in force
// if it is free of faults. Returns true if anything was adopted.
bool adopt_sections(cluster_snapshot& snapshot,
                    const std::vector<document_section>& sections,
                    store_revision revision);

// True if the platform says that the named instance is leaving.
bool is_leaving_instance(const cluster_snapshot& snapshot, const std::string& name);

} // namespace pollenhaven

#endif
