// Asio's sources, compiled once for all libraries that link to it.
#include <boost/asio/impl/src.hpp>
