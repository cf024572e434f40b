#include "dispatcher_host.hpp"

#include <algorithm>

namespace paddlestand::service {
using boost::system::error_code;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t scratch_bytes = std::size_t{256} * 1024;
constexpr Duration min_stall = std::chrono::milliseconds(10);  // smaller delays of a timer are normal
constexpr Duration recent_stall_window = std::chrono::milliseconds(50);

TimePoint steady_now() { return steady_clock::now().time_since_epoch(); }

}  // namespace

core::ChannelLossReason loss_reason_of(const ConnectFailure& failure) {
  return failure.verdict == core::CallVerdict::refused ? core::ChannelLossReason::refused
                                                       : core::ChannelLossReason::local;
}

DispatcherHost::DispatcherHost(boost::asio::io_context& io, const observe::LogConfig& log,
                               const std::string& name, const core::CoreSettings& core)
    : io_(io),
      log_(log, name),
      dispatcher_(core, true),
      timer_(io),
      last_clock_read_(steady_now()),
      resumes_(ResumeMonitor::count()),
      scratch_(scratch_bytes) {}

void DispatcherHost::dispatch(core::CoreEvent event) {
  const bool first = !dispatcher_.is_dispatching();
  dispatcher_.dispatch(std::move(event), *this);
  if (first) arm_timer();  // once per turn: later events of a turn may cancel timers set by earlier ones
}

TimePoint DispatcherHost::now() {
  ResumeCount resumes = 0;
  TimePoint now{};
  do {
    resumes = ResumeMonitor::count();
    now = steady_now();
  } while (ResumeMonitor::count() != resumes);  // the process was stopped between the two calls
  if (resumes != resumes_) stops_.add(last_clock_read_, now);
  resumes_ = resumes;
  last_clock_read_ = now;
  return now;
}

Duration DispatcherHost::event_loop_lag() {
  const TimePoint now = this->now();
  // Input that arrived during a stall is read in the turns right after it, before or after the timer fires.
  const Duration recent = now - last_stall_at_ < recent_stall_window ? last_stall_ : Duration{};
  const Duration pending = armed_for_ ? now - *armed_for_ : Duration{};
  return std::max({Duration{0}, recent, pending, stops_.delay(now)});
}

void DispatcherHost::count(core::Violation violation, const observe::LogField& subject) {
  if (violations_.add(violation)) {
    log_.error(observe::LogEvent::violation,
               {{observe::LogFieldName::violation, core::name_of(violation)}, subject});
  }
}

void DispatcherHost::on_violation(const core::InvariantViolation& violation) {
  log_.error(observe::LogEvent::invariant_violated,
             {{observe::LogFieldName::invariant, core::name_of(violation.invariant)}}, violation.what);
}

void DispatcherHost::execute(const core::LogMessage& action) {
  log_.info(observe::LogEvent::health_changed, action.text);
}

void DispatcherHost::arm_timer() {
  const auto due = dispatcher_.due();
  if (!due || stopped_ || (armed_for_ && *armed_for_ <= *due)) return;
  armed_for_ = due;
  timer_.expires_at(steady_clock::time_point(std::chrono::duration_cast<steady_clock::duration>(*due)));
  timer_.async_wait([this](const error_code& error) {
    if (!error) on_timer();
  });
}

void DispatcherHost::on_timer() {
  const TimePoint now = this->now();
  if (armed_for_ && now - *armed_for_ > min_stall) {
    last_stall_at_ = now;
    last_stall_ = now - *armed_for_;
  }
  armed_for_.reset();
  dispatch(core::TimerExpired{});
}

void DispatcherHost::stop() {
  stopped_ = true;
  dispatcher_.stop();
  io_.stop();
}

}  // namespace paddlestand::service
