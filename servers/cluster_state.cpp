#include "servers/cluster_state.hpp"

#include "core/log.hpp"
#include "servers/document_parser.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace pollenhaven
{

namespace
{

using nlohmann::json;

json parse_object(const std::string& text, const std::string& what)
{
    json object = json::parse(text, nullptr, false);
    if (!object.is_object())
        throw std::runtime_error(what + " in the key-value service is not a JSON object");
    return object;
}

void put_in_force(cluster_snapshot& snapshot)
{
    const std::string revision = std::to_string(snapshot.document_revision.value);
    try
    {
        snapshot.document =
            std::make_shared<operating_document>(parse_document(*snapshot.sections));
        snapshot.document_fault.clear();
        log_line(log_level::info, "operating document in force",
                 {{"revision", revision}});
    }
    catch (const document_error& error)
    {
        // The last good document stays in force.
        snapshot.document_fault = error.what();
        log_line(log_level::warning, "operating document refused",
                 {{"revision", revision}, {"fault", error.what()}});
    }
}

} // namespace

std::shared_ptr<const cluster_snapshot> cluster_state::snapshot() const
{
    const std::lock_guard lock(mutex_);
    return current_;
}

void cluster_state::update(const std::function<void(cluster_snapshot&)>& change)
{
    const std::lock_guard lock(mutex_);
    auto next = std::make_shared<cluster_snapshot>(*current_);
    change(*next);
    current_ = std::move(next);
}

std::string encode_ownership(const ownership_document& document)
{
    json object = {{"write_id", document.write_id}, {"endpoints", json::object()}};
    for (const auto& [endpoint, record] : document.endpoints)
        object["endpoints"][endpoint.value] = {{"owner", record.owner.value},
                                               {"incarnation", record.incarnation.value},
                                               {"epoch", record.epoch.value},
                                               {"listed", record.listed}};
    return object.dump();
}

ownership_document decode_ownership(const std::string& text)
{
    const json object = parse_object(text, "the ownership document");
    ownership_document document;
    document.write_id = object.value("write_id", "");
    const json endpoints = object.value("endpoints", json::object());
    for (const auto& [name, entry] : endpoints.items())
    {
        ownership_record& record = document.endpoints[{name}];
        record.owner = {entry.value("owner", "")};
        record.incarnation = {entry.value("incarnation", "")};
        record.epoch = {entry.value("epoch", std::uint64_t{0})};
        record.listed = entry.value("listed", false);
    }
    return document;
}

std::string encode_member(const member_record& member)
{
    const json object = {{"id", member.id.value},
                         {"incarnation", member.incarnation.value},
                         {"caller_address", member.caller_address.value},
                         {"peer_address", member.peer_address.value},
                         {"zone", member.zone},
                         {"leaving", member.leaving}};
    return object.dump();
}

member_record decode_member(const std::string& text)
{
    const json object = parse_object(text, "a member record");
    member_record member;
    member.id = {object.value("id", "")};
    member.incarnation = {object.value("incarnation", "")};
    member.caller_address = {object.value("caller_address", "")};
    member.peer_address = {object.value("peer_address", "")};
    member.zone = object.value("zone", "");
    member.leaving = object.value("leaving", false);
    return member;
}

bool adopt_ownership(cluster_snapshot& snapshot, const ownership_document& document,
                     store_revision revision)
{
    if (revision <= snapshot.ownership_revision)
        return false;
    snapshot.ownership = document;
    snapshot.ownership_revision = revision;
    return true;
}

bool adopt_sections(cluster_snapshot& snapshot,
                    const std::vector<document_section>& sections,
                    store_revision revision)
{
    auto merged = std::make_shared<section_map>(*snapshot.sections);
    bool changed = false;
    for (const document_section& section : sections)
    {
        document_section& known = (*merged)[section.name];
        if (section.revision <= known.revision)
            continue;
        known = section;
        changed = true;
    }
    snapshot.document_revision = std::max(snapshot.document_revision, revision);
    if (!changed)
        return false;
    snapshot.sections = std::move(merged);
    put_in_force(snapshot);
    return true;
}

bool is_leaving_instance(const cluster_snapshot& snapshot, const std::string& name)
{
    if (!snapshot.instances)
        return false;
    const auto listed = snapshot.instances->find(name);
    return listed != snapshot.instances->end() &&
           listed->second == instance_state::leaving;
}

} // namespace pollenhaven
