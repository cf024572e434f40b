/// The clients of a day. They send requests, wait, cancel, disconnect and retry; they log only what they sent
/// and received.
#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "scenario.hpp"

namespace paddlestand::simulation {

/// How an attempt ended, as observed by its client.
enum class OutcomeKind : std::uint8_t {
  none,  ///< a complete answer without CommandComplete or an error
  served,
  rejected,
  failed,
  timed_out,  ///< the manager answered that the deadline had passed
  cancelled,
  disconnected,  ///< by the client
  lost,  ///< the connection ended without an answer
  unanswered,  ///< no answer within the client timeout and the observation time after it
  connect_failed,  ///< no connection could be opened, so nothing was sent
  count
};
/// The outcome's name in the log.
[[nodiscard]] std::string_view name_of(OutcomeKind kind);

/// The outcomes of the attempts of one class.
struct ClassResults {
  std::uint64_t attempts = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(OutcomeKind::count)> by_outcome{};
  std::vector<double> served_ms;  ///< response times of served attempts, in order of completion

  [[nodiscard]] std::uint64_t count(OutcomeKind kind) const {
    return by_outcome[static_cast<std::size_t>(kind)];
  }
};

/// All clients of a day and their connection pools. Used only on the event loop's thread.
class Clients {
 public:
  using tcp = boost::asio::ip::tcp;

  /// `ports`: the managers' ports on loopback. `io`, `day` and `log` must outlive this object.
  Clients(boost::asio::io_context& io, const Day& day, std::vector<std::uint16_t> ports, std::FILE* log);

  /// Starts a request, including its retries, and returns immediately.
  void start_request(const Arrival& arrival);

  /// Number of requests that have not ended.
  [[nodiscard]] std::size_t open_requests() const { return open_requests_; }
  /// Results by class.
  [[nodiscard]] const std::vector<ClassResults>& results() const { return results_; }

 private:
  template <typename T = void>
  using awaitable = boost::asio::awaitable<T>;
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  /// How an attempt ended, and the retry advice in its answer.
  struct Outcome {
    OutcomeKind kind = OutcomeKind::none;
    bool is_retry_safe = false;
    std::optional<Duration> retry_after;
  };
  /// The answer received for one query.
  struct Answer;
  /// How the client's timer ended the connection, if it did.
  struct Interruption;

  awaitable<> run_request(Arrival arrival);
  [[nodiscard]] bool may_retry(const Arrival& arrival, const Outcome& outcome, Duration elapsed) const;
  awaitable<Outcome> attempt(const Arrival& arrival, std::uint32_t number);
  awaitable<Answer> exchange(const std::string& id, ConnectionPtr connection, std::string bytes);
  void on_frame_after_answer(const std::string& id, Connection& connection, char type, std::string_view body);
  void schedule_interruption(const Arrival& arrival, const ConnectionPtr& connection,
                             boost::asio::steady_timer& timer,
                             const std::shared_ptr<Interruption>& interruption);
  void schedule_cancel(Duration delay, const ConnectionPtr& connection, boost::asio::steady_timer& timer);
  static Outcome outcome_of(const Answer& answer, const Interruption& interruption);
  void record(const Arrival& arrival, const Outcome& outcome, double elapsed_ms);

  awaitable<ConnectionPtr> acquire_connection(std::uint32_t manager);
  ConnectionPtr pop_idle_connection(std::uint32_t manager);
  awaitable<bool> open(Connection& connection);
  void release(const ConnectionPtr& connection);
  awaitable<> send_cancel(std::uint32_t manager, std::uint32_t process, std::uint32_t secret);

  [[nodiscard]] std::string statement_of(const Arrival& arrival, const std::string& id) const;
  void log_request(const Arrival& arrival, const std::string& id);
  void log_answer(const std::string& id, const Outcome& outcome, std::uint64_t rows);
  void write_log(const nlohmann::json& line);

  boost::asio::io_context& io_;
  const Day& day_;
  std::vector<std::uint16_t> ports_;
  std::FILE* log_;
  std::uint32_t max_connections_;  // per manager
  std::vector<std::vector<ConnectionPtr>> idle_connections_;  // by manager
  std::vector<std::uint32_t> connections_;  // number of open ones, by manager
  std::vector<std::unique_ptr<boost::asio::steady_timer>>
      connection_free_;  // by manager; cancelled to wake waiting requests
  std::size_t open_requests_ = 0;
  std::vector<ClassResults> results_;
};

}  // namespace paddlestand::simulation
