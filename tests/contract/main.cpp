#define BOOST_TEST_MODULE contract
#include <boost/test/unit_test.hpp>
