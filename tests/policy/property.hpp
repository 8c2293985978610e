#ifndef POLLENHAVEN_TESTS_POLICY_PROPERTY_HPP
#define POLLENHAVEN_TESTS_POLICY_PROPERTY_HPP

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

// Checks a property with RapidCheck. RC_PARAMS sets the seed and the number of cases; CI
// uses fixed values. A failure prints the seed that reproduces it.
template <class Property> void check_property(const char* name, const Property& property)
{
    BOOST_TEST(rc::check(name, property), "property '" << name << "' does not hold");
}

#endif
