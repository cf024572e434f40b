/// \file
/// Facade of the decision module: owns the components of this folder and dispatches events to them.
#include "paddlestand/workload_manager.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "decision/action_sink.hpp"
#include "decision/admission_controller.hpp"
#include "decision/attempt_timeouts.hpp"
#include "decision/cost_model.hpp"
#include "decision/endpoint_list.hpp"
#include "decision/load_balancer.hpp"
#include "decision/manager_state.hpp"
#include "decision/outlier_detector.hpp"
#include "decision/peer_gossip.hpp"
#include "decision/request_lifecycle.hpp"
#include "decision/resource_grants.hpp"
#include "decision/send_rules.hpp"
#include "decision/slow_start.hpp"
#include "decision/units.hpp"

namespace paddlestand {
namespace decision {
namespace {

/// Period of the checks for overdue attempts, silent engines and requests that are too late, in seconds.
constexpr double check_period = 0.05;
/// Tolerance when a deadline is compared with the time of its timer, in seconds.
constexpr double timer_tolerance = 1e-6;

/// Whether an attempt with this result certainly did not run.
bool proves_not_run(AttemptResult result) {
  return result == AttemptResult::rejected || result == AttemptResult::connect_failed ||
         result == AttemptResult::not_sent;
}

/// Whether an attempt with this result may still run on its engine.
bool may_still_run(AttemptResult result) {
  return result == AttemptResult::timed_out || result == AttemptResult::reset ||
         result == AttemptResult::cancelled;
}

}  // namespace
}  // namespace decision

using namespace decision;

class WorkloadManager::Impl {
 public:
  explicit Impl(Settings settings) : state_(std::move(settings)) {}
  /// Copies the state; the components of the copy refer to the copy's state.
  Impl(const Impl& other) : state_(other.state_) {}
  Impl& operator=(const Impl&) = delete;

  void handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
    actions_.write_to(actions);
    if (!state_.schedule.is_started) start(now);
    state_.now = to_seconds(now - state_.schedule.origin);
    std::visit([this](const auto& typed_event) { on(typed_event); }, event);
    send_queued_requests();
    gossip_.send_if_due();
  }

  void visit(StateVisitor& visitor) { state_.visit(visitor); }

 private:
  void start(TimePoint now) {
    state_.schedule.is_started = true;
    state_.schedule.origin = now;
    state_.schedule.next_control_period = control_period;
    if (state_.settings.endpoints_on_subscription) actions_.emit(SubscribeEndpoints{});
    actions_.set_timer(check_period);
  }

  void on(const EndpointsChanged& event) { endpoints_.apply(event); }

  void on(const RequestArrived& event) {
    if (event.class_index >= state_.classes.size() || state_.requests.contains(event.request)) {
      actions_.emit(Fail{event.request});
      return;
    }
    state_.retry_budget.record_arrival(state_.now);
    Request& request = state_.requests.add(make_request(event));
    if (request.has_cost_estimate) costs_.record_arrival(request);
    state_.class_of(request).is_announced = gossip_.should_announce(request.class_index);
    admission_.record_arrival(request);
    if (request.ordering_key != 0) state_.ordering_keys.append(request.ordering_key, request.id);
    actions_.set_timer(request.deadline - answer_margin(state_.settings) - state_.now);
    if (admission_.admits(request) && !admission_.is_too_late(request)) {
      lifecycle_.enqueue(request);
    } else {
      lifecycle_.reject_or_fail(request);
    }
  }

