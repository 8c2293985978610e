#include "servers/document_parser.hpp"

#include "servers/socket.hpp"
#include "servers/toml_reader.hpp"

namespace pollenhaven
{

namespace
{

constexpr double highest_weight = 1e6;
constexpr double highest_load_rate = 1e5;
constexpr int highest_burst = 1000;
constexpr int highest_in_flight = 10000;
constexpr int highest_load_time_ms = 600000;

[[noreturn]] void fail(const std::string& message)
{
    throw document_error(message);
}

[[noreturn]] void fail_at(const std::string& source, const toml::node& node,
                          const std::string& message)
{
    fail(source + ":" + line_of(node) + ": " + message);
}

using entry_function = std::function<void(toml_reader&)>;

// Calls the function for every entry of an array of tables, such as [[partner]].
void for_each_entry(const toml::table& root, const std::string& source,
                    const std::string& name, const entry_function& read)
{
    const toml::node* node = root.get(name);
    if (node == nullptr)
        return;
    const toml::array* entries = node->as_array();
    if (entries == nullptr)
        fail(source + ":" + line_of(*node) + ": " + name + " must be written as [[" +
             name + "]]");
    for (const toml::node& entry : *entries)
    {
        const toml::table* table = entry.as_table();
        if (table == nullptr)
            fail_at(source, entry, name + " must hold tables");
        toml_reader reader(*table, source, name, fail);
        read(reader);
        reader.refuse_unknown_keys();
    }
}

void read_partner(operating_document& document, toml_reader& reader)
{
    partner_entry partner;
    partner.id = {reader.required_text("name")};
    partner.weight = reader.real("weight", 1.0, 0.0, highest_weight);
    if (!document.partners.emplace(partner.id, partner).second)
        reader.fault_at("name", "'" + partner.id.value + "' is defined twice");
}

void read_adapter(operating_document& document, toml_reader& reader)
{
    const std::string name = reader.required_text("name");
    if (name.find('@') != std::string::npos)
        reader.fault_at("name", "'" + name + "' must not contain '@'");
    adapter_entry adapter;
    adapter.partner = {reader.required_text("partner")};
    const std::string priority =
        reader.word("priority", "interactive", {"interactive", "overnight"});
    adapter.priority =
        priority == "overnight" ? work_class::overnight : work_class::interactive;
    const std::vector<std::string> versions = reader.texts("versions");
    if (versions.empty())
        reader.fault_at("versions", "must name at least one version");
    for (const std::string& version : versions)
    {
        adapter.model = {name};
        adapter.model.value.append("@").append(version);
        if (!document.adapters.emplace(adapter.model, adapter).second)
            reader.fault_at("versions", "'" + adapter.model.value + "' is defined twice");
    }
}

void read_service(operating_document& document, toml_reader& reader)
{
    service_entry service;
    service.id = {reader.required_text("name")};
    service.partner = {reader.required_text("partner")};
    service.idempotent = reader.boolean("idempotent", false);
    if (!document.services.emplace(service.id, service).second)
        reader.fault_at("name", "'" + service.id.value + "' is defined twice");
}

void read_endpoint(operating_document& document, toml_reader& reader)
{
    endpoint_entry endpoint;
    endpoint.id = {reader.required_text("name")};
    endpoint.address = {reader.required_text("address")};
    endpoint.kind = reader.word("kind", "engine", {"engine", "service"}) == "service"
                        ? endpoint_kind::service
                        : endpoint_kind::engine;
    endpoint.service = {reader.text("service", "")};
    endpoint.checks_fencing = reader.boolean("checks_fencing", false);
    endpoint.zone = reader.text("zone", "");
    for (const std::string& partner : reader.texts("partners"))
        endpoint.partners.insert({partner});
    if (endpoint.kind == endpoint_kind::service && endpoint.service.empty())
        reader.fault_at("service",
                        "must name the service that this endpoint is a worker of");
    try
    {
        split_address(endpoint.address);
    }
    catch (const std::runtime_error& error)
    {
        reader.fault_at("address", std::string("is wrong: ") + error.what());
    }
    if (!document.endpoints.emplace(endpoint.id, endpoint).second)
        reader.fault_at("name", "'" + endpoint.id.value + "' is defined twice");
}

void read_store(operating_document& document, const toml::table& root,
                const std::string& source)
{
    const toml::node* node = root.get("store");
    if (node == nullptr)
        return;
    const toml::table* table = node->as_table();
    if (table == nullptr)
        fail(source + ":" + line_of(*node) + ": store must be a table");
    toml_reader reader(*table, source, "store", fail);
    store_limits& store = document.store;
    store.loads_per_second =
        reader.real("loads_per_second", store.loads_per_second, 0.001, highest_load_rate);
    store.burst = static_cast<int>(reader.number("burst", store.burst, 1, highest_burst));
    store.max_in_flight = static_cast<int>(
        reader.number("max_in_flight", store.max_in_flight, 1, highest_in_flight));
    store.load_time = milliseconds(
        reader.number("load_time_ms", store.load_time.count(), 1, highest_load_time_ms));
    reader.refuse_unknown_keys();
}

void refuse_unknown_tables(const toml::table& root, const std::string& source)
{
    static const std::set<std::string> known = {"partner", "adapter", "service",
                                                "endpoint", "store"};
    for (const auto& [key, node] : root)
    {
        if (known.count(std::string(key.str())) == 0)
            fail(source + ":" + line_of(node) + ": '" + std::string(key.str()) +
                 "' is not a known table; known: adapter, endpoint, partner, service, "
                 "store");
    }
}

void read_section(operating_document& document, const document_section& section)
{
    const std::string source = "section " + section.name;
    toml::table root;
    try
    {
        root = toml::parse(section.text);
    }
    catch (const toml::parse_error& error)
    {
        fail(source + ":" + std::to_string(error.source().begin.line) + ": " +
             std::string(error.description()));
    }
    refuse_unknown_tables(root, source);
    for_each_entry(root, source, "partner",
                   [&](toml_reader& reader) { read_partner(document, reader); });
    for_each_entry(root, source, "adapter",
                   [&](toml_reader& reader) { read_adapter(document, reader); });
    for_each_entry(root, source, "service",
                   [&](toml_reader& reader) { read_service(document, reader); });
    for_each_entry(root, source, "endpoint",
                   [&](toml_reader& reader) { read_endpoint(document, reader); });
    read_store(document, root, source);
}

void require_partner(const operating_document& document, const partner_id& partner,
                     const std::string& user)
{
    if (document.partners.count(partner) == 0)
        fail(user + " names partner '" + partner.value + "', which no section defines");
}

void check_references(const operating_document& document)
{
    for (const auto& [model, adapter] : document.adapters)
        require_partner(document, adapter.partner, "adapter '" + model.value + "'");
    for (const auto& [id, service] : document.services)
        require_partner(document, service.partner, "service '" + id.value + "'");
    for (const auto& [id, endpoint] : document.endpoints)
    {
        for (const partner_id& partner : endpoint.partners)
            require_partner(document, partner, "endpoint '" + id.value + "'");
        if (endpoint.kind == endpoint_kind::service &&
            document.services.count(endpoint.service) == 0)
            fail("endpoint '" + id.value + "' names service '" + endpoint.service.value +
                 "', which no section defines");
    }
}

} // namespace

operating_document parse_document(const std::map<std::string, document_section>& sections)
{
    operating_document document;
    for (const auto& [name, section] : sections)
        read_section(document, section);
    check_references(document);
    return document;
}

} // namespace pollenhaven
