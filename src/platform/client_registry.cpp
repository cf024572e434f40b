#include "client_registry.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <tuple>
#include <utility>

#include "platform_host.hpp"

namespace paddlestand::platform {
using Field = observe::LogFieldName;
namespace {

constexpr auto rejection_log_period = std::chrono::seconds(1);
constexpr auto backlog_log_period = std::chrono::milliseconds(100);
constexpr auto sending_pause = std::chrono::seconds(1);  // between the bytes of a message
constexpr auto non_reader_timeout = std::chrono::seconds(1);
constexpr std::ptrdiff_t max_looked_at = 8;  // incomplete messages
// The time for the backlog in one turn of the event loop: as much as all else took since the last one, within
// these.
constexpr Duration min_backlog_time = std::chrono::milliseconds(2);
constexpr Duration max_backlog_time = std::chrono::milliseconds(50);

/// Sort key of eviction: lingering connections first, then those without a message yet, then the least
/// recently used.
auto eviction_order(const Client& client) {
  return std::tuple(!client.is_lingering(), client.has_sent_message(), client.last_used());
}

/// Whether the client may be about to complete a message.
bool is_sending(const Client& client, TimePoint now) {
  return client.has_partial_message() && now - client.last_received() < sending_pause;
}

}  // namespace

ClientRegistry::ClientRegistry(PlatformHost& host, RequestHandler& requests, const jsonrpc::CallReader& calls,
                               const ServerLifecycle& lifecycle, const ResourceLimits& limits)
    : host_(host),
      context_{host, requests, *this, calls, lifecycle},
      limits_(limits),
      input_account_(std::make_shared<InputAccount>(limits.max_input_bytes)) {}

void ClientRegistry::accept(tcp::socket socket, Duration accept_delay) {
  if (clients_.size() >= limits_.max_clients && !make_room()) return;  // destroys, and so closes, the socket
  const auto client = std::make_shared<Client>(context_, std::move(socket), ++last_number_, accept_delay);
  clients_.emplace(client->number(), client);
  client->start();
}

void ClientRegistry::add_to_backlog(std::shared_ptr<Client> client) {
  backlog_.push_back(std::move(client));
  schedule_backlog();
}

void ClientRegistry::schedule_backlog() {
  if (is_backlog_scheduled_ || backlog_.empty()) return;
  is_backlog_scheduled_ = true;
  boost::asio::post(host_.io(), [this] { read_backlog(); });
}

void ClientRegistry::read_backlog() {
  const TimePoint began = host_.now();
  const TimePoint end = began + std::clamp(began - backlog_read_at_, min_backlog_time, max_backlog_time);
  const std::size_t waiting = backlog_.size();
  for (std::size_t i = 0; i < waiting && host_.now() < end; ++i) {
    const std::shared_ptr<Client> client = std::move(backlog_.front());
    backlog_.pop_front();
    client->read_from_backlog();
  }
  backlog_read_at_ = host_.now();
  is_backlog_scheduled_ = false;
  schedule_backlog();
}

// The first candidate may have a request on its way; then one more is tried. No further candidates are tried,
// since each check costs a system call and there may be thousands of new connections.
bool ClientRegistry::make_room() {
  std::shared_ptr<Client> candidate = best_to_evict(nullptr);
  if (candidate && candidate->may_have_input()) candidate = best_to_evict(candidate);
  if (!candidate || candidate->may_have_input()) return false;
  if (!candidate->is_lingering()) {
    log_rejection(*candidate,
                  {std::nullopt, jsonrpc::ErrorCode::rejected, "idle connection closed to make room"});
  }
  candidate->close("evicted while idle");
  return true;
}

std::shared_ptr<Client> ClientRegistry::best_to_evict(const std::shared_ptr<Client>& excluded) const {
  const TimePoint now = host_.now();
  std::shared_ptr<Client> best;
  for (const auto& [number, client] : clients_) {
    if (!client->is_idle() || client == excluded || is_sending(*client, now)) continue;
    if (!best || eviction_order(*client) < eviction_order(*best)) best = client;
  }
  return best;
}

void ClientRegistry::sweep(TimePoint now) {
  const Clients clients = all();
  for (const auto& client : clients) client->check_timeouts(now);
  close_non_readers(now);
}

void ClientRegistry::make_room_for_input() {
  while (input_account_->excess() > 0) {
    const std::shared_ptr<Client> client = next_to_refuse();
    if (client == nullptr) return;
    log_backlog(*client, client->buffered_bytes(), "incomplete message refused");
    client->refuse_partial_message();
  }
}

// A message whose end has arrived but was not read yet is complete for its sender, so others are refused
// before it. Only a few connections are looked at, since each look costs a system call.
std::shared_ptr<Client> ClientRegistry::next_to_refuse() const {
  struct Candidate {
    HeldMessage message;
    std::shared_ptr<Client> client;
  };
  const TimePoint now = host_.now();
  std::vector<Candidate> candidates;
  for (const auto& [number, client] : clients_)
    if (client->has_partial_message()) candidates.push_back({client->held_message(now), client});
  const auto end = candidates.begin() + std::min<std::ptrdiff_t>(max_looked_at, std::ssize(candidates));
  std::partial_sort(candidates.begin(), end, candidates.end(), [](const Candidate& a, const Candidate& b) {
    return is_refused_before(a.message, b.message);
  });
  const auto found = std::find_if(candidates.begin(), end, [](const Candidate& candidate) {
    return !candidate.client->has_unread_line_end();
  });
  if (found != end) return found->client;
  return candidates.empty() ? nullptr : candidates.front().client;
}

// Beyond the limit, results are replaced by short errors (Client::answer). Only if that is not enough,
// answers are cut off, for clients that have read nothing for a while.
void ClientRegistry::close_non_readers(TimePoint now) {
  const std::size_t hard_limit = 2 * limits_.max_unwritten_bytes;
  std::size_t excess = unwritten_bytes();
  if (excess <= hard_limit) return;
  excess -= hard_limit;
  Clients clients = all();
  std::erase_if(clients, [&](const auto& client) {
    return client->unwritten_bytes() == 0 || now - client->last_write_progress() < non_reader_timeout;
  });
  std::sort(clients.begin(), clients.end(),
            [](const auto& a, const auto& b) { return a->last_write_progress() < b->last_write_progress(); });
  for (const auto& client : clients) {
    const std::size_t bytes = client->unwritten_bytes();
    log_backlog(*client, bytes, "unread answers: connection closed");
    client->close("does not read its answers while memory is short");
    if (bytes >= excess) return;
    excess -= bytes;
  }
}

void ClientRegistry::log_backlog(const Client& client, std::size_t bytes, std::string_view text) {
  if (host_.now() < backlog_logged_at_ + backlog_log_period) return;
  backlog_logged_at_ = host_.now();
  host_.log().warn(
      observe::LogEvent::backlog_exceeded,
      {{Field::client, client.number()}, {Field::bytes, bytes}, {Field::waiting_clients, backlog_.size()}},
      text);
}

void ClientRegistry::finish_unread_input() {
  for (const auto& client : all()) client->finish_unread_input();
}

void ClientRegistry::finish_idle() {
  for (const auto& client : all()) client->finish_if_idle();
}

void ClientRegistry::close_all() {
  for (const auto& client : all()) {
    if (client->is_open() && !client->is_idle()) {
      host_.count(core::Violation::closed_with_open_requests, {Field::client, client->number()});
    }
    client->close("shutdown");
  }
}

std::size_t ClientRegistry::unwritten_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [number, client] : clients_) bytes += client->unwritten_bytes();
  return bytes;
}

// Returns a copy to iterate over, since closing a connection removes it from the map.
ClientRegistry::Clients ClientRegistry::all() const {
  Clients clients;
  clients.reserve(clients_.size());
  for (const auto& [number, client] : clients_) clients.push_back(client);
  return clients;
}

void ClientRegistry::log_rejection(const Client& client, const jsonrpc::Problem& problem) {
  ++rejections_;
  if (host_.now() < rejection_logged_at_ + rejection_log_period) return;
  rejection_logged_at_ = host_.now();
  host_.log().info(
      observe::LogEvent::request_rejected,
      {{Field::client, client.number()}, {Field::reason, problem.text}, {Field::rejections, rejections_}});
}

void ClientRegistry::log_close(const Client& client, std::string_view reason, std::size_t open_requests) {
  if (open_requests == 0 && !host_.is_tracing()) return;
  host_.log().info(
      observe::LogEvent::client_closed,
      {{Field::client, client.number()}, {Field::reason, reason}, {Field::requests, open_requests}});
}

}  // namespace paddlestand::platform