  Request make_request(const RequestArrived& event) {
    const ClassSettings& settings = state_.settings.classes[event.class_index];
    Request request;
    request.id = event.request;
    request.class_index = event.class_index;
    request.ordering_key = settings.ordered_by_key ? event.ordering_key : 0;
    request.arrived_at = state_.now;
    request.first_of_key_since = state_.now;
    request.deadline = state_.now + to_seconds(event.client_timeout);
    request.estimated_memory = event.estimated_memory_mb;
    request.tables = std::isfinite(event.tables) ? event.tables : 0.0;
    request.has_cost_estimate = event.estimated_cost && event.estimated_cost->count() > 0;
    request.estimated_cost = request.has_cost_estimate ? to_seconds(*event.estimated_cost)
                                                       : state_.classes[event.class_index].mean_cost;
    request.over_quota = !state_.tenant_quota.consume(event.tenant, state_.now);
    return request;
  }

  void on(const AnswerStarted& event) {
    Request* request = state_.requests.find(event.request);
    if (request != nullptr) request->has_answer_started = true;
  }

  void on(const AttemptEnded& event) {
    Request* request = state_.requests.find(event.request);
    if (request == nullptr || event.attempt >= request->attempts.size()) return;
    Attempt& attempt = request->attempts[event.attempt];
    if (!attempt.in_flight) return;
    lifecycle_.end_attempt(*request, attempt);
    attempt.may_have_run = !proves_not_run(event.result);
    if (event.result == AttemptResult::served) {
      admission_.record_answer(*request, attempt);
      costs_.learn(*request, attempt, event);
    }
    if (!attempt.of_earlier_process) {
      balancer_.record_report(state_.engines.at(attempt.engine), event.report);
      outliers_.record_outcome(*request, attempt, event.result);
    }
    if (request->ordering_key != 0 && may_still_run(event.result)) settle(request->ordering_key);
    retry_or_close(*request, event);
  }

  /// Delays the next request of the key while the ended attempt may still run.
  void settle(std::uint64_t key) {
    const double settle_time = to_seconds(state_.settings.ordering_settle_time);
    const double margin =
        state_.settings.ordering_settle_time.count() > 0 ? answer_margin(state_.settings) : 0.0;
    state_.ordering_keys.settle_until(key, state_.now + settle_time + margin);
  }

  void retry_or_close(Request& request, const AttemptEnded& event) {
    if (event.request_over || event.result == AttemptResult::served) {
      lifecycle_.close(request);
    } else if (request.is_over) {
      lifecycle_.erase_if_done(request.id);
    } else if (request.is_in_flight()) {
      return;
    } else if (rules_.may_retry(request)) {
      lifecycle_.enqueue(request);
    } else {
      lifecycle_.reject_or_fail(request);
    }
  }

  void on(const RequestAbandoned& event) {
    Request* request = state_.requests.find(event.request);
    if (request != nullptr && !request->is_over) lifecycle_.abandon(*request);
  }

  void on(const TimerFired&) {
    answer_at_deadline();
    Schedule& schedule = state_.schedule;
    if (state_.now < schedule.next_check) return;
    // Timers of deadlines cause this event too and may run the checks early, but not within half a period of
    // the last run. Each run sets a timer for the next one, so at most one period lies between two runs.
    schedule.next_check = state_.now + check_period / 2;
    actions_.set_timer(check_period);
    if (state_.now >= schedule.next_control_period) {
      schedule.next_control_period = state_.now + control_period - check_period / 2;
      run_control_period();
    }
    if (schedule.resubscribe_at > 0 && state_.now >= schedule.resubscribe_at &&
        state_.settings.endpoints_on_subscription) {
      schedule.resubscribe_at = 0;
      actions_.emit(SubscribeEndpoints{});
    }
    run_checks();
  }

  void answer_at_deadline() {
    const double margin = answer_margin(state_.settings);
    const RequestTable::Deadlines& deadlines = state_.requests.deadlines();
    while (!deadlines.empty() && deadlines.begin()->first - margin <= state_.now + timer_tolerance) {
      lifecycle_.reject_or_fail(state_.requests.at(deadlines.begin()->second));
    }
  }

  void run_control_period() {
    admission_.update_bounds();
    state_.retry_budget.erase_old_retries(state_.now);
    state_.ordering_keys.erase_settled(state_.now);
    outliers_.erase_removed_engines();
    slow_start_.erase_sends_to_warm_engines();
  }

