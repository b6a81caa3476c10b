// The main function of each module's test program.
#define BOOST_TEST_MODULE anvilturn
#include <boost/test/unit_test.hpp>
