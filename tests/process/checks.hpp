#ifndef POLLENHAVEN_TESTS_PROCESS_CHECKS_HPP
#define POLLENHAVEN_TESTS_PROCESS_CHECKS_HPP

#include "tests/harness/background_traffic.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>

namespace pollenhaven::harness
{

// Checks against the records of the stand-ins that all delivery guarantees held while the
// traffic ran: complete streams have the right text, no request ran more than once,
// the verdicts of bookings are correct, and no engine got more adapters than it has
// slots.
inline void check_delivery_guarantees(const fleet& deployment,
                                      const traffic_counts& counts)
{
    BOOST_TEST(counts.wrong_text == 0);
    BOOST_TEST(count_guarantee_violations(deployment, counts) == 0);
    BOOST_TEST(deployment.max_executions_per_request() <= 1);
    BOOST_TEST(deployment.adapter_slot_overflows() == 0);
}

// The holder of each engine, as reported by the daemon `observer`.
inline std::map<std::string, std::string> holders_by_engine(const fleet& deployment,
                                                            int observer)
{
    std::map<std::string, std::string> holders;
    for (const nlohmann::json& endpoint :
         deployment.read_operator_report(observer, "endpoints"))
        if (endpoint["service"] == "assistant")
            holders[endpoint["endpoint"]] = endpoint["holder"];
    return holders;
}

// Returns the holders of all engines as daemon 0 knows them, once it knows all of them.
inline std::map<std::string, std::string> settled_holders(const fleet& deployment,
                                                          int engines)
{
    std::map<std::string, std::string> holders;
    const bool is_settled = fleet::wait_for(
        [&]
        {
            holders = holders_by_engine(deployment, 0);
            return static_cast<int>(holders.size()) == engines &&
                   std::none_of(holders.begin(), holders.end(),
                                [](const auto& entry) { return entry.second.empty(); });
        },
        std::chrono::seconds(15));
    BOOST_REQUIRE(is_settled);
    return holders;
}

// Sends a short chat on an adapter of the base model. Returns true if it was served.
inline bool serves_adapter(const fleet& deployment, int daemon,
                           const std::string& adapter)
{
    return deployment.send_openai_chat(daemon, "base/" + adapter, "x", 2).status == 200;
}

// Checks that no engine received an order of an earlier holder after the first order of a
// later one. Each change of the holder increases the fencing token.
inline void check_fencing_tokens_never_decrease(const fleet& deployment, int engines)
{
    for (int engine = 0; engine < engines; ++engine)
    {
        std::uint64_t highest = 0;
        for (const nlohmann::json& order : deployment.received_orders(engine))
        {
            const std::uint64_t token = order["fencingToken"];
            BOOST_TEST(token >= highest,
                       "engine " << engine
                                 << " received an order with an old fencing token");
            highest = std::max(highest, token);
        }
    }
}

// The software version of an engine, by its id.
inline std::string software_of(const fleet_options& options, const std::string& engine)
{
    return options.engine_software.at(
        static_cast<std::size_t>(std::stoi(engine.substr(engine.find('-') + 1))));
}

// Returns true if an event of the stream came from an engine of another version.
inline bool has_event_of_other_version(const fleet_options& options,
                                       const event_stream& stream,
                                       const std::string& version)
{
    return std::any_of(stream.events.begin(), stream.events.end(),
                       [&](const auto& event)
                       { return software_of(options, event.second) != version; });
}

inline void set_store_link(const fleet& deployment, int daemon, const std::string& mode)
{
    control_standin(deployment.store_proxy_control_address(daemon), {{"mode", mode}});
}

inline void set_store_links(const fleet& deployment, const std::string& mode)
{
    for (int daemon = 0; daemon < deployment.daemon_count(); ++daemon)
        set_store_link(deployment, daemon, mode);
}

inline std::string request_id(const std::string& kind, int number)
{
    return kind + "-" + std::to_string(number);
}

} // namespace pollenhaven::harness

#endif