  void run_checks() {
    outliers_.count_overdue_attempts();
    answer_too_late_requests();
    outliers_.check_engines();
    gossip_.expire();
    timeouts_.cancel_overdue();
    balancer_.update_bounds();
  }

  void answer_too_late_requests() {
    std::vector<RequestId> too_late;
    for (const ClassState& class_state : state_.classes) {
      for (const RequestId id : class_state.queue) {
        if (admission_.is_too_late(state_.requests.at(id))) too_late.push_back(id);
      }
    }
    std::sort(too_late.begin(), too_late.end());  // by id over all classes
    for (const RequestId id : too_late) lifecycle_.reject_or_fail(state_.requests.at(id));
  }

  void on(const ProbeEnded& event) {
    const auto found = state_.engines.find(event.engine);
    if (found == state_.engines.end()) return;
    Engine& engine = found->second;
    engine.is_probing = false;
    balancer_.record_report(engine, event.report);
    outliers_.record_probe(engine, event.result);
  }

  void on(const GossipReceived& event) { gossip_.receive(event); }

  void on(const ProgressReported& event) { timeouts_.record_progress(event); }

  /// Sends queued requests in order of arrival within each class, starting with the class that has the
  /// highest priority weight per second of work.
  void send_queued_requests() {
    std::vector<std::size_t> waiting;
    for (std::size_t i = 0; i < state_.classes.size(); ++i) {
      if (!state_.classes[i].queue.empty()) waiting.push_back(i);
    }
    const auto density = [this](std::size_t i) {
      const ClassState& class_state = state_.classes[i];
      return costs_.priority_weight(i) / std::max(class_state.mean_cost * class_state.cost_bias, 1e-3);
    };
    std::stable_sort(waiting.begin(), waiting.end(),
                     [&](std::size_t first, std::size_t second) { return density(first) > density(second); });
    for (const std::size_t i : waiting) send_queued_requests_of(i);
  }

  void send_queued_requests_of(std::size_t class_index) {
    const std::vector<RequestId> queue = state_.classes[class_index].queue;
    for (const RequestId id : queue) {
      Request& request = state_.requests.at(id);
      // It waits for its ordering key or the retry budget, not for engines: later requests may overtake it.
      if (!rules_.has_turn(request) || !rules_.is_within_retry_budget(request)) continue;
      Engine* engine = balancer_.choose(request);
      if (engine == nullptr) return;
      lifecycle_.start_attempt(request, *engine);
    }
  }

  ManagerState state_;
  ActionSink actions_;
  CostModel costs_{state_};
  ResourceGrants grants_{state_, costs_};
  AdmissionController admission_{state_, costs_, grants_};
  SlowStart slow_start_{state_, costs_};
  SendRules rules_{state_, admission_, slow_start_};
  OutlierDetector outliers_{state_, actions_, costs_, admission_};
  PeerGossip gossip_{state_, actions_, costs_};
  LoadBalancer balancer_{state_, costs_, grants_, rules_, slow_start_, outliers_};
  AttemptTimeouts timeouts_{state_, actions_, costs_, rules_, outliers_};
  RequestLifecycle lifecycle_{state_, actions_, costs_, grants_, admission_, rules_, slow_start_, gossip_};
  EndpointList endpoints_{state_, outliers_, balancer_};
};

WorkloadManager::WorkloadManager(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
WorkloadManager::~WorkloadManager() = default;
WorkloadManager::WorkloadManager(const WorkloadManager& other)
    : impl_(std::make_unique<Impl>(*other.impl_)) {}
WorkloadManager::WorkloadManager(WorkloadManager&&) noexcept = default;
WorkloadManager& WorkloadManager::operator=(WorkloadManager&&) noexcept = default;

void WorkloadManager::handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

void WorkloadManager::visit(StateVisitor& visitor) { impl_->visit(visitor); }

}  // namespace paddlestand
