#include "discovery.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "event_log.hpp"

namespace paddlestand::faults {
namespace {

constexpr std::int64_t heartbeat_period = 1'000'000'000;
constexpr std::int64_t old_address_life = 1'500'000'000;
constexpr int tick_ms = 10;

const char* lifecycle_of(EngineState state) {
  return state == EngineState::ready ? "active" : state == EngineState::draining ? "leaving" : "left";
}

}  // namespace

Discovery::Discovery(const Endpoint& first, const Endpoint& second, std::vector<discovery::Record> engines)
    : at_{first, second} {
  for (const discovery::Record& one : engines) engines_[one.entry.engine] = one;
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
  listeners_[next] = listen_on(at_[next]);
  ::close(std::exchange(listeners_[served_], -1));
  for (Watch& watch : watches_) watch.ends_at = monotonic_now() + old_address_life;
  served_ = next;
}

void Discovery::fall_silent() {
  const std::lock_guard lock(mutex_);
  for (Watch& watch : watches_) watch.silent = true;
}

void Discovery::change(const discovery::Record& engine) {
  const std::lock_guard lock(mutex_);
  engines_[engine.entry.engine] = engine;
  events_.push_back({events_.size() + 1, false, {engine}});
}

std::string Discovery::known() const {
  const std::lock_guard lock(mutex_);
  const std::string last = std::to_string(events_.size());
  std::string out = "{\"cursor\":" + last + ",\"cmds\":[{\"cursor\":" + last +
                    ",\"nodes\":{\"generation\":1,\"reset\":true,\"instances\":[";
  bool first = true;
  for (const auto& [id, one] : engines_) {
    if (one.entry.state == EngineState::removed) continue;
    char text[16];
    std::snprintf(text, sizeof(text), "s-%08x", id);
    out += std::string(first ? "" : ",") + "{\"instanceId\":\"" + text + "\",\"hostPort\":\"" +
           Endpoint{one.address, one.port}.text() +
           "\",\"zone\":\"here\",\"machineType\":\"std\",\"cell\":0,\"lifecycle\":\"" +
           lifecycle_of(one.entry.state) +
           "\",\"weight\":1,\"startedAtMs\":" + std::to_string(one.entry.started.count() / 1'000'000) + "}";
    first = false;
  }
  return out + "]}}]}";
}

void Discovery::run() {
  while (!stopped_) {
    {
      const std::lock_guard lock(mutex_);
      if (listeners_[served_] >= 0) {
        const int socket = ::accept4(listeners_[served_], nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket >= 0) watches_.push_back({Connection(socket), served_, {}});
      }
      for (Watch& watch : watches_) serve(watch);
      std::erase_if(watches_, [](const Watch& watch) { return !watch.connection.open(); });
    }
    ::poll(nullptr, 0, tick_ms);
  }
}

void Discovery::serve(Watch& watch) {
  const std::int64_t now = monotonic_now();
  if ((watch.ends_at != 0 && now >= watch.ends_at) || !watch.connection.read(watch.in))
    return watch.connection.close();
  if (!watch.subscribed && watch.in.size() >= 8) {
    for (std::size_t i = 0; i < 8; ++i)
      watch.told = watch.told << 8U | static_cast<unsigned char>(watch.in[i]);
    watch.subscribed = true;
  }
  if (!watch.subscribed || watch.silent || watch.address != served_) return;
  std::string bytes;
  for (const discovery::Event& event : events_) {
    if (event.number <= watch.told) continue;
    discovery::put_event(bytes, event);
    watch.told = event.number;
  }
  if (now >= watch.beat_at) {
    discovery::put_heartbeat(bytes, watch.told);
    watch.beat_at = now + heartbeat_period;
  }
  watch.connection.queue(bytes);
  if (!watch.connection.flush()) watch.connection.close();
}

}  // namespace paddlestand::faults
