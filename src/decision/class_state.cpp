#include "decision/class_state.hpp"

#include "decision/visit_fields.hpp"

namespace paddlestand::decision {

void visit_class(StateVisitor& visitor, ClassState& class_state) {
  ClassState& c = class_state;
  visit_sequence(visitor, c.queue, [&](RequestId& id) { visitor.name(StateVisitor::Name::request, id); });
  visit_numbers(visitor, c.queued_cost, c.running_cost, c.drain_rate, c.feedback_bound, c.admission_bound,
                c.last_error, c.largest_cost, c.finished_cost);
  visit_numbers(visitor, c.latency_sum, c.answers, c.finish_rate, c.cost_bias, c.cost_samples, c.cost_scatter,
                c.mean_cost, c.arrivals);
  visit_numbers(visitor, c.memory_bias, c.memory_samples, c.slowdown, c.slowdown_samples);
  visit_integers(visitor, c.had_backlog, c.is_closed, c.had_arrivals, c.is_announced);
}

}  // namespace paddlestand::decision
