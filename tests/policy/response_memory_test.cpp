#include "policy/fleet/response_memory.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;

BOOST_AUTO_TEST_SUITE(response_memory)

// Guards against responses that together take more than a small instance has (LOST).
BOOST_AUTO_TEST_CASE(unfinished_responses_may_take_a_tenth_of_the_memory)
{
    constexpr std::size_t mb = 1UL << 20U;
    BOOST_TEST(held_response_limit(160) == 16 * mb);
    BOOST_TEST(held_response_limit(512.5) == mb * 5125 / 100);
    // One response fits in any instance.
    BOOST_TEST(held_response_limit(32) == max_response_bytes);
}

BOOST_AUTO_TEST_SUITE_END()
