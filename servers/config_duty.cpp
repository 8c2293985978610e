#include "servers/config_duty.hpp"

#include "core/log.hpp"

namespace pollenhaven
{

namespace
{

constexpr milliseconds outage_pause{500};

} // namespace

std::vector<document_section> read_sections(const key_value_store& store,
                                            const std::string& region,
                                            store_revision& revision)
{
    const std::string prefix = document_prefix(region);
    const range_result range = store.range(prefix);
    std::vector<document_section> sections;
    for (const stored_value& value : range.values)
    {
        sections.push_back(
            {value.key.substr(prefix.size()), value.value, value.modified});
        revision = std::max(revision, value.modified);
    }
    return sections;
}

config_duty::config_duty(daemon_context& context)
    : context_(context), thread_([this] { run(); })
{
}

config_duty::~config_duty()
{
    context_.stopping = true;
    thread_.join();
}

void config_duty::run()
{
    while (!context_.stopping)
    {
        try
        {
            read_document();
            const store_revision known = context_.cluster.snapshot()->document_revision;
            context_.key_value.wait_for_change(document_prefix(context_.settings.region),
                                               known, context_.stopping);
        }
        catch (const key_value_error& error)
        {
            log_line(log_level::warning, "operating document can't be followed",
                     {{"error", error.what()}});
            std::this_thread::sleep_for(outage_pause);
        }
    }
}

void config_duty::read_document()
{
    store_revision revision;
    const std::vector<document_section> sections =
        read_sections(context_.key_value, context_.settings.region, revision);
    context_.cluster.update([&](cluster_snapshot& known)
                            { adopt_sections(known, sections, revision); });
}

} // namespace pollenhaven
