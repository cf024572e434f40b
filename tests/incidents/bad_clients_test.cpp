/// A seeded soak of sound clients, quick and slow ones, beside as many bad clients of all kinds as the
/// platform allows. The environment variables PADDLESTAND_SOAK_SECONDS and PADDLESTAND_SOAK_SEED make it
/// longer or choose another seed.
#include <cstdlib>
#include <random>

#include "incident_test.hpp"
#include "large_requests.hpp"

namespace paddlestand::platform::test {
namespace {

using Clock = std::chrono::steady_clock;
using Random = std::mt19937_64;

constexpr std::uint64_t first_trace = 0x7d00000000000000;
constexpr auto sound_patience = 7s;  // as in RawClient::request_line()

/// Returns the environment variable as a number, or the default if it is not set.
std::uint64_t number_from_environment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

std::size_t draw(Random& random, std::size_t least, std::size_t most) {
  return std::uniform_int_distribution<std::size_t>(least, most)(random);
}
std::chrono::milliseconds draw_ms(Random& random, std::size_t least, std::size_t most) {
  return std::chrono::milliseconds(draw(random, least, most));
}

class TraceIds {
 public:
  std::uint64_t next() { return ++last_; }

 private:
  std::uint64_t last_ = first_trace;
};

// ---- Bad clients ----

enum class BadKind : std::uint8_t {
  noise,
  endless_message,
  unknown_class,
  invalid_figure,
  no_id,
  repeated_id,
  cancelled_at_once,
  half_request,
  large_half_request,
  half_request_beside_open,
  too_many_requests,
  slow_half_request,
  silent,
  count
};

std::string repeated_requests(TraceIds& traces, int count, bool cancelled) {
  std::string lines;
  for (int id = 1; id <= count; ++id) {
    const std::uint64_t trace = traces.next();
    lines += RawClient::request_line(id, trace);
    if (cancelled) lines += cancel_line(trace);
  }
  return lines;
}

std::string bytes_of(BadKind kind, TraceIds& traces, Random& random) {
  switch (kind) {
    case BadKind::noise: return std::string(draw(random, 1, 5000), '#') + "\n";
    case BadKind::endless_message: return std::string(std::size_t{4} * 1024 * 1024, 'x');
    case BadKind::unknown_class: return RawClient::request_line(1, traces.next(), "unknown");
    case BadKind::invalid_figure:
      return RawClient::request_line(1, traces.next(), "report", ",\"need_mb\":-1");
    case BadKind::no_id: return "{\"jsonrpc\":\"2.0\",\"method\":\"report\",\"params\":{}}\n";
    case BadKind::repeated_id:
      return RawClient::request_line(1, traces.next()) + RawClient::request_line(1, traces.next());
    case BadKind::cancelled_at_once: return repeated_requests(traces, 300, true);
    case BadKind::half_request: return half_request(traces.next(), draw(random, 200, 60'000));
    case BadKind::large_half_request: return half_request(traces.next(), std::size_t{95} * 1024);
    case BadKind::half_request_beside_open:
      return RawClient::request_line(1, traces.next()) +
             large_request_line(2, traces.next(), 90'000).substr(0, draw(random, 3000, 90'000));
    case BadKind::too_many_requests: return repeated_requests(traces, 300, false);
    case BadKind::slow_half_request: return half_request(traces.next(), draw(random, 3000, 90'000));
    case BadKind::silent:
    case BadKind::count: break;
  }
  return {};
}

/// A bad client: it sends what its kind sends, reads what it is sent, and leaves.
class BadClient {
 public:
  BadClient(std::uint16_t port, BadKind kind, TraceIds& traces, Random& random)
      : wire_(Wire::connect(port)),
        bytes_(bytes_of(kind, traces, random)),
        bytes_per_step_(kind == BadKind::slow_half_request ? 50 : std::string::npos),
        leaves_at_(Clock::now() + draw_ms(random, 50, 4000)) {}

  /// Sends and reads what is possible. Returns false once the client has left or was turned away.
  bool step() {
    written_ += wire_.write_available(std::string_view(bytes_).substr(written_, bytes_per_step_));
    return wire_.read(0).has_value() && Clock::now() < leaves_at_;
  }

 private:
  Wire wire_;
  std::string bytes_;
  std::size_t written_ = 0;
  std::size_t bytes_per_step_;
  Clock::time_point leaves_at_;
};

// ---- Sound clients ----

/// A sound client: it writes requests in pieces, one after the other, each at most once.
class SoundClient {
 public:
  /// How it writes.
  struct Habit {
    std::size_t statement_bytes = 0;
    std::size_t pieces = 1;
    std::chrono::milliseconds pause{};  ///< between pieces
    bool new_connections = false;  ///< one for each request
  };

  SoundClient(std::uint16_t port, const Habit& habit) : port_(port), habit_(habit), client_(port) {}

  /// Writes the next piece if it is due, and reads the answer.
  void step(TraceIds& traces, bool may_begin) {
    if (unwritten_.empty() && !written_at_ && may_begin) begin(traces.next());
    if (!unwritten_.empty() && Clock::now() >= next_piece_at_) write_piece();
    if (written_at_) read_answer();
  }
  [[nodiscard]] bool is_idle() const { return unwritten_.empty() && !written_at_; }
  [[nodiscard]] std::size_t served() const { return served_; }
  /// What went wrong, one line each.
  [[nodiscard]] const std::string& failures() const { return failures_; }

 private:
  void begin(std::uint64_t trace) {
    if (habit_.new_connections || is_broken_) {
      client_ = RawClient(port_);
      last_id_ = 0;
      is_broken_ = false;
    }
    unwritten_ = large_request_line(++last_id_, trace, habit_.statement_bytes);
    piece_bytes_ = unwritten_.size() / habit_.pieces + 1;
    next_piece_at_ = Clock::now();
  }
  void write_piece() {
    const std::string piece = unwritten_.substr(0, piece_bytes_);
    const std::size_t written = client_.wire().write_available(piece);
    unwritten_.erase(0, written);
    next_piece_at_ = Clock::now() + habit_.pause;
    if (unwritten_.empty()) written_at_ = Clock::now();
    if (written == 0 && client_.wire().has_input()) fail("connection ended while writing");
  }
  void read_answer() {
    const std::string outcome = client_.wire().has_input() ? client_.outcome(1) : "nothing";
    if (outcome == "served:a\tb\tc\n") {
      ++served_;
      written_at_.reset();
    } else if (outcome != "nothing" || Clock::now() - *written_at_ > sound_patience) {
      fail(outcome);
    }
  }
  void fail(const std::string& outcome) {
    failures_ += "request " + std::to_string(last_id_) + " of " + std::to_string(habit_.statement_bytes) +
                 " bytes in " + std::to_string(habit_.pieces) + " pieces: " + outcome + "\n";
    unwritten_.clear();
    written_at_.reset();
    is_broken_ = true;
  }

  std::uint16_t port_;
  Habit habit_;
  RawClient client_;
  std::string unwritten_;
  std::size_t piece_bytes_ = 0;
  Clock::time_point next_piece_at_;
  std::optional<Clock::time_point> written_at_;  // while an answer is owed
  int last_id_ = 0;
  bool is_broken_ = false;
  std::size_t served_ = 0;
  std::string failures_;
};

// ---- The soak ----

struct SoakConditions {
  std::uint32_t memory_mb = 0;
  std::uint32_t descriptors = 0;
  std::uint64_t seed = 0;
};

class BadClientsOfAllKinds : public IncidentTest, public ::testing::WithParamInterface<SoakConditions> {
 protected:
  BadClientsOfAllKinds()
      : IncidentTest(2, {.max_descriptors = GetParam().descriptors,
                         .memory_mb = GetParam().memory_mb,
                         .streams_per_connection = 32}),
        random_(number_from_environment("PADDLESTAND_SOAK_SEED", GetParam().seed)) {}

  void add_sound_clients() {
    const std::vector<SoundClient::Habit> habits{
        {.statement_bytes = 20},
        {.statement_bytes = 300, .new_connections = true},
        {.statement_bytes = 1500, .pieces = 4, .pause = 50ms},
        {.statement_bytes = 20'000, .pieces = 8, .pause = 100ms, .new_connections = true},
        {.statement_bytes = 66'000, .pieces = 20, .pause = 50ms},
        {.statement_bytes = 66'000, .pieces = 10, .pause = 150ms, .new_connections = true}};
    for (const SoundClient::Habit& habit : habits) sound_clients_.emplace_back(manager().port(), habit);
  }
  void step(bool may_begin) {
    for (SoundClient& client : sound_clients_) client.step(traces_, may_begin);
    std::erase_if(bad_clients_, [](BadClient& client) { return !client.step(); });
    const std::size_t wanted = may_begin ? GetParam().descriptors / 3 - 2 * sound_clients_.size() : 0;
    constexpr std::size_t max_new_per_step = 40;
    for (std::size_t i = 0; i < max_new_per_step && bad_clients_.size() < wanted; ++i) {
      const auto kind = static_cast<BadKind>(draw(random_, 0, static_cast<std::size_t>(BadKind::count) - 1));
      bad_clients_.emplace_back(manager().port(), kind, traces_, random_);
    }
  }
  void poll_engines_once() {
    run_until([polled = false]() mutable { return std::exchange(polled, true); }, serve_request);
  }
  [[nodiscard]] bool all_are_idle() const {
    return std::all_of(sound_clients_.begin(), sound_clients_.end(),
                       [](const SoundClient& client) { return client.is_idle(); });
  }
  [[nodiscard]] const std::deque<SoundClient>& sound_clients() const { return sound_clients_; }

 private:
  Random random_;
  TraceIds traces_;
  std::deque<SoundClient> sound_clients_;
  std::list<BadClient> bad_clients_;
};

// Every request of a sound client is served, and the manager stays within its memory limit.
TEST_P(BadClientsOfAllKinds, DelayNoSoundClient) {
  const auto end =
      Clock::now() + std::chrono::seconds(number_from_environment("PADDLESTAND_SOAK_SECONDS", 8));
  add_sound_clients();
  while (Clock::now() < end) {
    step(true);
    poll_engines_once();
  }
  while (!all_are_idle()) {
    step(false);
    poll_engines_once();
  }

  for (const SoundClient& client : sound_clients()) {
    EXPECT_EQ(client.failures(), "");
    EXPECT_GT(client.served(), 0U);
  }
  EXPECT_EQ(manager().count_logged("violation"), 0U);
  RecordProperty("peak_memory_kb", std::to_string(manager().peak_memory_kb()));
#ifndef __SANITIZE_ADDRESS__  // sanitizers use many times the memory
  EXPECT_LE(manager().peak_memory_kb(), std::size_t{GetParam().memory_mb} * 1024);
#endif
}

INSTANTIATE_TEST_SUITE_P(Limits, BadClientsOfAllKinds,
                         ::testing::Values(SoakConditions{32, 256, 41}, SoakConditions{32, 1024, 42},
                                           SoakConditions{48, 608, 43}, SoakConditions{192, 1024, 44}),
                         [](const auto& info) {
                           return std::to_string(info.param.memory_mb) + "MBAnd" +
                                  std::to_string(info.param.descriptors) + "Descriptors";
                         });

}  // namespace
}  // namespace paddlestand::platform::test
