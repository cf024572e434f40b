// Asio's sources, compiled once.
#include <boost/asio/impl/src.hpp>
