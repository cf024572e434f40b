// The decision module: every decision of a workload manager, and every constant that one hangs on.
// Its types, events and actions: include/paddlestand/workload_manager.hpp. Kept and changed: docs/design.md.
//
// Sections: 1 constants | 2 class bound (predictive and reactive) | 3 ledger of requests and attempts
//           4 engine health | 5 placement | 6 rule guards | 7 event handlers | 8 state, walked over
//
// Inside, times are seconds since the first event and work is seconds on one thread.
#include "paddlestand/workload_manager.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace paddlestand {
namespace {

// ---- 1. Constants -----------------------------------------------------------------------------------------

constexpr double k_p = 4.93;  // proportional gain of the design (paper, section 4)
constexpr double k_i = 5.36;  // integral gain of the design (paper, section 4)
constexpr double gain_scale = 0.1;  // 1/s: an error of a second moves the bound by about what drains in one
constexpr double period = 1.0;  // s: every bound is set anew once a period (design page)
constexpr double watch_period = 0.05;  // s: how often overdue attempts and hopeless held queries are sought
constexpr double headroom = 0.7;  // of the aim: a mean at the aim itself would leave half of all late
constexpr double crack = 0.1;  // of max_data: left open under any pressure, for light queries
constexpr double queue_limit = 2;  // largest costs: max_data of the design is this times the largest cost
constexpr double finish_smooth = 0.25;  // of one period in the finished cost per second: one query is no rate
constexpr double rate_up = 0.5;  // weight of a period that drained faster than any seen lately
constexpr double rate_down = 0.1;  // weight of a slower one in which the class was held back
constexpr double rate_forget = 0.998;  // per period otherwise: light load tells nothing of capacity
constexpr double crowd = 4.0;  // threads a core, all gateways together: many wait for disks or locks
constexpr double quota_slack = 3;  // requests of a tenant that may come at once beyond a second of its part
constexpr double chance_margin = 1.5;  // deviations: few managers are at a small share's bound at once
constexpr double memory_margin = 0.8;  // deviations, likewise: what fills memory stays longer
constexpr double memory_ease = 3;  // times: the part of memory while engines report little
constexpr double lane_ratio = 4;  // of the cores that a step of priority gets (wire: 1 : 4 : 8 : 16)
constexpr double pressed_share = 0.7;  // of the thread bound: a key that waits its turn is no pressure
constexpr double tie_scatter = 0.05;  // in own threads over the thread bound: what counts as a tie
constexpr double learn_rate = 0.03;  // least weight of one answer in a class's learned figures
constexpr double pace_rate = 0.1;  // least weight of one answer in the learned pace
constexpr double run_quantile = 0.5;  // of run times where they stand for work: waits only lengthen them
constexpr double ratio_cap = 5;  // a single answer counts as at most this multiple of what was expected
constexpr double overdue_times = 3;  // expected run times after which an attempt speaks against its engine
constexpr double silent_after = 0.6;  // s without an answer while attempts are overdue
constexpr double cut_times = 2;  // expected run times after which a bad plan is likelier than a long query
constexpr double cut_slack = 0.25;  // s, added to it
constexpr double cut_scatter = 1.3;  // of the scatter of a class's estimates, in the exponent of these times
constexpr double note_gap = 1.6;  // periods without a note: it has ended unheard, or hangs
constexpr double plan_times = 4;  // of the expected run: from there a bad plan is likelier than a long query
constexpr double cut_floor = 3;  // cuts allowed in cut_window at the least
constexpr double cut_share = 0.2;  // and this share of the requests taken: no storm of cuts when all is slow
constexpr double cut_window = 5;  // s
constexpr double error_weight = 0.25;  // of one outcome in an engine's failures: two in a row shun it
constexpr double error_shun = 0.4;  // share of failures
constexpr double evidence_memory = 10;  // s in which what was seen of an engine fades to what is usual
constexpr double gone_memory =
    3 * evidence_memory;  // s: nothing is left of what was seen of one that is gone
constexpr double doubt_weight = 4;  // of a share of failures of one, in own threads over the thread bound
constexpr double shun_first = 1.0;  // s, doubled at each failed trial
constexpr double shun_most = 8.0;  // s
constexpr int trial_answers = 3;  // answers in a row, one at a time, before an engine is trusted again
constexpr double cold_caution = 0.9;  // of the budget of a cold engine: true work may pass what was told
constexpr double busy_at_capacity = 0.68;  // cores busy where the rules speak of capacity, less for speed
constexpr double cold_unit = 1.5;  // s of work: the least part of a cold budget that a manager can use
constexpr double unlearned_times = 2;  // told costs count this much on a cold engine until answers told more
constexpr double writer_penalty = 4;  // threads a core: an engine where a load holds the tables
constexpr double retried_penalty = 4;  // threads a core: an engine that this request was tried on
constexpr double memory_quarter = 1.25;  // grant over the corrected estimate, as engines themselves choose
constexpr double news_worth = 0.05;  // of a query's worth: what telling of it may cost
constexpr double news_rate = 350;  // messages a second that a manager may cause at its peers
constexpr double news_most = 3;  // of them to all, at once
constexpr double news_lag = 0.4;  // s: an end waits so long for a start to be told along
constexpr double news_period = 2.0;  // s: what is out is told again after that, for what was lost
constexpr double news_life = 5;  // s without news after which a peer's word counts no more
constexpr double fleet_crowd = 2.5;  // threads a core of told queries, all managers together: near the knee
constexpr double memory_fill = 0.8;  // of an engine's memory for told queries: light ones need the rest
constexpr double unused_grant = 2;  // times: where only what is used counts, too large a grant costs nothing
constexpr double zone_weight = 0.1;  // of a query more that engines of a zone report, in own threads
constexpr double end_margin_steps = 3;  // clock steps before the client's deadline at which all is answered
constexpr double full_rest = 0.25;  // s without sends after an engine turned one away
constexpr double budget_edge = 0.01;  // s: attempts are counted over so much more, requests over so much less

double seconds(Duration d) { return static_cast<double>(d.count()) * 1e-9; }
// Timers last 71 minutes at most.
Duration duration(double s) { return Duration{std::llround(std::clamp(s, 0.0, 4000.0) * 1e9)}; }
double usable(double value, double other) { return std::isfinite(value) && value > 0 ? value : other; }

struct Attempt {
  EngineId engine{};
  std::uint8_t lane{};  // its priority when sent
  double sent{}, base{}, memory{}, doubt = -1;  // base: s alone; MB granted; doubt: before it failed there
  double heard = -1, share = 0, share_at = 0;  // notes: the last; share done, and when that was told
  bool out = true, cut = false, told = false, roomy = false;  // told to peers; its engine had cores to spare
  bool may_have_run = true, charged = true;  // until proved otherwise; counted in the class's running cost
  bool of_earlier_process = false;  // its engine restarted since: it says nothing of the one that runs now
};

struct Request {
  RequestId id{};
  std::uint32_t cls{};
  std::uint64_t key{};
  double arrived{}, deadline{}, tables{}, turn{};  // turn: since when none of its key is before it
  double told{}, memory{};  // cost, or the class's mean where none was told; memory need, MB, or 0
  bool cost_told = false, over_share = false, held = false, over = false;
  bool begun = false;  // part of its answer went to the client: nothing can be sent for it again
  std::vector<Attempt> attempts;
  [[nodiscard]] bool attempt_out() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
  }
};

