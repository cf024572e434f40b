/// Addresses of the configuration as Asio has them.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "config.hpp"

namespace paddlestand::platform {

inline boost::asio::ip::tcp::endpoint endpoint_of(const Address& at) {
  return {boost::asio::ip::address_v4(at.host), at.port};
}

}  // namespace paddlestand::platform
