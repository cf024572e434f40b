/// A client process of a fault run. Its clients send requests at random times, cancel, disconnect and write
/// slowly, and record the outcome of each request.
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <list>
#include <map>
#include <random>
#include <string_view>
#include <utility>
#include <vector>

#include "client_commands.hpp"
#include "client_connection.hpp"
#include "client_protocol.hpp"
#include "event_log.hpp"
#include "monotonic_clock.hpp"
#include "processes.hpp"

namespace paddlestand::faults {
namespace {

// Time allowed after the client timeout: 0.5 s for the manager, 0.2 s for delays of the machine.
constexpr std::int64_t answer_slack = 700 * ns_per_millisecond;
// Clients close connections after 4 s of idle time.
constexpr std::int64_t idle_timeout = 3800 * ns_per_millisecond;
// One new connection to each manager.
constexpr std::int64_t idle_connection_period = 100 * ns_per_millisecond;
constexpr std::size_t max_open_requests = 8;  // per connection
constexpr int burst_requests = 4;  // written together

// Probabilities per request, or per write of one or more requests.
constexpr double cancel_probability = 0.04;
constexpr double disconnect_probability = 0.02;
constexpr double slow_write_probability = 0.02;
constexpr double burst_probability = 0.05;
constexpr double reuse_probability = 0.9;  // of reusing a connection with capacity when a new one is allowed
constexpr double short_timeout_probability = 0.1;
constexpr double unsafe_above = 0.85;
constexpr double keyed_above = 0.7;

class Clients {
 public:
  explicit Clients(const ClientOptions& options)
      : options_(options),
        log_(options.log),
        random_(options.seed * 7919 + options.number),
        may_connect_(options.managers.size(), true),
        next_request_(monotonic_now()) {}

  int run() {
    while (!finishing_ || has_open_requests()) {
      open_idle_connections();
      send_due_requests();
      poll_input();
      run_timers();
    }
    return 0;
  }

 private:
  using ConnectionIterator = std::list<ClientConnection>::iterator;

  // ---- Random draws. Their order must not change, or a seed would produce a different run. ----

  double draw_uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  bool misbehaves_with(double probability) { return options_.misbehaves && draw_uniform() < probability; }
  /// A whole number of milliseconds, in nanoseconds.
  std::int64_t draw_ms(std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least, most)(random_) * ns_per_millisecond;
  }
  std::uint64_t draw_trace() {
    constexpr std::uint64_t random_bits = 0x00ffffffffffffffU;
    constexpr unsigned number_shift = 56;
    const std::uint64_t drawn = std::uniform_int_distribution<std::uint64_t>()(random_);
    return (drawn & random_bits) | (std::uint64_t{options_.number} << number_shift);
  }
  RequestClass draw_class() {
    const double drawn = draw_uniform();
    if (drawn > unsafe_above) return RequestClass::settle;
    return drawn > keyed_above ? RequestClass::load : RequestClass::lookup;
  }
  ClientRequest draw_request(std::int64_t id) {
    constexpr std::int64_t short_timeout_ms = 40;
    constexpr std::int64_t usual_timeout_ms = 250;
    constexpr std::int64_t max_timeout_ms = 1200;
    ClientRequest request;
    request.id = id;
    request.trace = draw_trace();
    const bool is_short = draw_uniform() < short_timeout_probability;
    request.client_timeout_ms =
        draw_ms(is_short ? short_timeout_ms : usual_timeout_ms, max_timeout_ms) / ns_per_millisecond;
    request.request_class = draw_class();
    return request;
  }

  // ---- Connections ----

