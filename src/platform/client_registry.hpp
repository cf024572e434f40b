/// All client connections: admission within the limit of descriptors, time limits and memory limits.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "client.hpp"
#include "input_account.hpp"
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
  /// Ends the connections whose time limits have passed. Closes clients that do not read if unwritten answers
  /// exceed twice their limit.
  void sweep(TimePoint now);
  /// Reads all unread input of the connections that wait to be read on, and turns those away whose message is
  /// incomplete. For the end of the process, when nothing can be waited for.
  void finish_unread_input();
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
  [[nodiscard]] const std::shared_ptr<InputAccount>& input_account() const { return input_account_; }
  /// Refuses incomplete messages until the memory of clients' input is within its limit.
  void make_room_for_input();
  /// Whether one more line of this size may be held for a client that has not read its earlier ones.
  [[nodiscard]] bool has_capacity_for_output(std::size_t bytes) const {
    return unwritten_bytes() + bytes <= limits_.max_unwritten_bytes;
  }
  /// Lets a connection read on after those that already wait. All of them share a bounded time in each turn
  /// of the event loop, so that connections with little input do not wait for them.
  void add_to_backlog(std::shared_ptr<Client> client);
  void count_dropped(std::size_t bytes) { dropped_bytes_ += bytes; }
  /// Counts a connection that is closed because of a fault, and logs that at most once per second.
  void log_rejection(const Client& client, const jsonrpc::Problem& problem);
  /// Logs a close if requests were open, or with --trace.
  void log_close(const Client& client, std::string_view reason, std::size_t open_requests);

 private:
  using Clients = std::vector<std::shared_ptr<Client>>;

  void schedule_backlog();
  void read_backlog();
  bool make_room();
  [[nodiscard]] std::shared_ptr<Client> best_to_evict(const std::shared_ptr<Client>& excluded) const;
  [[nodiscard]] std::shared_ptr<Client> next_to_refuse() const;
  void close_non_readers(TimePoint now);
  void log_backlog(const Client& client, std::size_t bytes, std::string_view text);
  [[nodiscard]] Clients all() const;

  PlatformHost& host_;
  ClientContext context_;
  ResourceLimits limits_;
  std::shared_ptr<InputAccount> input_account_;
  std::map<std::uint64_t, std::shared_ptr<Client>> clients_;  // by number, in order of arrival
  std::deque<std::shared_ptr<Client>> backlog_;  // those with more input than one read takes
  bool is_backlog_scheduled_ = false;
  TimePoint backlog_read_at_{};  // when it was last read
  std::uint64_t last_number_ = 0;
  std::size_t dropped_bytes_ = 0;
  std::uint64_t rejections_ = 0;
  TimePoint rejection_logged_at_{};
  TimePoint backlog_logged_at_{};
};

}  // namespace paddlestand::platform
