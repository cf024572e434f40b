#include "client_registry.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "platform_host.hpp"

namespace paddlestand::platform {
using Field = observe::LogFieldName;
namespace {

constexpr auto rejection_log_period = std::chrono::seconds(1);

/// Sort key of eviction: lingering connections first, then those without a message yet, then the least
/// recently used.
auto eviction_order(const Client& client) {
  return std::tuple(!client.is_lingering(), client.has_sent_message(), client.last_used());
}

/// Sort key of the clients to turn away when memory is short: first those to which no answer is owed, then
/// those without a valid message yet, then those with the largest buffers.
auto holder_order(const Client& client) {
  const auto bytes = static_cast<std::int64_t>(client.buffered_bytes());
  return std::tuple(client.is_owed_answers(), client.has_sent_message(), -bytes);
}

}  // namespace

ClientRegistry::ClientRegistry(PlatformHost& host, RequestHandler& requests, const jsonrpc::CallReader& calls,
                               const ServerLifecycle& lifecycle, const ResourceLimits& limits)
    : host_(host), context_{host, requests, *this, calls, lifecycle}, limits_(limits) {}

void ClientRegistry::accept(tcp::socket socket, Duration accept_delay) {
  if (clients_.size() >= limits_.max_clients && !make_room()) return;  // destroys, and so closes, the socket
  const auto client = std::make_shared<Client>(context_, std::move(socket), ++last_number_, accept_delay);
  clients_.emplace(client->number(), client);
  client->start();
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
  std::shared_ptr<Client> best;
  for (const auto& [number, client] : clients_) {
    if (!client->is_idle() || client == excluded) continue;
    if (!best || eviction_order(*client) < eviction_order(*best)) best = client;
  }
  return best;
}

void ClientRegistry::sweep(TimePoint now) {
  const Clients clients = all();
  std::size_t buffered_bytes = 0;
  for (const auto& client : clients) buffered_bytes += client->buffered_bytes();
  for (const auto& client : clients) client->check_timeouts(now);
  if (buffered_bytes > limits_.max_buffered_bytes) turn_away_holders(clients, buffered_bytes);
}

void ClientRegistry::turn_away_holders(Clients clients, std::size_t buffered_bytes) {
  std::stable_sort(clients.begin(), clients.end(),
                   [](const auto& a, const auto& b) { return holder_order(*a) < holder_order(*b); });
  for (const auto& client : clients) {
    if (buffered_bytes <= limits_.max_buffered_bytes) return;
    const std::size_t bytes = client->buffered_bytes();
    if (bytes == 0 || !client->is_open()) continue;
    host_.log().warn(observe::LogEvent::backlog_exceeded,
                     {{Field::client, client->number()}, {Field::bytes, bytes}}, "client turned away");
    client->turn_away("buffers of all connections exceed the memory limit");
    buffered_bytes -= bytes - client->buffered_bytes();
  }
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