struct ClassState {
  std::vector<RequestId> queue;  // held, in order of arrival
  double queued = 0, running = 0;  // cost held; cost out on engines not judged ill
  double rate = 0;  // 1/rho: cost finished per second, learned
  double b_delta = 0, b_total = 0, last_error = 0;
  double largest = 0;  // largest cost seen, slowly forgotten
  double finished = 0, latency_sum = 0, answers = 0;  // this period
  double finish_rate = 0;  // per second, over some periods
  double bias = 1, samples = 0;  // work over told cost, and the answers behind it
  double scatter = 0.5;  // mean deviation of ln(work / corrected cost)
  double mean_cost = 0, arrivals = 0, memory_bias = 1, memory_samples = 0;
  double pace = 1, pace_samples = 0;  // run time over time alone, lately
  bool held_back = false, closed = false, asked = false, told = false;  // asked: this period; told to peers
};

enum class Health : std::uint8_t { well, shunned, trial };

struct Engine {
  EngineEntry entry;
  bool listed = false, probing = false;
  double cores = 1, size = 0;  // size: its memory, MB
  double queries = 0, threads = 0, memory = 0;  // ours
  double told_threads = 0, told_memory = 0;  // of peers, MB
  double failures = 0, judged_at = -1e9;  // share that failed, and when this was last told
  double last_answer = -1e9, full_until = -1e9, cold_until = -1e9;
  double overdue = 0, first_out = 0;  // attempts past their time, twice those far past; out since, no break
  Health health = Health::well;
  double shunned_until = 0, shun_length = shun_first;
  int trial_good = 0;
  std::deque<std::pair<double, double>> cold_sends;  // time, work
  std::map<double, int> writers;  // our loads on it, by tables
  [[nodiscard]] bool ready() const { return listed && entry.state == EngineState::ready; }
};

struct PeerNews {
  double at = 0;
  std::vector<GossipEntry> out;
};

}  // namespace

class WorkloadManager::Impl {
 public:
  explicit Impl(Settings settings)
      : settings_(std::make_shared<const Settings>(checked(std::move(settings)))),
        s_(*settings_),
        classes_(s_.classes.size()) {
    instances_ = std::max(1.0, static_cast<double>(s_.instances));
    random_.seed(s_.seed);
    if (s_.may_gossip) peers_.resize(std::min<std::size_t>(s_.instances, 65536));
    for (std::size_t i = 0; i < s_.tenants.size(); ++i) tenant_tokens_.push_back(quota_depth(i));
    end_margin_ = end_margin_steps * std::max(seconds(s_.clock_step), 1e-3);
  }

