#include "engine_context.hpp"

#include "session.hpp"

namespace paddlestand::test_engine {
namespace {

/// Returns the start time of the engine on the shared clock. If the engine does not start in slow start, that
/// time is so long ago that the slow start is over.
double start_time_s(const TestEngineSettings& settings) {
  const double now_s = shared_clock_s();
  return settings.starts_in_slow_start ? now_s : now_s - settings.shape.slow_start_duration - 1;
}

}  // namespace

EngineContext::EngineContext(boost::asio::io_context& io, const TestEngineSettings& settings)
    : io_context(io),
      log(settings.name, settings.truth_log),
      jobs(io, settings.shape, start_time_s(settings)),
      random(settings.seed),
      report_period_s(settings.report_period_s) {}

bool EngineContext::draw_bernoulli(double probability) {
  return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

std::string EngineContext::load_report() {
  const double now_s = shared_clock_s();
  if (now_s - reported_at_s_ >= report_period_s) {
    reported_load_ = static_cast<double>(jobs.model().job_count());
    reported_at_s_ = now_s;
  }
  return std::to_string(static_cast<int>(reported_load_));
}

std::vector<std::shared_ptr<Session>> EngineContext::live_sessions() const {
  std::vector<std::shared_ptr<Session>> live;
  for (const auto& [process, weak] : sessions) {
    if (auto session = weak.lock()) live.push_back(std::move(session));
  }
  return live;
}

std::shared_ptr<Session> EngineContext::find_session(std::uint32_t process) const {
  const auto found = sessions.find(process);
  return found == sessions.end() ? nullptr : found->second.lock();
}

}  // namespace paddlestand::test_engine
