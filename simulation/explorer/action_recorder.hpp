/// The explorer's implementations of a manager's host: one executes the manager's actions on a ModelState and
/// checks each against the model, the other only detects whether an event causes any action.
#pragma once

#include <cstdint>
#include <string>

#include "core/event_dispatcher.hpp"
#include "model_state.hpp"

namespace paddlestand::explorer {

/// Executes the actions of one manager on the model and reports those that violate an invariant. Created for
/// one event; holds a reference to the model.
class ActionRecorder final : public core::HostInterface {
 public:
  ActionRecorder(ModelState& model, std::uint32_t manager_index);

  TimePoint now() override;
  core::WriteResult send(const core::SendQuery& action) override;
  core::WriteResult send(const core::SendProbe& action) override;
  void execute(const core::OpenChannel& action) override;
  void execute(const core::CancelOnEngine& action) override;
  void execute(const core::UpdateResourceGrant& action) override;
  void execute(const core::CloseChannel& action) override;
  void execute(const core::Deliver& action) override;
  void execute(const core::Discard& action) override;
  void execute(const core::PauseChannel& action) override;
  void execute(const core::ResumeChannel& action) override;
  void execute(const core::Answer& action) override;
  void execute(const core::LogMessage& action) override;
  void execute(const core::ShutdownComplete& action) override;
  void on_violation(const InvariantViolation& violation) override;

 private:
  void check_order(QueryId query, const ObservedQuery& observed);
  void deliver_row(const Row& row, std::size_t client_index);
  void check_answer(const core::Answer& action, const ObservedQuery& observed);
  void update_client(const core::Answer& action, std::uint32_t client_index);
  void submit_pipelined_query(std::uint32_t client_index);
  void disconnect_if_broken(std::uint32_t client_index);
  void report(Invariant invariant, std::string what);

  ModelState& model_;
  std::uint32_t manager_index_;
  ManagerState& manager_;
};

/// Detects whether an event causes any action other than a log message. Executes none.
class ActionDetector final : public core::HostInterface {
 public:
  explicit ActionDetector(TimePoint now) : now_(now) {}

  TimePoint now() override { return now_; }
  core::WriteResult send(const core::SendQuery&) override { return detect(); }
  core::WriteResult send(const core::SendProbe&) override { return detect(); }
  void execute(const core::OpenChannel&) override { detect(); }
  void execute(const core::CancelOnEngine&) override { detect(); }
  void execute(const core::UpdateResourceGrant&) override { detect(); }
  void execute(const core::CloseChannel&) override { detect(); }
  void execute(const core::Deliver&) override { detect(); }
  void execute(const core::Discard&) override { detect(); }
  void execute(const core::PauseChannel&) override { detect(); }
  void execute(const core::ResumeChannel&) override { detect(); }
  void execute(const core::Answer&) override { detect(); }
  void execute(const core::LogMessage&) override {}
  void execute(const core::ShutdownComplete&) override { detect(); }
  void on_violation(const InvariantViolation&) override { detect(); }

  [[nodiscard]] bool has_detected() const { return has_detected_; }

 private:
  core::WriteResult detect() {
    has_detected_ = true;
    return core::WriteResult::partial;
  }

  TimePoint now_;
  bool has_detected_ = false;
};

}  // namespace paddlestand::explorer
