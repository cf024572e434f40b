#include "graceful_closer.hpp"

#include <string>
#include <utility>

#include "spawn.hpp"

namespace paddlestand::service {
namespace asio = boost::asio;

namespace {

constexpr std::size_t max_lingering = 256;  // each occupies a descriptor for up to a second
constexpr std::size_t max_rejecting = 64;
constexpr int max_write_attempts = 16;

}  // namespace

void GracefulCloser::close(StreamSocket socket) {
  if (lingering_ >= max_lingering) return;  // the socket's destructor closes it
  ++lingering_;
  spawn(io_, linger(std::move(socket)));
}

asio::awaitable<void> GracefulCloser::linger(StreamSocket socket) {
  co_await linger_and_close(std::move(socket));
  --lingering_;
}

bool GracefulCloser::can_reject() const { return rejecting_ < max_rejecting; }

void GracefulCloser::reject(StreamSocket socket, const pg::Fields& error) {
  std::string bytes;
  pg::put_error(bytes, error);
  ++rejecting_;
  spawn(io_, write_and_linger(std::move(socket), std::move(bytes)));
}

asio::awaitable<void> GracefulCloser::write_and_linger(StreamSocket socket, std::string bytes) {
  for (int attempts = 0; attempts < max_write_attempts && !bytes.empty(); ++attempts) {
    const IoResult sent = socket.send(bytes);
    if (sent.status == IoStatus::ended) break;
    bytes.erase(0, sent.bytes);
    if (sent.status != IoStatus::progress) { co_await pause_for(io_, shortage_pause); }
  }
  // Lingering reads the startup message: closing with unread input would reset the connection and discard the
  // error.
  co_await linger_and_close(std::move(socket));
  --rejecting_;
}

}  // namespace paddlestand::service
