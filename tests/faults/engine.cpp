// One engine of a fault run.
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <list>
#include <map>
#include <random>
#include <set>

#include "event_log.hpp"
#include "processes.hpp"
#include "protocol/engine_frames/frames.hpp"

namespace paddlestand::faults {
namespace {

constexpr std::int64_t millisecond = 1'000'000;
constexpr double chance_full = 0.02, chance_error = 0.02, chance_reset = 0.01, chance_silent = 0.01,
                 chance_spoilt = 0.005, chance_idle_close = 0.02, chance_pages = 0.1;
// Of what the protocol lets an engine say about a request that has ended for it.
constexpr double chance_over = 0.02, chance_copy = 0.05, chance_late_answer = 0.05, chance_unknown_page = 0.1;
constexpr std::int64_t longest_copy_delay_ms = 40;
constexpr unsigned deaf_step_us = 5000;
constexpr std::int64_t least_work_ms = 2, max_work_ms = 60;

struct Peer {
  explicit Peer(Connection made) : connection(std::move(made)), frames(engine_frames::Side::manager) {}
  Connection connection;
  engine_frames::FrameReader frames;
  std::uint32_t number = 0;
  std::map<std::uint64_t, std::uint32_t> pages;  // that a manager may still ask for, by request
  std::multiset<std::uint64_t> out;  // requests whose end was not written yet
};

// A frame about a request that has ended, on its way.
struct LateFrame {
  std::list<Peer>::iterator peer;
  engine_frames::Reply code{};
  std::uint64_t trace{};
  std::string fields, body;
};

struct Due {
  std::list<Peer>::iterator peer;
  std::uint64_t trace{};
};

std::string page_of(std::uint64_t trace, std::uint32_t page) {
  char text[64];
  std::snprintf(text, sizeof(text), "%016llx\t%u\trow\n", static_cast<unsigned long long>(trace), page);
  return text;
}

class Engine {
 public:
  explicit Engine(const EngineOptions& options)
      : options_(options),
        log_(options.log),
        random_(options.seed * 1000003 + options.number),
        listener_(listen_on(options.listen)),
        began_(monotonic_now()) {}

  [[noreturn]] void run() {
    for (;;) {
      wait();
      answer_due();
      send_late_frames();
    }
  }

 private:
  bool chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share * options_.trouble;
  }
  bool chance_late(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share * options_.late;
  }
  [[nodiscard]] bool hangs() const {
    const double now = static_cast<double>(monotonic_now() - began_) * 1e-9;
    return now >= options_.hang_from_s && now < options_.hang_until_s;
  }

  void wait() {
    if (options_.deaf && hangs()) {
      if (!was_deaf_) log_.write({EventKind::deaf, monotonic_now(), 0, options_.number, 0, 0, 0, false, ""});
      was_deaf_ = true;
      ::usleep(deaf_step_us);
      return;
    }
    std::vector<pollfd> all{{listener_, POLLIN, 0}};
    std::vector<std::list<Peer>::iterator> order;
    for (auto peer = peers_.begin(); peer != peers_.end(); ++peer) {
      const auto writes = static_cast<short>(peer->connection.wants_to_write() ? POLLOUT : 0);
      all.push_back({peer->connection.socket(), static_cast<short>(POLLIN | writes), 0});
      order.push_back(peer);
    }
    std::int64_t rest_ms = 50;
    const auto heed = [&](std::int64_t due) {
      rest_ms = std::min(rest_ms, std::clamp<std::int64_t>((due - monotonic_now()) / millisecond + 1, 0, 50));
    };
    if (!due_.empty()) heed(due_.begin()->first);
    if (!late_.empty()) heed(late_.begin()->first);
    ::poll(all.data(), all.size(), static_cast<int>(rest_ms));
    if ((all[0].revents & POLLIN) != 0) accept_one();
    for (std::size_t i = 0; i < order.size(); ++i) {
      const short events = all[i + 1].revents;
      if (events != 0 && !serve(*order[i], order[i], events)) drop(order[i]);
    }
    was_deaf_ = false;
  }

