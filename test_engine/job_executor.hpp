/// Runs jobs on the engine model in real time, on one event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

#include "simulation/engine_model/engine_model.hpp"

namespace paddlestand::test_engine {

/// Is notified when its job has ended by itself.
class JobOwner {
 public:
  virtual ~JobOwner() = default;
  virtual void on_job_end(const simulation::JobEnd& end) = 0;

 protected:
  JobOwner() = default;
  JobOwner(const JobOwner&) = default;
  JobOwner& operator=(const JobOwner&) = default;
};

/// Holds no owner alive. Belongs to the event loop's thread.
class JobExecutor {
 public:
  /// `started_s`: when the engine started, on the shared clock.
  JobExecutor(boost::asio::io_context& io, const simulation::EngineShape& shape, double started_s);

  [[nodiscard]] simulation::JobId next_id() { return ++last_job_; }
  /// Starts `job`, whose id is from next_id(). Its owner is notified only if it was accepted.
  simulation::Admission start(const simulation::Job& job, std::weak_ptr<JobOwner> owner);
  /// Ends a job without notifying its owner.
  void cancel(simulation::JobId job);
  /// The job goes on, and nobody is notified of its end.
  void detach(simulation::JobId job);
  /// Replaces a running job's priority and memory grant.
  void set_terms(simulation::JobId job, std::uint8_t priority, double memory_mb);

  /// The model, to be changed by faults; update() must follow.
  [[nodiscard]] simulation::EngineModel& model() { return model_; }
  /// Notifies the owners of jobs that have ended, and waits for the next end.
  void update();

 private:
  void arm_timer();

  simulation::EngineModel model_;
  boost::asio::steady_timer timer_;
  std::map<simulation::JobId, std::weak_ptr<JobOwner>> owners_;
  simulation::JobId last_job_ = 0;
};

}  // namespace paddlestand::test_engine
