#include "job_executor.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "truth_log.hpp"

namespace paddlestand::test_engine {

JobExecutor::JobExecutor(boost::asio::io_context& io, const simulation::EngineShape& shape, double started_s)
    : model_(shape, started_s), timer_(io) {}

simulation::Admission JobExecutor::start(const simulation::Job& job, std::weak_ptr<JobOwner> owner) {
  const simulation::Admission admission = model_.start(shared_clock_s(), job);
  if (admission != simulation::Admission::accepted) return admission;
  owners_[job.id] = std::move(owner);
  arm_timer();
  return admission;
}

void JobExecutor::cancel(simulation::JobId job) {
  model_.cancel(shared_clock_s(), job);
  owners_.erase(job);
}

void JobExecutor::detach(simulation::JobId job) { owners_.erase(job); }

void JobExecutor::set_terms(simulation::JobId job, std::uint8_t priority, double memory_mb) {
  model_.set_terms(shared_clock_s(), job, priority, memory_mb);
}

void JobExecutor::update() {
  for (const simulation::JobEnd& end : model_.advance(shared_clock_s())) {
    const auto found = owners_.find(end.id);
    if (found == owners_.end()) continue;
    const auto owner = found->second.lock();
    owners_.erase(found);
    if (owner) owner->on_job_end(end);
  }
  arm_timer();
}

void JobExecutor::arm_timer() {
  const auto next_end = model_.next_end();
  if (!next_end) return;
  const double wait_s = std::max(0.0, *next_end - shared_clock_s());
  timer_.expires_after(std::chrono::nanoseconds(static_cast<std::int64_t>(wait_s * 1e9)));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) update();
  });
}

}  // namespace paddlestand::test_engine
