/// A client's connection to a manager. Included only by client.cpp and client_connection.cpp.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <vector>

#include "client.hpp"
#include "protocol/pg/frame.hpp"
#include "protocol/pg/messages.hpp"

namespace paddlestand::simulation {

/// A socket, the reader of its frames, and the session's cancel key.
struct Clients::Connection {
  static constexpr std::size_t max_message_bytes = 64U << 20U;
  static constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;

  Connection(boost::asio::io_context& io, std::uint32_t manager_index)
      : socket(io), frames(max_message_bytes), buffer(read_buffer_bytes), manager(manager_index) {}

  void close() {
    boost::system::error_code ignored;
    socket.close(ignored);
  }

  tcp::socket socket;
  pg::FrameReader frames;
  std::vector<char> buffer;
  std::uint32_t manager;
  pg::CancelKey key;
};

}  // namespace paddlestand::simulation
