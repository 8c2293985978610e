#ifndef POLLENHAVEN_TESTS_PROCESS_CHECKS_HPP
#define POLLENHAVEN_TESTS_PROCESS_CHECKS_HPP

#include "tests/harness/background_traffic.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>

namespace pollenhaven::harness
{

// Checks, from the stand-ins' own records, that no promise was broken while a load ran.
inline void check_delivery_guarantees(const fleet& deployment,
                                      const traffic_counts& counts)
{
    BOOST_TEST(counts.wrong_text == 0);
    BOOST_TEST(count_guarantee_violations(deployment, counts) == 0);
    BOOST_TEST(deployment.max_executions_per_request() <= 1);
    BOOST_TEST(deployment.adapter_slot_overflows() == 0);
}

// Which daemon the others take for the holder of each engine's orders.
inline std::map<std::string, std::string> holders_by_engine(const fleet& deployment,
                                                            int asked)
{
    std::map<std::string, std::string> found;
    for (const nlohmann::json& line : deployment.read_operator_report(asked, "endpoints"))
        if (line["service"] == "assistant")
            found[line["endpoint"]] = line["holder"];
    return found;
}

// Asks for a short answer on an adapter of the base model.
inline bool serves_adapter(const fleet& deployment, int daemon,
                           const std::string& adapter)
{
    return deployment.send_openai_chat(daemon, "base/" + adapter, "x", 2).status == 200;
}

// No engine hears two daemons in turn: after the first order of another holder there is
// none of the one before, unless it took the engine over again.
inline void check_fencing_tokens_never_decrease(const fleet& deployment, int engines)
{
    for (int engine = 0; engine < engines; ++engine)
    {
        std::uint64_t highest = 0;
        for (const nlohmann::json& order : deployment.received_orders(engine))
        {
            const std::uint64_t token = order["fencingToken"];
            BOOST_TEST(token >= highest, "engine " << engine << " got an old order");
            highest = std::max(highest, token);
        }
    }
}

} // namespace pollenhaven::harness

#endif
