/// An engine process of a fault run. It takes some milliseconds per request, fails at random, and records
/// when attempts start and end as it sees them.
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <list>
#include <map>
#include <random>
#include <set>

#include "event_log.hpp"
#include "monotonic_clock.hpp"
#include "processes.hpp"
#include "protocol/engine_frames/frames.hpp"

namespace paddlestand::faults {
namespace {

using engine_frames::Command;
using engine_frames::Frame;
using engine_frames::Reply;

// Probabilities per answer at a fault scale of 1.
constexpr double full_probability = 0.02;
constexpr double error_probability = 0.02;
constexpr double no_answer_probability = 0.01;
constexpr double reset_probability = 0.01;
constexpr double corrupt_probability = 0.005;
constexpr double idle_close_probability = 0.02;
// Probabilities at a late frame scale of 1, of frames that the protocol allows an engine to send for a
// request that it has already ended.
constexpr double expired_probability = 0.02;
constexpr double duplicate_probability = 0.05;
constexpr double late_answer_probability = 0.05;
constexpr double unknown_page_probability = 0.1;
// Independent of the scales.
constexpr double paged_probability = 0.1;

constexpr std::int64_t max_duplicate_delay_ms = 40;
constexpr std::int64_t min_work_ms = 2;
constexpr std::int64_t max_work_ms = 60;
constexpr std::int64_t max_poll_ms = 50;
constexpr unsigned reading_pause_interval_us = 5000;

/// A connection from a manager to this engine.
struct Peer {
  explicit Peer(Connection accepted)
      : connection(std::move(accepted)), frames(engine_frames::Side::manager) {}
  Connection connection;
  engine_frames::FrameReader frames;
  std::uint32_t number = 0;
  // Number of pages of each result from which the manager may still request pages, by trace id.
  std::map<std::uint64_t, std::uint32_t> pages;
  std::multiset<std::uint64_t> active;  // trace ids of attempts whose end has not been recorded
};

using PeerIterator = std::list<Peer>::iterator;

/// A frame for a request that has already ended.
struct LateFrame {
  PeerIterator peer;
  Reply code{};
  std::uint64_t trace{};
  std::string fields;
  std::string body;
};

/// An attempt in progress, whose answer is scheduled.
struct PendingAnswer {
  PeerIterator peer;
  std::uint64_t trace{};
};

std::string page_of(std::uint64_t trace, std::uint32_t page) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%016llx\t%u\trow\n", static_cast<unsigned long long>(trace), page);
  return text.data();
}

bool has_code(const Frame& frame, Command command) {
  return frame.code == static_cast<std::uint8_t>(command);
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
      if (options_.stops_reading_while_hanging && hangs()) {
        pause_reading();
      } else {
        poll_input();
      }
      send_due_answers();
      send_late_frames();
    }
  }

 private:
  // ---- Random draws. Their order must not change, or a seed would produce a different run. ----

  bool draw_fault(double probability) { return draw_uniform() < probability * options_.fault_scale; }
  bool draw_late_frame(double probability) {
    return draw_uniform() < probability * options_.late_frame_scale;
  }
  double draw_uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  /// A whole number of milliseconds, in nanoseconds.
  std::int64_t draw_ms(std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least, most)(random_) * ns_per_millisecond;
  }

  [[nodiscard]] bool hangs() const {
    const double elapsed_s = static_cast<double>(monotonic_now() - began_) * 1e-9;
    return elapsed_s >= options_.hang_from_s && elapsed_s < options_.hang_until_s;
  }

  // ---- Input ----

  void pause_reading() {
    if (!reading_paused_) {
      log_.write(
          {.kind = EventKind::engine_stopped_reading, .at = monotonic_now(), .subject = options_.number});
    }
    reading_paused_ = true;
    ::usleep(reading_pause_interval_us);
  }

  void poll_input() {
    std::vector<pollfd> polled{{listener_, POLLIN, 0}};
    std::vector<PeerIterator> order;
    for (auto peer = peers_.begin(); peer != peers_.end(); ++peer) {
      const auto output = static_cast<short>(peer->connection.wants_to_write() ? POLLOUT : 0);
      polled.push_back({peer->connection.socket(), static_cast<short>(POLLIN | output), 0});
      order.push_back(peer);
    }
    ::poll(polled.data(), polled.size(), static_cast<int>(poll_timeout_ms()));
    if ((polled[0].revents & POLLIN) != 0) accept_one();
    for (std::size_t i = 0; i < order.size(); ++i) {
      const short events = polled[i + 1].revents;
      if (events != 0 && !serve(order[i], events)) drop(order[i]);
    }
    reading_paused_ = false;
  }

  /// The time until the next answer or late frame is due, at most max_poll_ms.
  [[nodiscard]] std::int64_t poll_timeout_ms() const {
    std::int64_t timeout_ms = max_poll_ms;
    const auto limit_to = [&](std::int64_t due) {
      const std::int64_t until_due_ms = (due - monotonic_now()) / ns_per_millisecond + 1;
      timeout_ms = std::min(timeout_ms, std::clamp<std::int64_t>(until_due_ms, 0, max_poll_ms));
    };
    if (!pending_answers_.empty()) limit_to(pending_answers_.begin()->first);
    if (!late_frames_.empty()) limit_to(late_frames_.begin()->first);
    return timeout_ms;
  }

  void accept_one() {
    const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) return;
    const int enable = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_TIMESTAMPNS, &enable, sizeof(enable));
    peers_.emplace_back(Connection(socket)).number = ++last_peer_;
  }

  void drop(PeerIterator peer) {
    std::erase_if(pending_answers_, [&](const auto& entry) { return entry.second.peer == peer; });
    std::erase_if(late_frames_, [&](const auto& entry) { return entry.second.peer == peer; });
    while (!peer->active.empty())
      end_attempt(*peer, *peer->active.begin(), monotonic_now(), attempt_detail::closed);
    peers_.erase(peer);
  }

  /// Handles socket events. Returns false if the connection has ended or received malformed frames.
  bool serve(PeerIterator peer, short events) {
    if ((events & POLLOUT) != 0 && !peer->connection.flush()) return false;
    if ((events & (POLLIN | POLLHUP | POLLERR)) == 0) return true;
    std::string input;
    std::int64_t received_at = 0;
    const bool open = peer->connection.read_with_time(input, received_at);
    peer->frames.feed(input);
    std::vector<Frame> frames;
    auto next = peer->frames.next();
    for (; std::holds_alternative<Frame>(next); next = peer->frames.next())
      frames.push_back(std::move(std::get<Frame>(next)));
    const bool usable = open && !std::holds_alternative<engine_frames::ProtocolViolation>(next);
    for (std::size_t i = 0; i < frames.size(); ++i)
      if (!ended_before_read(frames, i, usable)) handle(peer, frames[i], received_at);
    return usable;
  }

  /// Whether a request was cancelled before the engine read it: its cancel or the end of its connection
  /// arrived in the same read.
  static bool ended_before_read(const std::vector<Frame>& frames, std::size_t index, bool usable) {
    const Frame& frame = frames[index];
    if (!has_code(frame, Command::request)) return false;
    if (!usable) return true;
    const auto after = frames.begin() + static_cast<std::ptrdiff_t>(index) + 1;
    return std::any_of(after, frames.end(), [&](const Frame& later) {
      return later.id == frame.id && has_code(later, Command::cancel);
    });
  }

  // ---- Frames ----

  void handle(PeerIterator peer, const Frame& frame, std::int64_t received_at) {
    switch (static_cast<Command>(frame.code)) {
      case Command::request: start_attempt(peer, frame, received_at); break;
      case Command::ping: answer_health(*peer, frame, ""); break;
      case Command::status: answer_health(*peer, frame, "gauges=inflight:1"); break;
      case Command::fetch_page: answer_page(*peer, frame); break;
      case Command::cancel: cancel_attempt(peer, frame.id, received_at); break;
      case Command::discard_pages: peer->pages.erase(frame.id); break;
      case Command::priority: break;
    }
  }

  void answer_health(Peer& peer, const Frame& frame, std::string_view fields) {
    if (!hangs()) reply(peer, Reply::healthy, frame.id, fields, "");
  }

  void answer_page(Peer& peer, const Frame& frame) {
    const auto page = engine_frames::parse_count(frame.fields);
    const auto known = peer.pages.find(frame.id);
    if (!page || known == peer.pages.end() || hangs()) return;
    if (draw_late_frame(unknown_page_probability)) {
      reply(peer, Reply::error, frame.id, "", "");
      return;
    }
    reply(peer, Reply::page, frame.id, "part_no=" + std::to_string(*page), page_of(frame.id, *page));
  }

  void cancel_attempt(PeerIterator peer, std::uint64_t trace, std::int64_t received_at) {
    end_attempt(*peer, trace, received_at, attempt_detail::cancelled);
    if (draw_late_frame(late_answer_probability)) return;  // the answer is sent despite the cancel
    std::erase_if(pending_answers_, [&](const auto& entry) {
      return entry.second.peer == peer && entry.second.trace == trace;
    });
  }

  void start_attempt(PeerIterator peer, const Frame& frame, std::int64_t received_at) {
    const auto granted_ms = engine_frames::field(frame.fields, "ms").value_or("0");
    RunEvent event;
    event.kind = EventKind::attempt_started;
    event.at = received_at;
    event.trace = frame.id;
    event.subject = options_.number;
    // After a pause in reading the arrival time is unknown, so the granted time cannot be checked: record 0.
    event.value = reading_paused_ ? 0 : engine_frames::parse_count(granted_ms).value_or(0);
    event.detail = engine_frames::field(frame.fields, "kind").value_or("?");
    event.port = peer->number;
    log_.write(event);
    peer->active.insert(frame.id);
    const std::int64_t work = draw_ms(min_work_ms, max_work_ms);
    pending_answers_.emplace(monotonic_now() + work, PendingAnswer{peer, frame.id});
  }

  /// Records the end of an attempt as this engine sees it. Does nothing if the attempt has already ended.
  void end_attempt(Peer& peer, std::uint64_t trace, std::int64_t at, const char* how) {
    const auto found = peer.active.find(trace);
    if (found == peer.active.end()) return;
    peer.active.erase(found);
    log_.write({.kind = EventKind::attempt_ended,
                .at = at,
                .trace = trace,
                .subject = options_.number,
                .port = peer.number,
                .detail = how});
  }

  // ---- Answers ----

  void reply(Peer& peer, Reply code, std::uint64_t id, std::string_view fields, std::string_view body) {
    std::string bytes;
    engine_frames::put_frame(bytes, engine_frames::Side::engine, static_cast<std::uint8_t>(code), id, fields,
                             body);
    peer.connection.queue(bytes);
    peer.connection.flush();  // the next poll detects a connection that has ended
  }

  /// Sends the final answer and, at random, schedules a duplicate.
  void finish_attempt(PeerIterator peer, Reply code, std::uint64_t trace, const std::string& fields = "",
                      const std::string& body = "") {
    end_attempt(*peer, trace, monotonic_now(), attempt_detail::answered);
    reply(*peer, code, trace, fields, body);
    if (!draw_late_frame(duplicate_probability)) return;
    const std::int64_t delay = draw_ms(0, max_duplicate_delay_ms);
    late_frames_.emplace(monotonic_now() + delay, LateFrame{peer, code, trace, fields, body});
  }

  void send_late_frames() {
    while (!late_frames_.empty() && late_frames_.begin()->first <= monotonic_now()) {
      const LateFrame late = std::move(late_frames_.begin()->second);
      late_frames_.erase(late_frames_.begin());
      reply(*late.peer, late.code, late.trace, late.fields, late.body);
    }
  }

  void send_due_answers() {
    if (hangs()) return;
    while (!pending_answers_.empty() && pending_answers_.begin()->first <= monotonic_now()) {
      const PendingAnswer pending = pending_answers_.begin()->second;
      pending_answers_.erase(pending_answers_.begin());
      answer(pending);
    }
  }

  void answer(const PendingAnswer& pending) {
    if (draw_fault(full_probability)) {
      reject(pending, Reply::full);
    } else if (draw_late_frame(expired_probability)) {
      reject(pending, Reply::expired);
    } else if (draw_fault(error_probability)) {
      answer_error(pending);
    } else if (draw_fault(no_answer_probability)) {
      return;
    } else if (draw_fault(reset_probability)) {
      pending.peer->connection.reset();
      drop(pending.peer);
    } else if (draw_fault(corrupt_probability)) {
      pending.peer->connection.queue("\x81noise that is no frame, and goes on for some time");
      pending.peer->connection.flush();
    } else {
      answer_result(pending);
    }
  }

  void reject(const PendingAnswer& pending, Reply code) {
    log_.write({.kind = EventKind::attempt_rejected,
                .at = monotonic_now(),
                .trace = pending.trace,
                .subject = options_.number});
    finish_attempt(pending.peer, code, pending.trace);
  }

  /// Answers with an error and, at random, schedules a result after it.
  void answer_error(const PendingAnswer& pending) {
    finish_attempt(pending.peer, Reply::error, pending.trace);
    if (!draw_late_frame(late_answer_probability)) return;
    late_frames_.emplace(monotonic_now(), LateFrame{pending.peer, Reply::ok, pending.trace,
                                                    "parts=1,work=5,peak=10", page_of(pending.trace, 0)});
  }

  /// Answers with a result of one or more pages. At random closes the connection afterwards if no other
  /// answer is pending.
  void answer_result(const PendingAnswer& pending) {
    constexpr std::uint32_t many_pages = 3;
    const bool paged = draw_uniform() < paged_probability;
    const std::uint32_t pages = paged ? many_pages : 1;
    if (paged) pending.peer->pages[pending.trace] = pages;
    finish_attempt(pending.peer, Reply::ok, pending.trace,
                   "parts=" + std::to_string(pages) + ",work=5,peak=10", page_of(pending.trace, 0));
    const bool closes = draw_fault(idle_close_probability);
    if (closes && !paged && !has_pending_answers(pending.peer)) drop(pending.peer);
  }

  [[nodiscard]] bool has_pending_answers(PeerIterator peer) const {
    return std::any_of(pending_answers_.begin(), pending_answers_.end(),
                       [&](const auto& entry) { return entry.second.peer == peer; });
  }

  EngineOptions options_;
  EventWriter log_;
  std::mt19937_64 random_;
  int listener_;
  std::int64_t began_;
  std::list<Peer> peers_;
  std::multimap<std::int64_t, PendingAnswer> pending_answers_;  // by due time
  std::multimap<std::int64_t, LateFrame> late_frames_;  // by due time
  // Starts at a value that depends on the process id, so that numbers differ between processes of one engine.
  std::uint32_t last_peer_ = (static_cast<std::uint32_t>(::getpid()) & 0x7fffU) << 16U;
  bool reading_paused_ = false;
};

}  // namespace

int run_engine(const EngineOptions& options) { Engine(options).run(); }

}  // namespace paddlestand::faults