  void handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
    out_ = &actions;
    if (!started_) {
      started_ = true;
      origin_ = now;
      next_period_ = period;
      if (s_.endpoints_on_subscription) act(SubscribeEndpoints{});
      set_timer(watch_period);
    }
    now_ = seconds(now - origin_);
    std::visit([this](const auto& e) { on(e); }, event);
    pump();
    tell_peers();
  }

  void visit(StateVisitor& v);

 private:
  static Settings checked(Settings settings) {
    for (auto& c : settings.classes) c.threads = usable(c.threads, 1.0);
    return settings;
  }

  // ---- 2. Class bound ----

  // A told cost is corrected by what its class's answers told: costs told far too low would let the running
  // sum understate the work, and the bound admit too much (design page, last part).
  double cost_of(const Request& r) const {
    const ClassState& c = classes_[r.cls];
    return std::max(1e-3, r.cost_told ? r.told * c.bias : usable(c.mean_cost * c.bias, 0.1));
  }
  double aim_of(const Request& r) const {
    const ClassSettings& k = s_.classes[r.cls];
    return seconds(k.latency_objective) + k.objective_per_run_time * cost_of(r) / k.threads;
  }

  void set_bounds() {
    for (std::size_t i = 0; i < classes_.size(); ++i) {
      ClassState& c = classes_[i];
      double oldest = now_, newest = -1, mix = 0, present = 0, late_sum = 0, late = 0;
      for (const auto& [id, r] : requests_) {
        if (r.cls != i || r.over || !is_next(r)) continue;
        const double latency_objective = aim_of(r);
        mix += latency_objective;
        present += 1;
        if (now_ - r.turn > latency_objective) {
          // Work on a hung engine never finishes: its age belongs in the latency, or all would look calm.
          late_sum += now_ - r.turn;
          late += 1;
          continue;
        }
        oldest = std::min(oldest, r.turn);
        newest = std::max(newest, r.turn);
      }
      newest = std::max(newest, oldest);
      c.largest *= 0.999;
      c.finish_rate += finish_smooth * (c.finished / period - c.finish_rate);
      // The best rate seen counts, slowly forgotten: while load is light, finished cost measures arrivals.
      const bool grew = c.finish_rate > c.rate, held = c.held_back && !c.queue.empty();
      const double weight = grew ? rate_up : held ? rate_down : 0;
      c.rate = weight > 0 ? c.rate + weight * (c.finish_rate - c.rate) : c.rate * rate_forget;
      if (present == 0 && c.answers == 0 && !c.asked) c.b_delta = c.last_error = 0;
      const ClassSettings& k = s_.classes[i];
      const double usual_aim =
          seconds(k.latency_objective) + k.objective_per_run_time * c.mean_cost * c.bias / k.threads;
      const double latency_objective = headroom * (present > 0 ? mix / present : usual_aim);
      // The ceiling: what drains within the aim; one rare heavy query must not allow a queue of many aims.
      const double max_data = std::min(queue_limit * std::max(c.largest, 1e-3), c.rate * latency_objective);
      const double b_f = 2 * c.rate * (latency_objective - now_ + (oldest + newest) / 2) - c.running;
      if (c.answers + late > 0) {
        const double error = latency_objective - (c.latency_sum + late_sum) / (c.answers + late);
        c.b_delta += gain_scale * c.finish_rate * k_p * ((k_i + 1) * error - c.last_error);
        c.last_error = error;
      }
      c.b_delta = std::clamp(c.b_delta, -max_data, max_data);
      // Never shut wholly: that would refuse light queries along with heavy ones, as if cost did not count.
      c.b_total = std::clamp(b_f + c.b_delta, crack * max_data, max_data);
      c.closed = c.b_total <= crack * max_data;
      c.finished = c.latency_sum = c.answers = 0;
      c.asked = false, c.held_back = !c.queue.empty();
    }
  }

  // Admit what fits the bound; or what is alone in its class while engines are free, lest a class be shut.
  // What waits behind others of its key waits for them, not for engines: it fills the queue of no other key.
  bool admits(const Request& r) const {
    const ClassState& c = classes_[r.cls];
    double queued = c.queued;
    for (const RequestId id : c.queue)
      if (const Request& q = requests_.at(id); q.key != r.key && !is_next(q)) queued -= cost_of(q);
    if (cost_of(r) + queued <= c.b_total) return !(r.over_share && pressed(r));
    return queued <= 1e-9 && c.b_delta >= 0 && !pressed(r);
  }

  bool pressed(const Request& r) const { return threads_against(r) >= pressed_share * total_bound_; }

  // Our threads out as they weigh on this query: where cores are shared by priority, lower ones hardly do.
  double threads_against(const Request& r) const {
    const std::uint8_t lane = priority_of(r);
    double sum = 0;
    for (std::uint8_t i = 0; i < 4; ++i)
      sum += threads_out_[i] * (s_.engines_honor_priorities && i < lane ? std::pow(lane_ratio, i - lane) : 1);
    return sum;
  }

  // ---- 3. Ledger of requests and attempts ----

  template <typename T>
  void act(T what) {
    out_->emplace_back(std::in_place_type<T>, std::move(what));
  }
  void set_timer(double after) { act(SetTimer{0, duration(after)}); }

  double tenant_rate(std::size_t i) const { return usable(s_.tenants[i].quota_per_s, 0.0) / instances_; }
  // Chance lumps the few requests of a small part: its bucket must hold some whole ones.
  double quota_depth(std::size_t i) const { return tenant_rate(i) + quota_slack; }

  bool beyond_quota(std::uint32_t tenant) {
    if (tenant >= s_.tenants.size()) return false;
    for (std::size_t i = 0; i < tenant_tokens_.size(); ++i)
      tenant_tokens_[i] = std::min(quota_depth(i), tenant_tokens_[i] + tenant_rate(i) * (now_ - tokens_at_));
    tokens_at_ = now_;
    if (tenant_tokens_[tenant] < 1) return true;
    tenant_tokens_[tenant] -= 1;
    return false;
  }

  void hold(Request& r) {
    ClassState& c = classes_[r.cls];
    const auto place = std::find_if(c.queue.begin(), c.queue.end(),
                                    [&](RequestId id) { return requests_.at(id).arrived > r.arrived; });
    c.queue.insert(place, r.id);
    c.queued += cost_of(r);
    r.held = true;
  }

  void unhold(Request& r) {
    if (!r.held) return;
    ClassState& c = classes_[r.cls];
    std::erase(c.queue, r.id);
    c.queued = 0;
    for (const RequestId id : c.queue) c.queued += cost_of(requests_.at(id));
    r.held = false;
  }

  void start_attempt(Request& r, Engine& e) {
    unhold(r);
    const ClassSettings& k = s_.classes[r.cls];
    Attempt a;
    a.engine = e.entry.engine;
    a.sent = now_;
    a.base = cost_of(r) / k.threads;
    if (!r.attempts.empty()) further_.push_back(now_);
    if (now_ < e.cold_until) e.cold_sends.emplace_back(now_, cold_work(r));
    if (e.queries == 0) e.first_out = now_;
    a.memory = granted(r);
    e.queries += 1, e.threads += k.threads, e.memory += a.memory;
    a.told = classes_[r.cls].told;
    a.told ? news_at_ = now_ : untold_memory_ += a.memory;
    a.roomy = e.threads * instances_ <= e.cores;
    a.lane = priority_of(r);
    threads_out_[a.lane] += k.threads;
    classes_[r.cls].running += a.base * k.threads;
    if (k.writes_tables) ++e.writers[r.tables];
    r.attempts.push_back(a);
    if (s_.engines_honor_priorities || s_.engines_honor_grants) {
      const double spare = s_.memory_shortage == MemoryShortage::overcommit ? unused_grant : 1;
      act(SetResourceGrant{r.id, a.lane, s_.engines_honor_grants ? a.memory * spare : 0.0});
    }
    act(Send{r.id, e.entry.engine, duration(r.deadline - end_margin_ - now_)});
  }

  void end_attempt(const Request& r, Attempt& a) {
    const ClassSettings& k = s_.classes[r.cls];
    a.out = false;
    threads_out_[a.lane] -= k.threads;
    discharge(r, a);
    Engine& e = engines_.at(a.engine);
    e.queries -= 1, e.threads -= k.threads, e.memory -= a.memory;
    a.told ? news_at_ = std::min(news_at_, now_ + news_lag) : untold_memory_ -= a.memory;
    if (k.writes_tables && --e.writers[r.tables] <= 0) e.writers.erase(r.tables);
  }

  // Work on an engine judged ill leaves the running sum: it would only shrink the bound.
  void discharge(const Request& r, Attempt& a) {
    if (!a.charged) return;
    a.charged = false;
    double& running = classes_[r.cls].running;
    running = std::max(0.0, running - a.base * s_.classes[r.cls].threads);
  }

  void cancel_all(const Request& r) {
    for (std::size_t i = 0; i < r.attempts.size() && s_.may_cancel; ++i)
      if (r.attempts[i].out) act(Cancel{r.id, static_cast<std::uint32_t>(i)});
  }

  // The final answer, at once: a refusal where trying again is harmless, else a failure.
  void answer(Request& r) {
    if (r.over) return;
    unhold(r);
    cancel_all(r);
    may_refuse(r) ? act(Reject{r.id, retry_advice(r)}) : act(Fail{r.id});
    close_request(r);
  }

  Duration retry_advice(const Request& r) const {
    if (!s_.may_advise_retry) return {};
    const double wait = period / 2 + classes_[r.cls].queued / std::max(classes_[r.cls].rate, 1e-3);
    return std::min(s_.max_retry_after, duration(wait));
  }

  void close_request(Request& r) {
    unhold(r);
    r.over = true;
    ends_.erase({r.deadline, r.id});
    forget_if_done(r.id);
  }

  void forget_if_done(RequestId id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    const Request& r = found->second;
    if (!r.over || r.attempt_out()) return;
    if (r.key != 0) {
      auto& line = turns_[r.key];
      if (line.front() == id && line.size() > 1) requests_.at(line[1]).turn = now_;
      std::erase(line, id);
      if (line.empty()) turns_.erase(r.key);
    }
    requests_.erase(found);
  }

  void drop_older(std::deque<double>& times, double age) const {
    while (!times.empty() && times.front() < now_ - age) times.pop_front();
  }

  // ---- 4. Engine health ----

  void shun(Engine& e, const char* why) {
    if (e.health == Health::shunned) return;
    e.shun_length = e.health == Health::trial ? 2 * e.shun_length : shun_first;
    // A trial risks a query of ours: where we pass an engine seldom, it is tried again as seldom.
    const double rate = std::max(1.0, taken_lately(cut_window)) / cut_window;
    const double turn = ready_ / rate;
    e.shun_length = std::clamp(e.shun_length, std::max(shun_first, turn), std::max(shun_most, 2 * turn));
    if (e.health == Health::well) act(Log{"engine " + std::to_string(e.entry.engine) + " shunned: " + why});
    ill_ += e.health == Health::well && e.ready() ? 1 : 0;
    e.health = Health::shunned;
    e.shunned_until = now_ + e.shun_length;
    e.trial_good = 0;
    for (auto& [id, r] : requests_)
      for (Attempt& a : r.attempts)
        if (a.out && a.engine == e.entry.engine) discharge(r, a);
  }

  // What was seen of an engine fades towards what is usual in the fleet.
  double freshness(const Engine& e) const { return std::exp((e.judged_at - now_) / evidence_memory); }
  double doubt(const Engine& e) const {
    return usual_failures_ + freshness(e) * (e.failures - usual_failures_);
  }

  // One outcome weighs more after a gap: where few are seen of an engine, each has to tell more.
  void weigh(Engine& e, bool failed, double least = error_weight) {
    const double gap = 1 - freshness(e);
    const double seen = doubt(e);
    e.failures = seen + std::max(least, gap) * ((failed ? 1 : 0) - seen);
    usual_failures_ += learn_rate * ((failed ? 1 : 0) - usual_failures_);
    e.judged_at = now_;
  }

  // Engines are ever new in long service: one that left, of which nothing is out and nothing seen any more.
  void forget_removed() {
    std::set<EngineId> named;
    for (const auto& [id, r] : requests_)
      for (const Attempt& a : r.attempts) named.insert(a.engine);
    for (const PeerNews& peer : peers_)
      for (const GossipEntry& q : peer.out) named.insert(q.engine);
    std::erase_if(engines_, [&](const auto& one) {
      const Engine& e = one.second;
      const double seen = std::max({e.judged_at, e.last_answer, e.cold_until});
      return !e.listed && !e.probing && now_ > seen + gone_memory && !named.contains(one.first);
    });
  }

  void read_report(const Engine& e, const LoadReport& report) {
    if (!report.queries || !std::isfinite(*report.queries)) return;
    double& load = zone_load_.try_emplace(e.entry.zone, *report.queries).first->second;
    load += pace_rate * (*report.queries - load);
  }

  void judge_served(Engine& e) {
    e.last_answer = now_;
    weigh(e, false);
    if (e.health != Health::trial || ++e.trial_good < trial_answers) return;
    act(Log{"engine " + std::to_string(e.entry.engine) + " let back"});
    e.health = Health::well;
    e.failures = 0;
  }

  void judge_failed(Engine& e, const char* why) {
    e.last_answer = now_;
    weigh(e, true);
    if (e.health == Health::trial || e.failures > error_shun + usual_failures_) shun(e, why);
  }

  // What fails at one engine after another is itself at fault: it speaks against none of them.
  void judge_error(const Request& r, Attempt& a, Engine& e) {
    a.doubt = doubt(e);
    const auto before = std::find_if(r.attempts.begin(), r.attempts.end(),
                                     [&](const Attempt& b) { return b.doubt >= 0 && b.engine != a.engine; });
    if (before == r.attempts.end()) return judge_failed(e, "failing fast");
    Engine& first = engines_.at(before->engine);
    first.failures = std::min(first.failures, before->doubt);
    if (first.health == Health::shunned) first.health = Health::trial, first.trial_good = trial_answers - 1;
  }

  double expected_run(const Request& r, const Attempt& a) const {
    return a.base * std::max(1.0, classes_[r.cls].pace);
  }

  // Seeks engines that take work and answer nothing, and attempts far past their expected time.
  void watch() {
    std::vector<RequestId> late;
    for (auto& [id, e] : engines_) e.overdue = 0;
    for (const auto& [id, r] : requests_) {
      if (r.held && hopeless(r)) late.push_back(id);
      for (const Attempt& a : r.attempts) {
        if (!a.out || a.cut || a.of_earlier_process) continue;
        const double due = overdue_times * expected_run(r, a) + cut_slack;
        if (now_ - a.sent > due) engines_.at(a.engine).overdue += now_ - a.sent > 2 * due ? 2 : 1;
      }
    }
    for (const RequestId id : late) answer(requests_.at(id));
    for (auto& [id, e] : engines_) {
      const bool quiet = now_ - std::max(e.last_answer, e.first_out) > silent_after;
      // What strikes more than half of them together is no reason to shun any one: the rest would fall.
      if (quiet && e.overdue >= 2 && 2 * (ill_ + 1) <= ready_) shun(e, "silent");
      if (e.health != Health::shunned || now_ < e.shunned_until || !e.ready() || e.probing) continue;
      // It must first answer a probe; that is no health yet, so a trial of single queries follows.
      e.probing = s_.may_probe;
      s_.may_probe ? act(Probe{id}) : void(e.health = Health::trial);
    }
    for (PeerNews& peer : peers_) {
      if (peer.out.empty() || now_ < peer.at + news_life) continue;
      hear(peer, -1);
      peer.out.clear();
    }
    cut_overdue();
    set_parts();
  }

  // Notes tell a bad plan from a long query, and work from a lost answer; without them age must do.
  bool overdue(const Request& r, const Attempt& a) const {
    const double expected = expected_run(r, a), age = now_ - a.sent;
    if (a.heard >= 0) {
      if (now_ - a.heard > note_gap * seconds(s_.progress_report_period)) return true;
      const double whole = (a.share_at - a.sent) / std::max(a.share, 1e-3);
      return a.share > 0 && whole > plan_times * expected && whole - age > expected;
    }
    const ClassState& c = classes_[r.cls];
    const double times = std::max(cut_times, std::exp(cut_scatter * c.scatter));
    return age >= times * (c.pace_samples < 5 ? 2 : 1) * expected + cut_slack;
  }

  // Cuts attempts that are far past their time, to repeat them elsewhere while that is still worth it.
  void cut_overdue() {
    if (!s_.may_cancel) return;
    drop_older(cuts_, cut_window);
    for (auto& [id, r] : requests_) {
      if (r.over || r.attempts.empty()) continue;
      Attempt& a = r.attempts.back();
      if (!a.out || a.cut || !may_go_on(r) || !overdue(r, a)) continue;
      if (static_cast<double>(cuts_.size()) >= cut_floor + cut_share * taken_lately(cut_window)) return;
      cuts_.push_back(now_);
      a.cut = true;
      act(Cancel{r.id, static_cast<std::uint32_t>(r.attempts.size() - 1)});
      if (!a.of_earlier_process)
        weigh(engines_.at(a.engine), true, 0);  // a bad plan or a silent engine: tells little by itself
    }
  }

  double taken_lately(double age) const {
    const auto from = std::upper_bound(taken_.begin(), taken_.end(), now_ - age);
    return static_cast<double>(taken_.end() - from);
  }

  // ---- 5. Placement ----

  // What the engine will grant: where that is heeded, the estimate corrected by what answers told.
  double granted(const Request& r) const {
    const double corrected = s_.engines_honor_grants ? classes_[r.cls].memory_bias : 1.0;
    return usable(r.memory, 0.0) * corrected * memory_quarter;
  }

  double worth_of(std::size_t cls) const { return usable(s_.classes[cls].priority_weight, 1e-3); }

  struct Mix {
    double requests = 0, priority_weight = 0, work = 0;
  };
  Mix mix() const {
    Mix m;
    for (std::size_t i = 0; i < classes_.size(); ++i) {
      m.requests += classes_[i].arrivals;
      m.priority_weight += classes_[i].arrivals * worth_of(i);
      m.work += classes_[i].arrivals * classes_[i].mean_cost * classes_[i].bias;
    }
    return m;
  }

  double worth_share(std::uint32_t cls) const {  // of a mean request's worth
    const Mix m = mix();
    return worth_of(cls) * std::max(m.requests, 1.0) / std::max(m.priority_weight, 1e-3);
  }

  // Is a query of this class worth the messages that tell all peers of its start and its end? Where it waits
  // in line for memory, an engine that too many chose harms none but itself: no news was worth its price.
  bool worth_news(std::uint32_t cls) const {
    const double price = s_.gossip_price * 4 * s_.gossip_entry_bytes * (instances_ - 1) / 256;
    return s_.may_gossip && s_.memory_shortage != MemoryShortage::queue &&
           price <= news_worth * worth_share(cls);
  }

  // Tells all peers what of ours is out, whole each time: what is lost is mended by the next.
  void tell_peers() {
    news_tokens_ = std::min(news_most, news_tokens_ + news_rate / instances_ * (now_ - news_seen_));
    news_seen_ = now_;
    if (news_tokens_ < 1 || now_ < news_at_) return;
    std::vector<GossipEntry> news;
    for (const auto& [id, r] : requests_)
      for (const Attempt& a : r.attempts) {
        const double memory = engines_.at(a.engine).size;
        if (!a.out || !a.told) continue;
        news.push_back({a.engine, s_.classes[r.cls].threads, memory > 0 ? a.memory / memory : 0});
      }
    news_tokens_ -= 1;
    news_at_ = news.empty() ? 1e9 : now_ + news_period;
    act(SendGossip{std::move(news)});
  }

  void hear(const PeerNews& peer, double sign) {
    for (const GossipEntry& q : peer.out) {
      Engine& e = engines_.at(q.engine);  // known, or it was passed over when it was heard
      e.told_threads += sign * q.threads;
      e.told_memory += sign * q.memory_share * e.size;
    }
  }

  bool memory_allows(const Request& r) const {
    if (s_.memory_shortage == MemoryShortage::queue || classes_[r.cls].told) return true;
    const double own = granted(r);
    return untold_memory_ <= 0 ||
           untold_memory_ + own <= memory_bound_ + memory_margin * std::sqrt(memory_bound_ * own);
  }

  // Where peers tell what they have out, an engine that all of them together have filled is passed by.
  bool has_room(const Request& r, const Engine& e) const {
    if (!classes_[r.cls].told || e.threads + e.told_threads <= 0) return true;
    if (e.threads + e.told_threads + s_.classes[r.cls].threads > fleet_crowd * e.cores) return false;
    return e.size <= 0 || e.memory + e.told_memory + granted(r) <= memory_fill * e.size;
  }

  // What a query counts on a cold engine: its class's usual work, or its own where that is told to be more.
  double cold_work(const Request& r) const {
    const ClassState& c = classes_[r.cls];
    const double known = c.samples >= 5 ? c.bias : unlearned_times * std::max(1.0, c.bias);
    return std::max({0.05, c.mean_cost * known, cost_of(r)});
  }

  // Short work ahead of long: by worth for each second of work against the mean of all that arrives.
  std::uint8_t priority_of(const Request& r) const {
    const Mix m = mix();
    if (r.over_share || now_ > r.arrived + aim_of(r)) return 0;
    const double against = worth_of(r.cls) / cost_of(r) * m.work / std::max(m.priority_weight, 1e-6);
    return against > 2 ? 3 : against > 0.7 ? 2 : against > 0.25 ? 1 : 0;
  }

  double bound_of(const Engine& e) const {
    const double part = now_ < e.cold_until ? std::clamp(s_.slow_start_capacity_share, 0.1, 1.0) : 1.0;
    return e.cores * crowd * part / instances_;
  }

  // This manager's part of the threads of all engines, and of the memory that told queries leave.
  void set_parts() {
    double all = 0, memory = 0, cores = 0;
    ready_ = ill_ = 0;
    for (const auto& [id, e] : engines_) {
      if (e.ready()) ready_ += 1, ill_ += e.health == Health::well ? 0 : 1;
      if (!e.ready() || e.health != Health::well) continue;
      all += bound_of(e), cores += e.cores;
      memory += std::max(0.0, e.size - e.told_memory - (peers_.empty() ? 0 : e.memory));
    }
    total_bound_ = all + chance_margin * std::sqrt(all);
    double held = zone_load_.empty() ? cores : 1;
    for (const auto& [zone, load] : zone_load_) held = std::max(held, load);
    // Binds only under pressure: while engines report fewer queries than they have cores, it is eased.
    memory_bound_ = memory / instances_ * std::clamp(cores / std::max(ready_, 1.0) / held, 1.0, memory_ease);
  }

  // What can no longer be answered in time, or only for nothing, is answered at once.
  bool hopeless(const Request& r) const {
    const ClassSettings& k = s_.classes[r.cls];
    const double done = now_ + cost_of(r) / k.threads;
    if (done > r.deadline - end_margin_) return true;
    return done > r.arrived + aim_of(r) && (k.late_answer_weight <= 0 || pressed(r));
  }

  // The engine that holds fewest of ours, in threads a core, among those where the request may go and fits.
  Engine* choose(const Request& r) {
    const ClassSettings& k = s_.classes[r.cls];
    const double against = threads_against(r);
    if (against > 0 && against + k.threads > total_bound_) return nullptr;
    if (!memory_allows(r)) return nullptr;
    // All managers hear the same of told queries: what they do not tell would all go where these are fewest.
    const bool herded = !classes_[r.cls].told;
    // Leaving the zone has its price. Weighed by chance: all that see the same must not leave at once.
    const double leave = doubt_weight * s_.cross_zone_price / worth_share(r.cls);
    const double by_zone = 2 * zone_weight * std::generate_canonical<double, 32>(random_);
    Engine* best = nullptr;
    double best_load = 0;
    for (auto& [id, e] : engines_) {
      if (!may_send(r, e) || e.health == Health::shunned || now_ < e.full_until) continue;
      const bool trial = e.health == Health::trial;
      if (trial && (e.queries > 0 || k.repeat != Idempotency::idempotent)) continue;
      const double bound = bound_of(e);
      if (e.threads > 0 && e.threads + k.threads > bound) continue;
      if (!has_room(r, e)) continue;
      // Many managers that see the same must not choose the same: ties fall by the told seed.
      double load = (e.threads + (herded ? 0 : e.told_threads) + k.threads) / std::max(bound, 1.0) +
                    tie_scatter * std::generate_canonical<double, 32>(random_);
      const auto busy = zone_load_.find(e.entry.zone);
      load += (e.entry.zone != s_.zone ? leave : 0) + (busy != zone_load_.end() ? by_zone * busy->second : 0);
      if ((k.waits_for_writers || k.writes_tables) && e.writers.contains(r.tables)) load += writer_penalty;
      for (const Attempt& a : r.attempts) load += a.engine == id ? retried_penalty : 0;
      // One query at a time finds out whether it is well again, whatever was seen before.
      load += trial ? -1 : doubt_weight * doubt(e);
      if (best == nullptr || load < best_load) best = &e, best_load = load;
    }
    return best;
  }

  // Held queries leave in order of arrival within their class; the class worth most for its work goes first.
  void pump() {
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < classes_.size(); ++i)
      if (!classes_[i].queue.empty()) order.push_back(i);
    if (order.empty()) return;
    const auto density = [this](std::size_t i) {
      return worth_of(i) / std::max(classes_[i].mean_cost * classes_[i].bias, 1e-3);
    };
    std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) { return density(a) > density(b); });
    for (const std::size_t i : order) {
      const std::vector<RequestId> line = classes_[i].queue;
      for (const RequestId id : line) {
        Request& r = requests_.at(id);
        if (!has_turn(r) || !within_budget(r)) continue;  // its key or the ration holds it, not the engines
        Engine* e = choose(r);
        if (e == nullptr) break;
        start_attempt(r, *e);
      }
    }
  }

  // ---- 6. Rule guards ----

  bool is_next(const Request& r) const { return r.key == 0 || turns_.at(r.key).front() == r.id; }
  bool has_turn(const Request& r) const {
    if (!is_next(r)) return false;
    const auto rest = rests_.find(r.key);
    return rest == rests_.end() || now_ > rest->second || !r.attempts.empty();
  }

  bool within_budget(const Request& r) const {
    if (r.attempts.empty() || !s_.retry_budget) return true;
    const RetryBudgetSettings& b = *s_.retry_budget;
    const double window = seconds(b.window), edge = budget_edge + seconds(s_.max_send_delay);
    const auto from = std::lower_bound(further_.begin(), further_.end(), now_ - window - edge);
    const auto made = static_cast<double>(further_.end() - from);
    return made + 1 <= b.floor + b.share * taken_lately(window - edge);
  }

  // A repeat of what may have run: only safe classes, or keyed ones where and while the engines drop repeats.
  bool effect_allows(const Request& r, const Engine& e) const {
    const ClassSettings& k = s_.classes[r.cls];
    if (k.repeat == Idempotency::idempotent) return true;
    const auto first =
        std::find_if(r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return a.may_have_run; });
    if (first == r.attempts.end()) return true;
    const double known = seconds(k.idempotency_window) - seconds(s_.max_send_delay) - 2 * end_margin_;
    if (k.repeat == Idempotency::non_idempotent || now_ > first->sent + known) return false;
    const EngineEntry& then = engines_.at(first->engine).entry;
    if (k.idempotency_scope == IdempotencyScope::all) return true;
    return then.zone == e.entry.zone &&
           (k.idempotency_scope == IdempotencyScope::zone || then.cell == e.entry.cell);
  }

  bool placement_allows(const Request& r, const Engine& e) const {
    const auto among = [](const std::optional<std::vector<std::uint32_t>>& allowed, std::uint32_t place) {
      return !allowed || std::find(allowed->begin(), allowed->end(), place) != allowed->end();
    };
    const ClassSettings& k = s_.classes[r.cls];
    return among(k.allowed_zones, e.entry.zone) && among(k.allowed_kinds, e.entry.kind);
  }

  // This instance's part of what a cold engine can take in any fall window.
  bool cold_allows(const Request& r, const Engine& e) const {
    if (now_ >= e.cold_until) return true;
    const double window = std::max(seconds(s_.overload_window), 1e-3);
    if (now_ < window) return false;  // what an earlier start of this instance sent is not known
    double sent = cold_work(r);
    for (const auto& [at, work] : e.cold_sends) sent += at > now_ - 1.05 * window ? work : 0.0;
    return sent <= cold_part(e, cold_caution * s_.overload_multiple * busy_at_capacity *
                                    s_.slow_start_capacity_share * window);
  }

  // With many managers an even part is less than one query, so a few take whole parts: those whose position
  // follows the engine's id. Every manager reckons alike, and the parts never sum to more than the budget.
  double cold_part(const Engine& e, double budget_a_core) const {
    const double budget = e.cores * budget_a_core;
    const double users = std::clamp(std::floor(budget / cold_unit), 1.0, instances_);
    const double place =
        std::fmod(static_cast<double>(e.entry.engine % 65521U) * 7919.0 + s_.instance_index, instances_);
    return s_.instance_index < instances_ && place < users ? budget / users : 0.0;
  }

  // May this attempt be sent now? Every send passes here.
  bool may_send(const Request& r, const Engine& e) const {
    if (r.over || r.begun || r.attempt_out() || now_ >= r.deadline - end_margin_) return false;
    if (!r.attempts.empty() && r.attempts.size() >= s_.max_attempts) return false;
    return e.ready() && placement_allows(r, e) && effect_allows(r, e) && has_turn(r) && within_budget(r) &&
           cold_allows(r, e);
  }

  // May this be refused? Every refusal passes here.
  bool may_refuse(const Request& r) const {
    const ClassSettings& k = s_.classes[r.cls];
    if (k.repeat == Idempotency::idempotent ||
        (k.repeat == Idempotency::idempotent_with_key && k.idempotency_scope == IdempotencyScope::all))
      return true;
    return std::none_of(r.attempts.begin(), r.attempts.end(),
                        [](const Attempt& a) { return a.out || a.may_have_run; });
  }

  // Could a further attempt be made at all, once the present one has ended in doubt?
  bool may_go_on(const Request& r) const {
    if (r.begun || r.attempts.size() >= s_.max_attempts || hopeless(r) || !within_budget(r)) return false;
    return std::any_of(engines_.begin(), engines_.end(), [&](const auto& e) {
      return placement_allows(r, e.second) && effect_allows(r, e.second);
    });
  }

  // ---- 7. Event handlers ----

  void on(const EndpointsChanged& event) {
    if (event.scope == EndpointUpdate::failed) return void(resubscribe_at_ = now_ + period);
    if (event.scope != EndpointUpdate::delta)
      for (auto& [id, e] : engines_) e.listed = false;
    for (const EngineEntry& entry : event.engines) {
      const auto [place, fresh] = engines_.try_emplace(entry.engine);
      Engine& e = place->second;
      const bool returned = e.entry.state == EngineState::removed && entry.state != EngineState::removed;
      const bool restarted = !fresh && (returned || entry.started > e.entry.started);
      e.entry = entry;
      e.listed = entry.state != EngineState::removed;
      const bool known = entry.kind < s_.kinds.size();
      e.cores = known ? usable(s_.kinds[entry.kind].cores, 1.0) : 1.0;
      e.size = known ? usable(s_.kinds[entry.kind].memory_mb, 0.0) : 0.0;
      if (entry.started.count() > 0) {
        const double warm_at = seconds(entry.started - origin_) + seconds(s_.slow_start_duration);
        if (warm_at > now_) e.cold_until = std::max(e.cold_until, warm_at);
      }
      if (restarted) {
        e.failures = 0;
        e.full_until = now_;
        if (e.health == Health::shunned) e.shunned_until = now_;
        disown_attempts(entry.engine);
      }
    }
    if (event.scope != EndpointUpdate::delta)
      for (auto& [id, e] : engines_)
        if (!e.listed) e.entry.state = EngineState::removed;
    set_parts();
  }

  // What is out at an engine that restarted is its earlier process's: how it ends is no news of the present
  // one.
  void disown_attempts(EngineId engine) {
    for (auto& [id, r] : requests_)
      for (Attempt& a : r.attempts)
        if (a.out && a.engine == engine) a.of_earlier_process = true;
  }

  void on(const RequestArrived& event) {
    if (event.class_index >= classes_.size() || requests_.contains(event.request))
      return act(Fail{event.request});
    taken_.push_back(now_);
    drop_older(taken_, 2 * cut_window + (s_.retry_budget ? seconds(s_.retry_budget->window) : 0.0));
    ClassState& c = classes_[event.class_index];
    const ClassSettings& k = s_.classes[event.class_index];
    Request r;
    r.id = event.request, r.cls = event.class_index;
    r.key = k.ordered_by_key ? event.ordering_key : 0;
    r.arrived = r.turn = now_, r.deadline = now_ + seconds(event.client_timeout);
    r.memory = event.estimated_memory_mb;
    r.tables = std::isfinite(event.tables) ? event.tables : 0.0;
    r.cost_told = event.estimated_cost && event.estimated_cost->count() > 0;
    r.told = r.cost_told ? seconds(*event.estimated_cost) : c.mean_cost;
    r.over_share = beyond_quota(event.tenant);
    if (r.cost_told) {
      c.arrivals += 1;
      c.mean_cost += std::max(learn_rate / 3, 1 / c.arrivals) * (r.told - c.mean_cost);
      // rho starts as the aim over the first told cost, shared by the ready engines (design page).
      const auto ready = std::max(1.0, ready_);
      if (c.rate <= 0) c.rate = r.told * ready / std::max(seconds(k.latency_objective), 1e-3);
    }
    c.asked = true, c.told = worth_news(r.cls);
    Request& kept = requests_.emplace(r.id, std::move(r)).first->second;
    c.largest = std::max(c.largest, cost_of(kept));
    if (c.rate > 0 && c.b_total <= 0 && !c.closed) c.b_total = 2 * c.rate * headroom * aim_of(kept);
    if (kept.key != 0) turns_[kept.key].push_back(kept.id);
    ends_.insert({kept.deadline, kept.id});
    set_timer(kept.deadline - end_margin_ - now_);
    !admits(kept) || hopeless(kept) ? answer(kept) : hold(kept);
  }

  void on(const AnswerStarted& event) {
    const auto found = requests_.find(event.request);
    if (found != requests_.end()) found->second.begun = true;
  }

  void on(const AttemptEnded& event) {
    const auto found = requests_.find(event.request);
    if (found == requests_.end() || event.attempt >= found->second.attempts.size()) return;
    Request& r = found->second;
    Attempt& a = r.attempts[event.attempt];
    if (!a.out) return;
    Engine& e = engines_.at(a.engine);
    end_attempt(r, a);
    const AttemptResult how = event.result;
    a.may_have_run = how != AttemptResult::rejected && how != AttemptResult::connect_failed &&
                     how != AttemptResult::not_sent;
    if (how == AttemptResult::served) learn(r, a, event);
    if (!a.of_earlier_process) judge(r, a, e, event);
    if (r.key != 0 &&
        (how == AttemptResult::timed_out || how == AttemptResult::reset || how == AttemptResult::cancelled))
      rests_[r.key] =
          now_ + seconds(s_.ordering_settle_time) + (s_.ordering_settle_time.count() > 0 ? end_margin_ : 0.0);
    if (event.request_over || how == AttemptResult::served) {
      close_request(r);
    } else if (r.over) {
      forget_if_done(r.id);
    } else if (!r.attempt_out()) {
      may_go_on(r) ? hold(r) : answer(r);
    }
  }

  // What the end of an attempt says of its engine.
  void judge(const Request& r, Attempt& a, Engine& e, const AttemptEnded& event) {
    read_report(e, event.report);
    switch (event.result) {
      case AttemptResult::served: return judge_served(e);
      case AttemptResult::engine_error: return judge_error(r, a, e);
      case AttemptResult::connect_failed:
      case AttemptResult::reset: return judge_failed(e, "not reached");
      case AttemptResult::rejected: e.full_until = now_ + full_rest; return;
      default: return;
    }
  }

  void learn(const Request& r, const Attempt& a, const AttemptEnded& event) {
    ClassState& c = classes_[r.cls];
    const ClassSettings& k = s_.classes[r.cls];
    const double ran = std::max(1e-4, seconds(event.took));
    c.finished += a.base * k.threads;
    c.latency_sum += now_ - r.turn;
    c.answers += 1;
    const double work = event.work ? seconds(*event.work) : a.roomy ? ran * k.threads : 0.0;
    if (work > 0 && r.cost_told) {
      const double ratio = work / r.told;
      c.samples += 1;
      const double weight = std::max(learn_rate, 1 / (c.samples + 1));
      const double surprise = event.work ? std::min(ratio, ratio_cap * c.bias) - c.bias
                                         : c.bias * (ratio > c.bias ? run_quantile : run_quantile - 1);
      c.scatter += weight * (std::abs(std::log(ratio / c.bias)) - c.scatter);
      c.bias = std::clamp(c.bias + weight * surprise, 0.05, 20.0);
    }
    if (event.memory_mb && r.memory > 0) {
      c.memory_samples += 1;
      const double ratio = std::clamp(*event.memory_mb / r.memory, 0.05, 20.0);
      c.memory_bias += std::max(learn_rate, 1 / (c.memory_samples + 1)) * (ratio - c.memory_bias);
    }
    const double alone = event.work ? std::max(1e-3, seconds(*event.work)) / k.threads : a.base;
    const double pace = std::min(ran / alone, ratio_cap * c.pace);
    c.pace_samples += 1;
    c.pace += std::max(pace_rate, 1 / (c.pace_samples + 1)) * (pace - c.pace);
  }

  void on(const RequestAbandoned& event) {
    const auto found = requests_.find(event.request);
    if (found == requests_.end() || found->second.over) return;
    Request& r = found->second;
    cancel_all(r);
    close_request(r);
  }

  void on(const TimerFired&) {
    while (!ends_.empty() && ends_.begin()->first - end_margin_ <= now_ + 1e-6)
      answer(requests_.at(ends_.begin()->second));
    if (now_ < next_watch_) return;
    next_watch_ = now_ + watch_period / 2;  // deadline timers wake this too; the tick must not miss itself
    set_timer(watch_period);
    if (now_ >= next_period_) {
      next_period_ = now_ + period - watch_period / 2;
      set_bounds();
      drop_older(further_, s_.retry_budget ? 2 * seconds(s_.retry_budget->window + s_.max_send_delay) : 0.0);
      std::erase_if(rests_, [&](const auto& rest) { return rest.second < now_; });
      forget_removed();
      for (auto& [id, e] : engines_)
        if (now_ >= e.cold_until) e.cold_sends.clear();
    }
    if (resubscribe_at_ > 0 && now_ >= resubscribe_at_ && s_.endpoints_on_subscription) {
      resubscribe_at_ = 0;
      act(SubscribeEndpoints{});
    }
    watch();
  }

  void on(const ProbeEnded& event) {
    const auto found = engines_.find(event.engine);
    if (found == engines_.end()) return;
    Engine& e = found->second;
    e.probing = false;
    read_report(e, event.report);
    if (e.health != Health::shunned) return;
    event.result == AttemptResult::served ? void(e.health = Health::trial)
                                          : void(e.shunned_until = now_ + shun_first);
  }

  void on(const GossipReceived& event) {
    if (event.author >= peers_.size() || event.author == s_.instance_index) return;
    PeerNews& peer = peers_[event.author];
    hear(peer, -1);
    peer.at = now_;
    peer.out.clear();
    for (const GossipEntry& q : event.out)
      if (engines_.contains(q.engine)) peer.out.push_back(q);
    hear(peer, 1);
  }

  void on(const ProgressReported& event) {
    const auto found = requests_.find(event.request);
    if (found == requests_.end() || event.attempt >= found->second.attempts.size()) return;
    Attempt& a = found->second.attempts[event.attempt];
    a.heard = now_;
    if (event.kind != ProgressKind::progress || !(event.level >= 0)) return;
    a.share = std::clamp(event.level, 1e-3, 1.0);
    a.share_at = now_;
  }

  std::shared_ptr<const Settings> settings_;  // never changed; copies of one module have it together
  const Settings& s_;
  std::vector<ClassState> classes_;
  std::map<RequestId, Request> requests_;
  std::map<EngineId, Engine> engines_;
  std::set<std::pair<double, RequestId>> ends_;
  std::map<std::uint64_t, std::vector<RequestId>> turns_;  // by order key: those not over, as they came
  std::map<std::uint64_t, double> rests_;  // by order key: it rests until then
  std::deque<double> taken_;
  std::deque<double> further_;  // attempts beyond each request's first
  std::deque<double> cuts_;
  std::vector<double> tenant_tokens_;
  std::map<std::uint32_t, double> zone_load_;  // queries that engines of a zone report
  std::vector<PeerNews> peers_;  // by position
  double ready_ = 0, ill_ = 0;  // engines that the list calls ready, and those of them not well
  double untold_memory_ = 0, memory_bound_ = 0;
  double news_at_ = 1e9, news_seen_ = 0, news_tokens_ = 0;  // when to tell; what may be told
  double tokens_at_ = 0;
  double instances_ = 1;
  double end_margin_ = 0;
  std::array<double, 4> threads_out_{};  // by priority
  double total_bound_ = 0;
  double usual_failures_ = 0;  // share of failures lately
  std::mt19937_64 random_;
  double now_ = 0, next_period_ = 0, next_watch_ = 0, resubscribe_at_ = 0;
  TimePoint origin_{};
  bool started_ = false;
  std::vector<Action>* out_ = nullptr;
};

