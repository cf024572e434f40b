#include "engine_processes.hpp"

#include <chrono>
#include <csignal>
#include <iterator>

#include "child_process.hpp"
#include "run_addresses.hpp"

namespace paddlestand::faults {
namespace {

constexpr EngineId first_engine = 100;
constexpr std::int64_t kill_limit = 1 * ns_per_second;
constexpr std::int64_t publish_delay = 100 * ns_per_millisecond;  // after the start of an added engine
constexpr double max_restart_delay_s = 0.3;
constexpr double max_removal_delay_s = 0.2;
constexpr double max_return_delay_s = 0.3;  // after the removal is published

discovery::Record ready_record(std::uint32_t index) {
  const Endpoint address = engine_address(index);
  discovery::Record record;
  record.entry.engine = first_engine + index;
  record.entry.state = EngineState::ready;
  record.entry.weight = 1;
  record.address = address.host;
  record.port = address.port;
  return record;
}

std::chrono::nanoseconds wall_clock_now() { return std::chrono::system_clock::now().time_since_epoch(); }

}  // namespace

void EngineProcesses::start(std::uint32_t index, HangWindow hang) {
  const Profile& profile = run_.profile;
  processes_.emplace_back(run_.options.self, "engine", "--listen", engine_address(index).text(), "--log",
                          run_.path("engine" + std::to_string(index) + ".events"), "--number",
                          std::to_string(first_engine + index), "--seed", std::to_string(run_.options.seed),
                          "--trouble", std::to_string(profile.engine_fault_scale), "--late",
                          std::to_string(profile.late_frame_scale), "--hang-from",
                          std::to_string(hang.from_s), "--hang-until", std::to_string(hang.until_s),
                          profile.hanging_engines_stop_reading ? "--deaf" : "--hears");
}

void EngineProcesses::start_all() {
  constexpr std::uint32_t hanging_share = 4;  // one in this number of engines hangs
  std::vector<discovery::Record> records;
  for (std::uint32_t i = 0; i < run_.profile.engines; ++i) {
    // Drawn for every engine, whether it hangs or not, so that later draws do not shift.
    const double hang_from_s = run_.random.between(2, run_.options.seconds / 2);
    HangWindow hang;
    if (run_.profile.engines_hang && i % hanging_share == 0) {
      hang.from_s = hang_from_s;
      hang.until_s = hang_from_s + run_.random.between(1, 4);
    }
    start(i, hang);
    records.push_back(ready_record(i));
  }
  discovery_ =
      std::make_unique<Discovery>(first_discovery_address(), second_discovery_address(), std::move(records));
}

void EngineProcesses::restart(std::uint32_t index) {
  auto process = std::next(processes_.begin(), index);
  // After this event none of its attempts counts as active, no matter when managers detect the lost
  // connections.
  run_.event_log.write(
      {.kind = EventKind::engine_killed, .at = monotonic_now(), .subject = first_engine + index});
  ::kill(process->id(), SIGKILL);
  ends_within(*process, kill_limit);
  run_.schedule.after(from_seconds(run_.random.between(0, max_restart_delay_s)),
                      [this, index] { replace(index); });
}

void EngineProcesses::replace(std::uint32_t index) {
  start(index, HangWindow{});
  std::swap(*std::next(processes_.begin(), index), processes_.back());

  auto removed = ready_record(index);
  removed.entry.state = EngineState::removed;
  const std::int64_t removal_delay = from_seconds(run_.random.between(0, max_removal_delay_s));
  run_.schedule.after(removal_delay, [this, removed] { discovery_->publish(removed); });

  auto returned = ready_record(index);
  returned.entry.started = wall_clock_now();
  const bool at_once = run_.random.below(2) == 0;
  const std::int64_t return_delay = at_once ? 0 : from_seconds(run_.random.between(0, max_return_delay_s));
  run_.schedule.after(removal_delay + return_delay, [this, returned] { discovery_->publish(returned); });
}

void EngineProcesses::drain(std::uint32_t index) {
  auto record = ready_record(index);
  record.entry.state = EngineState::draining;
  discovery_->publish(record);
  run_.event_log.write(
      {.kind = EventKind::engine_draining, .at = monotonic_now(), .subject = first_engine + index});
}

void EngineProcesses::add(std::uint32_t index) {
  start(index, HangWindow{});
  auto record = ready_record(index);
  record.entry.started = wall_clock_now();
  run_.schedule.after(publish_delay, [this, record] { discovery_->publish(record); });
}

void EngineProcesses::terminate_all() {
  for (boost::process::child& process : processes_) {
    std::error_code ignored;
    process.terminate(ignored);
  }
}

}  // namespace paddlestand::faults
