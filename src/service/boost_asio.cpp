// Compiles Asio's sources once for all libraries that link to them.
#include <boost/asio/impl/src.hpp>