// ---- 8. State, walked over --------------------------------------------------------------------------------

namespace {

using Name = StateVisitor::Name;

void numbers(StateVisitor& v, auto&... values) { (v.number(values), ...); }
template <typename T>
void whole(StateVisitor& v, T& value) {
  auto raw = static_cast<std::uint64_t>(value);
  v.whole(raw);
  if (v.reads()) value = static_cast<T>(raw);
}
void wholes(StateVisitor& v, auto&... values) { (whole(v, values), ...); }
template <typename T>
void named(StateVisitor& v, Name kind, T& id) {
  std::uint64_t raw = id;
  v.name(kind, raw);
  if (v.reads()) id = static_cast<T>(raw);
}

template <typename List, typename Each>
void list(StateVisitor& v, List& all, Each each, bool in_order = true) {
  const std::size_t n = v.table(all.size(), in_order);
  if (v.reads()) all.resize(n);
  for (auto& one : all) v.entry(), each(one);
  v.end();
}

template <typename Map, typename Each>
void table(StateVisitor& v, Map& all, Each each) {
  const std::size_t n = v.table(all.size(), false);
  if (v.reads()) all.clear();
  for (std::size_t i = 0; v.reads() && i < n; ++i) {
    typename Map::key_type key{};
    typename Map::mapped_type one{};
    v.entry(), each(key, one);
    all.emplace(key, std::move(one));
  }
  for (auto place = all.begin(); !v.reads() && place != all.end(); ++place) {
    typename Map::key_type key = place->first;
    v.entry(), each(key, place->second);
  }
  v.end();
}

void walk(StateVisitor& v, Attempt& a) {
  named(v, Name::engine, a.engine);
  wholes(v, a.lane, a.out, a.cut, a.told, a.roomy, a.may_have_run, a.charged, a.of_earlier_process);
  numbers(v, a.base, a.memory, a.share, a.doubt);
  v.since(a.sent), v.since(a.heard), v.since(a.share_at);
}

void walk(StateVisitor& v, Request& r) {
  wholes(v, r.cls, r.key, r.cost_told, r.over_share, r.held, r.over, r.begun);
  numbers(v, r.tables, r.told, r.memory);
  v.since(r.arrived), v.since(r.turn), v.until(r.deadline);
  list(v, r.attempts, [&](Attempt& a) { walk(v, a); });
}

void walk(StateVisitor& v, ClassState& c) {
  list(v, c.queue, [&](RequestId& id) { v.name(Name::request, id); });
  numbers(v, c.queued, c.running, c.rate, c.b_delta, c.b_total, c.last_error, c.largest, c.finished);
  numbers(v, c.latency_sum, c.answers, c.finish_rate, c.bias, c.samples, c.scatter, c.mean_cost, c.arrivals);
  numbers(v, c.memory_bias, c.memory_samples, c.pace, c.pace_samples);
  wholes(v, c.held_back, c.closed, c.asked, c.told);
}

void walk(StateVisitor& v, EngineEntry& entry, const TimePoint& origin) {
  bool known = entry.started.count() > 0;
  double started = seconds(entry.started - origin);
  wholes(v, entry.state, entry.kind, entry.zone, entry.cell, known);
  v.number(entry.weight);
  if (known) v.since(started);
  if (v.reads()) entry.started = known ? origin + TimePoint{std::llround(started * 1e9)} : TimePoint{};
}

void walk(StateVisitor& v, Engine& e) {
  wholes(v, e.listed, e.probing, e.health, e.trial_good);
  numbers(v, e.cores, e.size, e.queries, e.threads, e.memory, e.told_threads, e.told_memory, e.failures);
  numbers(v, e.overdue, e.shun_length);
  v.since(e.judged_at), v.since(e.last_answer), v.since(e.first_out);
  v.until(e.full_until), v.until(e.cold_until), v.until(e.shunned_until);
  list(v, e.cold_sends, [&](std::pair<double, double>& one) { v.since(one.first), v.number(one.second); });
  table(v, e.writers, [&](double& key, int& count) { v.number(key), whole(v, count); });
}

}  // namespace

