// A connection to an engine, carrying many streams: the attempts and probes of the core. It belongs to the
// engine's id, never to its address, since a new engine may come at the address of one that is gone.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "core/desk.hpp"
#include "protocol/engine_frames/frames.hpp"

namespace paddlestand::platform {

class Platform;

class Channel : public std::enable_shared_from_this<Channel> {
 public:
  using tcp = boost::asio::ip::tcp;

  Channel(Platform& platform, EngineId engine, tcp::endpoint at);

  void start();
  void close();

  [[nodiscard]] EngineId engine() const { return engine_; }
  [[nodiscard]] bool up() const { return up_; }
  [[nodiscard]] bool closed() const { return closed_; }
  [[nodiscard]] bool carries(std::uint64_t id) const { return ids_.contains(id); }
  [[nodiscard]] std::size_t streams() const { return links_; }
  [[nodiscard]] TimePoint opened() const { return opened_; }
  [[nodiscard]] TimePoint heard() const { return heard_; }  // its last bytes, or when it came up
  [[nodiscard]] TimePoint used() const { return used_; }  // when its last stream left
  // Takes no new stream: what was given up on it may still be answered, or it is silent.
  [[nodiscard]] bool retired() const { return retired_; }
  void retire() { retired_ = true; }
  // The engine's close is here, and not read yet.
  [[nodiscard]] bool ended();
  // Since when the rest of a frame is awaited.
  [[nodiscard]] std::optional<TimePoint> stalled_since() const { return inside_since_; }

  void join() { ++links_; }
  void leave(TimePoint now);

  // A frame counts from its first byte on: `whole` says that this went out, `partly` that it waits behind
  // others and can still be withdrawn.
  core::Written send(core::LinkId link, std::uint64_t id, std::string frame);
  void send_command(std::string frame);
  bool withdraw(core::LinkId link);
  // The stream's id is unknown from here on: what comes for it is passed over.
  void forget(std::uint64_t id) { ids_.erase(id); }

 private:
  struct Waiting {
    core::LinkId link{};  // zero: a command that nothing waits for
    std::string frame;
  };

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> write_on();
  void lost(core::LinkLoss why, const std::string& what);
  bool take(std::string_view bytes);

  Platform& platform_;
  EngineId engine_;
  tcp::endpoint at_;
  tcp::socket socket_;
  engine_frames::FrameReader reader_;
  std::map<std::uint64_t, core::LinkId> ids_;
  std::size_t links_ = 0;
  std::string begun_;  // of a frame whose first byte went out
  std::size_t written_ = 0;
  std::deque<Waiting> waiting_;  // bounded by the streams, a few frames each
  TimePoint opened_{}, heard_{}, used_{};
  std::optional<TimePoint> inside_since_;
  bool up_ = false, closed_ = false, retired_ = false, writes_ = false;
};

}  // namespace paddlestand::platform
