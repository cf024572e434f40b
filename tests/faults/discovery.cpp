#include "discovery.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "monotonic_clock.hpp"

namespace paddlestand::faults {
namespace {

constexpr std::int64_t heartbeat_period = 1 * ns_per_second;
constexpr std::int64_t old_connection_lifetime = 1500 * ns_per_millisecond;  // after the service has moved
constexpr int tick_ms = 10;

const char* lifecycle_of(EngineState state) {
  switch (state) {
    case EngineState::ready: return "active";
    case EngineState::draining: return "leaving";
    default: return "left";
  }
}

/// An engine as an entry of the "known" member of a configuration.
std::string to_json(const discovery::Record& record) {
  constexpr std::int64_t ns_per_ms = 1'000'000;
  std::array<char, 16> instance_id{};
  std::snprintf(instance_id.data(), instance_id.size(), "s-%08x", record.entry.engine);
  return std::string("{\"instanceId\":\"") + instance_id.data() + "\",\"hostPort\":\"" +
         Endpoint{record.address, record.port}.text() +
         "\",\"zone\":\"here\",\"machineType\":\"std\",\"cell\":0,\"lifecycle\":\"" +
         lifecycle_of(record.entry.state) +
         "\",\"weight\":1,\"startedAtMs\":" + std::to_string(record.entry.started.count() / ns_per_ms) + "}";
}

}  // namespace

Discovery::Discovery(const Endpoint& first, const Endpoint& second, std::vector<discovery::Record> engines) {
  addresses_ = {first, second};
  for (const discovery::Record& record : engines) engines_[record.entry.engine] = record;
  events_.push_back({1, true, std::move(engines)});
  listeners_[0] = listen_on(first);
  thread_ = std::thread([this] { run(); });
}

Discovery::~Discovery() {
  stopped_ = true;
  thread_.join();
  for (const int listener : listeners_)
    if (listener >= 0) ::close(listener);
}

void Discovery::move() {
  const std::lock_guard lock(mutex_);
  const std::size_t next = 1 - served_;
  listeners_[next] = listen_on(addresses_[next]);
  ::close(std::exchange(listeners_[served_], -1));
  for (Watch& watch : watches_) watch.closes_at = monotonic_now() + old_connection_lifetime;
  served_ = next;
}

void Discovery::stop_sending() {
  const std::lock_guard lock(mutex_);
  for (Watch& watch : watches_) watch.sending_stopped = true;
}

void Discovery::publish(const discovery::Record& engine) {
  const std::lock_guard lock(mutex_);
  engines_[engine.entry.engine] = engine;
  events_.push_back({events_.size() + 1, false, {engine}});
}

std::string Discovery::known_engines() const {
  const std::lock_guard lock(mutex_);
  std::string engines;
  for (const auto& [id, record] : engines_) {
    if (record.entry.state == EngineState::removed) continue;
    if (!engines.empty()) engines += ",";
    engines += to_json(record);
  }
  const std::string last_event = std::to_string(events_.size());
  return "{\"cursor\":" + last_event + ",\"cmds\":[{\"cursor\":" + last_event +
         ",\"nodes\":{\"generation\":1,\"reset\":true,\"instances\":[" + engines + "]}}]}";
}

void Discovery::run() {
  while (!stopped_) {
    {
      const std::lock_guard lock(mutex_);
      accept_one();
      for (Watch& watch : watches_) serve(watch);
      std::erase_if(watches_, [](const Watch& watch) { return !watch.connection.open(); });
    }
    ::poll(nullptr, 0, tick_ms);
  }
}

void Discovery::accept_one() {
  if (listeners_[served_] < 0) return;
  const int socket = ::accept4(listeners_[served_], nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (socket >= 0) watches_.push_back({Connection(socket), served_, {}});
}

void Discovery::serve(Watch& watch) {
  const std::int64_t now = monotonic_now();
  const bool expired = watch.closes_at != 0 && now >= watch.closes_at;
  if (expired || !watch.connection.read(watch.input)) {
    watch.connection.close();
    return;
  }
  read_subscription(watch);
  if (!watch.subscribed || watch.sending_stopped || watch.address != served_) return;
  send_events(watch, now);
}

/// Reads the subscription: the number of the last event that the manager knows, 8 bytes big-endian.
void Discovery::read_subscription(Watch& watch) {
  constexpr std::size_t number_size = 8;
  if (watch.subscribed || watch.input.size() < number_size) return;
  for (std::size_t i = 0; i < number_size; ++i)
    watch.last_event = watch.last_event << 8U | static_cast<unsigned char>(watch.input[i]);
  watch.subscribed = true;
}

void Discovery::send_events(Watch& watch, std::int64_t now) {
  std::string bytes;
  for (const discovery::Event& event : events_) {
    if (event.number <= watch.last_event) continue;
    discovery::put_event(bytes, event);
    watch.last_event = event.number;
  }
  if (now >= watch.next_heartbeat) {
    discovery::put_heartbeat(bytes, watch.last_event);
    watch.next_heartbeat = now + heartbeat_period;
  }
  watch.connection.queue(bytes);
  if (!watch.connection.flush()) watch.connection.close();
}

}  // namespace paddlestand::faults