void WorkloadManager::Impl::visit(StateVisitor& v) {
  v.clock(now_);
  const auto times = [&](std::deque<double>& all) { list(v, all, [&](double& at) { v.counted(at); }); };
  list(v, classes_, [&](ClassState& c) { walk(v, c); });
  table(v, engines_, [&](EngineId& id, Engine& e) {
    named(v, Name::engine, id);
    if (v.reads()) e.entry.engine = id;
    walk(v, e.entry, origin_), walk(v, e);
  });
  table(v, requests_, [&](RequestId& id, Request& r) {
    v.name(Name::request, id);
    r.id = id;
    walk(v, r);
  });
  const auto line = [&](std::vector<RequestId>& ids) {
    list(v, ids, [&](RequestId& id) { v.name(Name::request, id); });
  };
  table(v, turns_, [&](std::uint64_t& key, auto& ids) { v.whole(key), line(ids); });
  table(v, rests_, [&](std::uint64_t& key, double& until) { v.whole(key), v.until(until); });
  times(taken_), times(further_), times(cuts_);
  list(v, tenant_tokens_, [&](double& tokens) { v.number(tokens); });
  table(v, zone_load_, [&](std::uint32_t& zone, double& load) { whole(v, zone), v.number(load); });
  list(v, peers_, [&](PeerNews& peer) {
    v.since(peer.at);
    list(v, peer.out, [&](GossipEntry& q) {
      named(v, Name::engine, q.engine);
      numbers(v, q.threads, q.memory_share);
    });
  });
  numbers(v, ready_, ill_, untold_memory_, memory_bound_, news_tokens_, total_bound_, usual_failures_);
  for (double& threads : threads_out_) v.number(threads);
  v.until(news_at_), v.since(news_seen_), v.since(tokens_at_), v.until(next_period_), v.until(next_watch_);
  v.until(resubscribe_at_), whole(v, started_), v.generator(random_);
  if (!v.reads()) return;
  ends_.clear();
  for (const auto& [id, r] : requests_)
    if (!r.over) ends_.insert({r.deadline, id});
}

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
