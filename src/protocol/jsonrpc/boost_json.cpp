// Boost.JSON's sources, compiled once.
#include <boost/json/src.hpp>
