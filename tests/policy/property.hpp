#ifndef POLLENHAVEN_TESTS_POLICY_PROPERTY_HPP
#define POLLENHAVEN_TESTS_POLICY_PROPERTY_HPP

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

// Runs a property with RapidCheck. Seed and number of cases come from RC_PARAMS, which CI
// fixes; a failure prints the seed that repeats it.
template <class Property> void check_property(const char* name, const Property& property)
{
    BOOST_TEST(rc::check(name, property), "property '" << name << "' does not hold");
}

#endif