  [[nodiscard]] bool has_open_requests() const {
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const ClientConnection& connection) { return !connection.is_idle(); });
  }

  void open_idle_connections() {
    if (options_.idle_connections == 0 || finishing_ || monotonic_now() < next_idle_connections_) return;
    next_idle_connections_ = monotonic_now() + idle_connection_period;
    for (std::uint32_t i = 0; i < options_.managers.size(); ++i) {
      if (!may_connect_[i] || count_idle_connections(i) >= options_.idle_connections) continue;
      if (ClientConnection* connection = connect(i)) connection->stays_idle = true;
    }
  }

  [[nodiscard]] std::int64_t count_idle_connections(std::uint32_t manager) const {
    return std::count_if(connections_.begin(), connections_.end(),
                         [manager](const ClientConnection& connection) {
                           return connection.stays_idle && connection.manager == manager;
                         });
  }

  /// Opens a connection. Returns null on failure.
  ClientConnection* connect(std::uint32_t manager) {
    auto connected = Connection::connect(options_.managers[manager]);
    if (!connected) return nullptr;
    return &connections_.emplace_back(std::move(*connected), manager);
  }

  /// Returns an existing connection with capacity or a new one; null if neither is available.
  ClientConnection* connection_for_request(std::uint32_t manager) {
    std::vector<ClientConnection*> usable;
    std::uint32_t all = 0;
    for (ClientConnection& connection : connections_) {
      if (connection.manager != manager || connection.stays_idle) continue;
      ++all;
      if (has_capacity(connection)) usable.push_back(&connection);
    }
    if (!usable.empty() && (all >= options_.max_connections || draw_uniform() < reuse_probability))
      return usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(random_)];
    if (!may_connect_[manager] || all >= options_.max_connections) return nullptr;
    return connect(manager);
  }

  static bool has_capacity(const ClientConnection& connection) {
    return !connection.delayed_write && connection.open.size() < max_open_requests && !has_ended(connection);
  }

  /// Whether the manager has closed the connection: clients send no requests on it.
  static bool has_ended(const ClientConnection& connection) {
    char next{};
    return ::recv(connection.connection.socket(), &next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  // ---- Requests ----

  void send_due_requests() {
    while (!finishing_ && next_request_ <= monotonic_now()) {
      const double gap_s = std::exponential_distribution<double>(options_.requests_per_s)(random_);
      next_request_ += from_seconds(gap_s);
      const auto last_manager = static_cast<std::uint32_t>(options_.managers.size()) - 1;
      const auto manager = std::uniform_int_distribution<std::uint32_t>(0, last_manager)(random_);
      const int requests = draw_uniform() < burst_probability ? burst_requests : 1;
      ClientConnection* connection = connection_for_request(manager);
      if (connection != nullptr) send_requests(*connection, requests);
    }
  }

  void send_requests(ClientConnection& connection, int requests) {
    std::string bytes;
    std::vector<std::int64_t> ids;
    const bool first = connection.last_id == 0;
    for (int i = 0; i < requests; ++i) {
      const ClientRequest request = draw_request(++connection.last_id);
      bytes += request_line(request);
      ids.push_back(request.id);
      add_open_request(connection, request, first);
    }
    if (requests == 1 && misbehaves_with(slow_write_probability)) {
      write_slowly(connection, bytes, ids[0]);
      return;
    }
    if (misbehaves_with(disconnect_probability)) connection.disconnect_at = monotonic_now() + draw_ms(0, 150);
    write(connection, bytes);
    for (const std::int64_t id : ids) record_sent(connection, id);
  }

  void add_open_request(ClientConnection& connection, const ClientRequest& request, bool first) {
    OpenRequest open;
    open.trace = request.trace;
    open.began = monotonic_now();
    open.unanswered_at = open.began + request.client_timeout_ms * ns_per_millisecond + answer_slack;
    if (misbehaves_with(cancel_probability)) open.cancel_at = open.began + draw_ms(0, 300);
    connection.open.emplace(request.id, open);
    connection.unsent[request.id] = {.kind = EventKind::request_sent,
                                     .trace = request.trace,
                                     .subject = connection.manager,
                                     .value = request.client_timeout_ms,
                                     .began = open.began,
                                     .port = connection.port,
                                     .first = first,
                                     .detail = name_of(request.request_class)};
  }

  static void write(ClientConnection& connection, std::string_view bytes) {
    connection.connection.queue(bytes);
    connection.connection.flush();
  }

  void write_slowly(ClientConnection& connection, const std::string& bytes, std::int64_t request_id) {
    const std::size_t half = bytes.size() / 2;
    const std::int64_t at = monotonic_now() + draw_ms(10, 200);
    connection.delayed_write = DelayedWrite{bytes.substr(half), at, request_id};
    write(connection, std::string_view(bytes).substr(0, half));
  }

  void write_delayed(ClientConnection& connection) {
    const DelayedWrite delayed = *std::exchange(connection.delayed_write, std::nullopt);
    write(connection, delayed.bytes);
    record_sent(connection, delayed.request_id);
  }

  /// Called once the request has been written completely. Its client timeout starts with the last byte.
  void record_sent(ClientConnection& connection, std::int64_t id) {
    RunEvent event = connection.unsent.extract(id).mapped();
    event.at = monotonic_now();
    log_.write(event);
    OpenRequest& open = connection.open.at(id);
    open.sent = event.at;
    open.unanswered_at = event.at + event.value * ns_per_millisecond + answer_slack;
    connection.last_used = event.at;
  }

  /// Records how a request or its connection ended.
  void record(EventKind kind, const ClientConnection& connection, const OpenRequest& open, std::int64_t at,
              const char* detail = "") {
    log_.write({.kind = kind,
                .at = at,
                .trace = open.trace,
                .subject = connection.manager,
                .began = open.sent,
                .port = connection.port,
                .detail = detail});
  }

  // ---- Input ----

  void poll_input() {
    constexpr int tick_ms = 5;
    std::vector<pollfd> polled{{STDIN_FILENO, POLLIN, 0}};
    std::vector<ConnectionIterator> order;
    for (auto one = connections_.begin(); one != connections_.end(); ++one) {
      const auto output = static_cast<short>(one->connection.wants_to_write() ? POLLOUT : 0);
      polled.push_back({one->connection.socket(), static_cast<short>(POLLIN | output), 0});
      order.push_back(one);
    }
    ::poll(polled.data(), polled.size(), tick_ms);
    if (polled[0].revents != 0) read_commands();
    for (std::size_t i = 0; i < order.size(); ++i)
      if (polled[i + 1].revents != 0) serve(order[i]);
  }

  void read_commands() {
    std::array<char, 256> part{};
    const ssize_t size = ::read(STDIN_FILENO, part.data(), part.size());
    if (size <= 0) {
      finishing_ = true;
      return;
    }
    commands_.append(part.data(), static_cast<std::size_t>(size));
    for (auto end = commands_.find('\n'); end != std::string::npos; end = commands_.find('\n')) {
      const std::string line = commands_.substr(0, end);
      commands_.erase(0, end + 1);
      if (const auto command = parse_client_command(line)) handle(*command);
    }
  }

  void handle(const ClientCommand& command) {
    switch (command.kind) {
      case ClientCommand::Kind::stop_connecting: may_connect_.at(command.manager) = false; break;
      case ClientCommand::Kind::resume_connecting: may_connect_.at(command.manager) = true; break;
      case ClientCommand::Kind::finish: finishing_ = true; break;
    }
  }

  void serve(ConnectionIterator connection) {
    std::string& input = connection->input;
    const bool open = connection->connection.flush() && connection->connection.read(input);
    for (auto end = input.find('\n'); end != std::string::npos; end = input.find('\n')) {
      handle_line(*connection, std::string_view(input).substr(0, end));
      input.erase(0, end + 1);
    }
    if (!open) close(connection, EventKind::connection_ended);
  }

  void handle_line(ClientConnection& connection, std::string_view line) {
    const auto answer = ClientAnswer::parse(line);
    if (!answer) return;
    const auto found = connection.open.find(answer->id());
    if (found == connection.open.end()) {
      log_.write({.kind = EventKind::answered,
                  .at = monotonic_now(),
                  .subject = connection.manager,
                  .value = answer->id(),
                  .port = connection.port,
                  .detail = answer_detail::unknown_request});
      return;
    }
    const OpenRequest open = found->second;
    connection.open.erase(found);
    record(EventKind::answered, connection, open, monotonic_now(), answer->detail(open.trace));
  }

  /// Closes a connection and records `kind` for each request that was sent on it and is open.
  void close(ConnectionIterator connection, EventKind kind) {
    const char* how = connection->connection.was_reset() ? end_detail::reset : end_detail::shutdown;
    connection->connection.close();
    const std::int64_t now = monotonic_now();
    for (const auto& [id, open] : connection->open) {
      const bool was_sent = !connection->unsent.contains(id);
      if (was_sent && !open.cancelled) record(kind, *connection, open, now, how);
    }
    connections_.erase(connection);
  }

  // ---- Timers ----

  void run_timers() {
    const std::int64_t now = monotonic_now();
    for (auto connection = connections_.begin(); connection != connections_.end();) {
      const auto next = std::next(connection);
      if (connection->delayed_write && now >= connection->delayed_write->at) write_delayed(*connection);
      send_due_cancels(*connection, now);
      expire_unanswered(*connection, now);
      if (should_disconnect(*connection, now)) close(connection, EventKind::disconnected);
      connection = next;
    }
  }

  [[nodiscard]] bool should_disconnect(const ClientConnection& connection, std::int64_t now) const {
    if (connection.stays_idle && finishing_) return true;
    if (connection.disconnect_at && now >= *connection.disconnect_at && !connection.delayed_write)
      return true;
    return connection.is_idle() && !connection.stays_idle && now - connection.last_used > idle_timeout;
  }

  /// Sends the cancels that are due. A cancel waits for a delayed write, since it would corrupt the message
  /// if it were written in the middle of it.
  void send_due_cancels(ClientConnection& connection, std::int64_t now) {
    if (connection.delayed_write) return;
    for (auto& [id, open] : connection.open) {
      if (!open.cancel_at || now < *open.cancel_at || open.sent == 0 || open.cancelled) continue;
      open.cancelled = true;
      write(connection, cancel_line(open.trace));
      record(EventKind::cancelled, connection, open, monotonic_now());
    }
  }

  void expire_unanswered(ClientConnection& connection, std::int64_t now) {
    std::erase_if(connection.open, [&](const auto& entry) {
      const OpenRequest& open = entry.second;
      if (now < open.unanswered_at || open.sent == 0) return false;
      if (!open.cancelled) record(EventKind::unanswered, connection, open, now);
      return true;
    });
  }

  ClientOptions options_;
  EventWriter log_;
  std::mt19937_64 random_;
  std::vector<bool> may_connect_;  // by manager number
  std::int64_t next_request_;
  std::int64_t next_idle_connections_ = 0;
  std::list<ClientConnection> connections_;
  std::string commands_;  // input that has not been handled yet
  bool finishing_ = false;
};

}  // namespace

int run_clients(const ClientOptions& options) { return Clients(options).run(); }

}  // namespace paddlestand::faults
