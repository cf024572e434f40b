/// Runs jobs on the engine model in real time, on one event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

#include "simulation/engine_model/engine_model.hpp"

namespace paddlestand::test_engine {

/// Is notified when its job has finished.
class JobOwner {
 public:
  virtual ~JobOwner() = default;
  virtual void on_job_end(const simulation::JobEnd& end) = 0;

 protected:
  JobOwner() = default;
  JobOwner(const JobOwner&) = default;
  JobOwner& operator=(const JobOwner&) = default;
};

/// Holds weak references to the owners. Used only on the thread of the event loop.
class JobExecutor {
 public:
  /// `started_s` is the start time of the engine on the shared clock.
  JobExecutor(boost::asio::io_context& io, const simulation::EngineShape& shape, double started_s);

  [[nodiscard]] simulation::JobId next_id() { return ++last_job_id_; }
  /// Starts `job`, whose id comes from next_id(). Its owner is notified of its end only if the job is
  /// accepted.
  simulation::Admission start(const simulation::Job& job, std::weak_ptr<JobOwner> owner);
  /// Stops a job without notifying its owner.
  void cancel(simulation::JobId job);
  /// Lets the job continue without notifying its owner of its end.
  void detach(simulation::JobId job);
  /// Replaces a running job's priority and memory grant.
  void set_terms(simulation::JobId job, std::uint8_t priority, double memory_mb);

  /// For fault injection. Call update() after a change.
  [[nodiscard]] simulation::EngineModel& model() { return model_; }
  /// Notifies the owners of jobs that have finished, and arms the timer for the next job to finish.
  void update();

 private:
  void arm_timer();

  simulation::EngineModel model_;
  boost::asio::steady_timer timer_;
  std::map<simulation::JobId, std::weak_ptr<JobOwner>> owners_;
  simulation::JobId last_job_id_ = 0;
};

}  // namespace paddlestand::test_engine