  void accept_one() {
    const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) return;
    const int one = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_TIMESTAMPNS, &one, sizeof(one));
    peers_.emplace_back(Connection(socket)).number = ++last_peer_;
  }

  void drop(std::list<Peer>::iterator peer) {
    std::erase_if(due_, [&](const auto& one) { return one.second.peer == peer; });
    std::erase_if(late_, [&](const auto& one) { return one.second.peer == peer; });
    while (!peer->out.empty()) end_attempt(*peer, *peer->out.begin(), monotonic_now(), "closed");
    peers_.erase(peer);
  }

  bool serve(Peer& peer, std::list<Peer>::iterator place, short events) {
    if ((events & POLLOUT) != 0 && !peer.connection.flush()) return false;
    if ((events & (POLLIN | POLLHUP | POLLERR)) == 0) return true;
    std::string in;
    std::int64_t came = 0;
    const bool open = peer.connection.read_with_time(in, came);
    peer.frames.feed(in);
    std::vector<engine_frames::Frame> frames;
    auto next = peer.frames.next();
    for (; std::holds_alternative<engine_frames::Frame>(next); next = peer.frames.next())
      frames.push_back(std::move(std::get<engine_frames::Frame>(next)));
    const bool usable = open && !std::holds_alternative<engine_frames::Broken>(next);
    for (std::size_t i = 0; i < frames.size(); ++i)
      if (!over_already(frames, i, usable)) take(peer, place, frames[i], came);
    return usable;
  }

  // A request that came with its cancel, or with the end of its connection, was given up before it was read.
  static bool over_already(const std::vector<engine_frames::Frame>& frames, std::size_t which, bool usable) {
    const auto is = [](const engine_frames::Frame& frame, engine_frames::Command command) {
      return frame.code == static_cast<std::uint8_t>(command);
    };
    if (!is(frames[which], engine_frames::Command::request)) return false;
    return !usable ||
           std::any_of(frames.begin() + static_cast<std::ptrdiff_t>(which) + 1, frames.end(),
                       [&](const engine_frames::Frame& later) {
                         return later.id == frames[which].id && is(later, engine_frames::Command::give_up);
                       });
  }

  void take(Peer& peer, std::list<Peer>::iterator place, const engine_frames::Frame& frame,
            std::int64_t came) {
    switch (static_cast<engine_frames::Command>(frame.code)) {
      case engine_frames::Command::request: return begin(place, frame, came);
      case engine_frames::Command::ping:
        if (!hangs()) reply(peer, engine_frames::Reply::well, frame.id, "", "");
        return;
      case engine_frames::Command::status:
        if (!hangs()) reply(peer, engine_frames::Reply::well, frame.id, "gauges=inflight:1", "");
        return;
      case engine_frames::Command::page: {
        const auto page = engine_frames::count_in(frame.fields);
        const auto known = peer.pages.find(frame.id);
        if (!page || known == peer.pages.end() || hangs()) return;
        if (chance_late(chance_unknown_page))
          return reply(peer, engine_frames::Reply::error, frame.id, "", "");
        return reply(peer, engine_frames::Reply::page, frame.id, "part_no=" + std::to_string(*page),
                     page_of(frame.id, *page));
      }
      case engine_frames::Command::give_up:
        end_attempt(peer, frame.id, came, "cancelled");
        // What is on its way already comes all the same.
        if (!chance_late(chance_late_answer))
          std::erase_if(due_, [&](const auto& one) {
            return one.second.peer == place && one.second.trace == frame.id;
          });
        return;
      case engine_frames::Command::no_more: peer.pages.erase(frame.id); return;
      case engine_frames::Command::priority: return;
    }
  }

  void begin(std::list<Peer>::iterator place, const engine_frames::Frame& frame, std::int64_t came) {
    RunEvent event;
    event.kind = EventKind::begun;
    event.at = came;
    event.trace = frame.id;
    event.subject = options_.number;
    event.value = engine_frames::count_in(engine_frames::field(frame.fields, "ms").value_or("0")).value_or(0);
    // What it did not read for long came at some time unknown: no deadline can be held against that.
    if (was_deaf_) event.value = 0;
    event.detail = engine_frames::field(frame.fields, "kind").value_or("?");
    event.port = place->number;
    log_.write(event);
    place->out.insert(frame.id);
    const auto work = std::uniform_int_distribution<std::int64_t>(least_work_ms, max_work_ms)(random_);
    due_.emplace(monotonic_now() + work * millisecond, Due{place, frame.id});
  }

  // By this engine's account; a request that it does not have out has ended before.
  void end_attempt(Peer& peer, std::uint64_t trace, std::int64_t at, const char* how) {
    const auto found = peer.out.find(trace);
    if (found == peer.out.end()) return;
    peer.out.erase(found);
    RunEvent event;
    event.kind = EventKind::attempt_ended;
    event.at = at;
    event.trace = trace;
    event.subject = options_.number;
    event.port = peer.number;
    event.detail = how;
    log_.write(event);
  }

  // Its final answer, and perhaps a copy behind it.
  void finish(std::list<Peer>::iterator place, engine_frames::Reply code, std::uint64_t trace,
              const std::string& fields = "", const std::string& body = "") {
    end_attempt(*place, trace, monotonic_now(), "answered");
    reply(*place, code, trace, fields, body);
    if (!chance_late(chance_copy)) return;
    const auto delay = std::uniform_int_distribution<std::int64_t>(0, longest_copy_delay_ms)(random_);
    late_.emplace(monotonic_now() + delay * millisecond, LateFrame{place, code, trace, fields, body});
  }

  void send_late_frames() {
    while (!late_.empty() && late_.begin()->first <= monotonic_now()) {
      const LateFrame late = std::move(late_.begin()->second);
      late_.erase(late_.begin());
      reply(*late.peer, late.code, late.trace, late.fields, late.body);
    }
  }

  void reply(Peer& peer, engine_frames::Reply code, std::uint64_t id, std::string_view fields,
             std::string_view body) {
    std::string bytes;
    engine_frames::put_frame(bytes, engine_frames::Side::engine, static_cast<std::uint8_t>(code), id, fields,
                             body);
    peer.connection.queue(bytes);
    peer.connection.flush();  // its end is found by the next poll
  }

  void answer_due() {
    if (hangs()) return;
    while (!due_.empty() && due_.begin()->first <= monotonic_now()) {
      const Due due = due_.begin()->second;
      due_.erase(due_.begin());
      answer(due);
    }
  }

  void answer(const Due& due) {
    Peer& peer = *due.peer;
    if (chance(chance_full)) {
      log_.write({EventKind::rejected, monotonic_now(), due.trace, options_.number, 0, 0, 0, false, ""});
      return finish(due.peer, engine_frames::Reply::full, due.trace);
    }
    if (chance_late(chance_over)) {
      log_.write({EventKind::rejected, monotonic_now(), due.trace, options_.number, 0, 0, 0, false, ""});
      return finish(due.peer, engine_frames::Reply::over, due.trace);
    }
    if (chance(chance_error)) {
      finish(due.peer, engine_frames::Reply::error, due.trace);
      // It failed here, and its answer comes all the same.
      if (chance_late(chance_late_answer))
        late_.emplace(monotonic_now(), LateFrame{due.peer, engine_frames::Reply::ok, due.trace,
                                                 "parts=1,work=5,peak=10", page_of(due.trace, 0)});
      return;
    }
    if (chance(chance_silent)) return;
    if (chance(chance_reset)) {
      peer.connection.reset();
      return drop(due.peer);
    }
    if (chance(chance_spoilt)) {
      peer.connection.queue("\x81noise that is no frame, and goes on for some time");
      peer.connection.flush();
      return;
    }
    const bool paged = std::uniform_real_distribution<double>(0, 1)(random_) < chance_pages;
    const std::uint32_t pages = paged ? 3 : 1;
    if (paged) peer.pages[due.trace] = pages;
    finish(due.peer, engine_frames::Reply::ok, due.trace,
           "parts=" + std::to_string(pages) + ",work=5,peak=10", page_of(due.trace, 0));
    if (chance(chance_idle_close) &&
        std::none_of(due_.begin(), due_.end(),
                     [&](const auto& one) { return one.second.peer == due.peer; }) &&
        !paged)
      drop(due.peer);
  }

  EngineOptions options_;
  EventWriter log_;
  std::mt19937_64 random_;
  int listener_;
  std::int64_t began_;
  std::list<Peer> peers_;
  std::multimap<std::int64_t, Due> due_;
  std::multimap<std::int64_t, LateFrame> late_;
  // Other than those of the engine's earlier processes.
  std::uint32_t last_peer_ = (static_cast<std::uint32_t>(::getpid()) & 0x7fffU) << 16U;
  bool was_deaf_ = false;
};

}  // namespace

int run_engine(const EngineOptions& options) { Engine(options).run(); }

}  // namespace paddlestand::faults
