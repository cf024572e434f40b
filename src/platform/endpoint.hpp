/// Conversion of configured addresses to Asio endpoints.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "config.hpp"

namespace paddlestand::platform {

inline boost::asio::ip::tcp::endpoint endpoint_of(const Address& address) {
  return {boost::asio::ip::address_v4(address.host), address.port};
}

}  // namespace paddlestand::platform
