/// All client connections: admission within the limit of descriptors, time limits and memory limits.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "client.hpp"
#include "resource_limits.hpp"

namespace paddlestand::platform {

/// Owns the connections. Its arguments must outlive it.
class ClientRegistry {
 public:
  using tcp = boost::asio::ip::tcp;

  ClientRegistry(PlatformHost& host, RequestHandler& requests, const jsonrpc::CallReader& calls,
                 const ServerLifecycle& lifecycle, const ResourceLimits& limits);

  /// Starts a connection that may have waited for `accept_delay` to be accepted. At the limit, an idle
  /// connection is closed to make room; if there is none, the new connection is closed unread.
  void accept(tcp::socket socket, Duration accept_delay);
  /// Ends the connections whose time limits have passed. If the buffers of all connections exceed the limit,
  /// turns clients away, first those to which no answer is owed.
  void sweep(TimePoint now);
  /// Closes all idle connections gracefully.
  void finish_idle();
  /// Closes all connections immediately, before the process exits.
  void close_all();

  [[nodiscard]] std::size_t size() const { return clients_.size(); }
  [[nodiscard]] bool is_empty() const { return clients_.empty(); }
  [[nodiscard]] std::size_t unwritten_bytes() const;
  /// Bytes of input received on connections that were already ending.
  [[nodiscard]] std::size_t dropped_bytes() const { return dropped_bytes_; }

  // ---- For connections ----

  void remove(const Client& client) { clients_.erase(client.number()); }
  void count_dropped(std::size_t bytes) { dropped_bytes_ += bytes; }
  /// Counts a connection that is closed because of a fault, and logs that at most once per second.
  void log_rejection(const Client& client, const jsonrpc::Problem& problem);
  /// Logs a close if requests were open, or with --trace.
  void log_close(const Client& client, std::string_view reason, std::size_t open_requests);

 private:
  using Clients = std::vector<std::shared_ptr<Client>>;

  bool make_room();
  [[nodiscard]] std::shared_ptr<Client> best_to_evict(const std::shared_ptr<Client>& excluded) const;
  void turn_away_holders(Clients clients, std::size_t buffered_bytes);
  [[nodiscard]] Clients all() const;

  PlatformHost& host_;
  ClientContext context_;
  ResourceLimits limits_;
  std::map<std::uint64_t, std::shared_ptr<Client>> clients_;  // by number, in order of arrival
  std::uint64_t last_number_ = 0;
  std::size_t dropped_bytes_ = 0;
  std::uint64_t rejections_ = 0;
  TimePoint rejection_logged_at_{};
};

}  // namespace paddlestand::platform
