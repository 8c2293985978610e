#ifndef POLLENHAVEN_TESTS_PROCESS_CHECKS_HPP
#define POLLENHAVEN_TESTS_PROCESS_CHECKS_HPP

#include "tests/harness/background_load.hpp"

#include <boost/test/unit_test.hpp>

namespace pollenhaven::harness
{

// Checks, from the stand-ins' own records, that no promise was broken while a load ran.
inline void check_nothing_broken(const cluster& deployment, const load_counts& counts)
{
    BOOST_TEST(counts.wrong == 0);
    BOOST_TEST(broken_promises(deployment, counts) == 0);
    BOOST_TEST(deployment.engine_total("evicted_in_use") == 0);
    BOOST_TEST(deployment.engine_total("old_fencing_obeyed") == 0);
    BOOST_TEST(deployment.engine_total("generated_twice") == 0);
}

} // namespace pollenhaven::harness

#endif
