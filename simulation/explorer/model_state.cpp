#include "model_state.hpp"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <sstream>

#include "core/seeded_defects.hpp"
#include "core/state_walk.hpp"

namespace paddlestand::explorer {
namespace {

using namespace std::chrono_literals;
using core::Defect;
using core::seeded;

constexpr Duration just_before = 1us;
constexpr Duration near =
    100us;  // what falls due so soon is next, whatever else has moved by some just_before
constexpr Duration event_loop_lag = 10ms;  // less than the module's margin: later a host may break invariants
constexpr Duration leave_grace = 250ms;
constexpr int most_quiet_ticks = 400;
constexpr std::size_t small_part = 300, big_part = 1500, last_part = 10;
constexpr TimePoint beginning = 1h;

constexpr std::array<std::string_view, static_cast<std::size_t>(Step::count)> act_names{
    "ask",     "cancel",   "leave_client",  "stop_reading", "break_client",     "read_on",
    "link_up", "refused",  "no_descriptor", "lost",         "broken",           "written",
    "part",    "big_part", "part_and_end",  "complete",     "complete_unclean", "failed",
    "full",    "note",     "strike",        "late_end",     "late_note",        "deaf",
    "hears",   "drain",    "gone",          "back",         "restart",          "list_failed",
    "wait",    "reach",    "late",          "fire",         "shutdown"};

constexpr std::array<std::string_view, static_cast<std::size_t>(Case::count)> case_names{
    "a late answer after a resend",
    "a cancel racing a drain notice",
    "a drain notice racing the send",
    "answer, then time-out, in one step",
    "time-out, then answer, in one step",
    "client gone between two attempts",
    "full from every engine",
    "an engine removed and back within the grace",
    "a key's rest ending while an attempt is out",
    "a deadline between resend and connect",
    "a note for an ended attempt",
    "shutdown with everything in flight",
    "an answer at a link being cancelled",
    "a resend after a reset",
    "a cancel that comes after the end",
    "a query of which half was written"};

bool is_fault(Step act) {
  switch (act) {
    case Step::cancel:
    case Step::leave_client:
    case Step::stop_reading:
    case Step::break_client:
    case Step::refused:
    case Step::no_descriptor:
    case Step::lost:
    case Step::broken:
    case Step::complete_unclean:
    case Step::failed:
    case Step::full:
    case Step::deaf:
    case Step::drain:
    case Step::gone:
    case Step::restart:
    case Step::list_failed:
    case Step::late:
    case Step::note:
    case Step::shutdown: return true;
    default: return false;
  }
}

std::string seconds_text(TimePoint at) {
  std::ostringstream out;
  out << "+" << std::fixed;
  out.precision(6);
  out << static_cast<double>((at - beginning).count()) * 1e-9 << " s";
  return out.str();
}

// Sees whether anything is carried out at all.
class Witness final : public core::HostInterface {
 public:
  explicit Witness(TimePoint at) : now_(at) {}
  TimePoint now() override { return now_; }
  core::WriteResult send(const core::SendQuery&) override { return saw(); }
  core::WriteResult send(const core::SendProbe&) override { return saw(); }
  void execute(const core::OpenChannel&) override { saw(); }
  void execute(const core::CancelOnEngine&) override { saw(); }
  void execute(const core::UpdateResourceGrant&) override { saw(); }
  void execute(const core::CloseChannel&) override { saw(); }
  void execute(const core::Deliver&) override { saw(); }
  void execute(const core::Discard&) override { saw(); }
  void execute(const core::PauseChannel&) override { saw(); }
  void execute(const core::ResumeChannel&) override { saw(); }
  void execute(const core::Answer&) override { saw(); }
  void execute(const core::LogMessage&) override {}
  void execute(const core::ShutdownComplete&) override { saw(); }
  void on_violation(const InvariantViolation&) override { saw(); }

  TimePoint now_;
  bool anything = false;

 private:
  core::WriteResult saw() {
    anything = true;
    return core::WriteResult::partial;
  }
};

using Names = std::vector<std::uint8_t>;  // of engines, by id; 0 is nobody's

// Engines of one zone are alike: every way to call them by each other's names.
std::vector<Names> renamings(std::uint32_t engines, std::uint32_t zones) {
  std::vector<std::uint8_t> order(engines);
  std::iota(order.begin(), order.end(), std::uint8_t{1});
  std::vector<Names> all;
  do {
    Names names(engines + 1, 0);
    bool alike = true;
    for (std::uint32_t i = 0; i < engines; ++i) {
      names[i + 1] = order[i];
      alike = alike && i % zones == (order[i] - 1U) % zones;
    }
    if (alike) all.push_back(std::move(names));
  } while (std::next_permutation(order.begin(), order.end()));
  return all;
}

}  // namespace

std::string_view name_of(Step act) { return act_names[static_cast<std::size_t>(act)]; }
std::string_view name_of(Case one) { return case_names[static_cast<std::size_t>(one)]; }

// The host of one manager.
class ModelState::Carrier final : public core::HostInterface {
 public:
  Carrier(ModelState& world, std::uint32_t manager) : w_(world), m_(manager), site_(world.sites_[manager]) {}

  TimePoint now() override { return w_.now_; }

  core::WriteResult send(const core::SendQuery& action) override {
    EngineSideChannel* channel = w_.find(m_, action.channel);
    if (channel == nullptr) return core::WriteResult::failed;
    Seen& seen = site_.queries[action.query];
    if (seen.reset) w_.mark(Case::resend_after_reset);
    ++seen.attempts;
    ++seen.out;
    // What the engine has of another of its key may still run there, whatever the manager makes of it.
    for (const EngineSideChannel& other : site_.channels) {
      const auto of = site_.queries.find(other.query);
      const bool runs = other.closed && other.flight == Flight::whole && other.query != action.query;
      if (runs && seen.cls == Class::ordered_by_key && of != site_.queries.end() &&
          of->second.cls == Class::ordered_by_key && of->second.key == seen.key)
        w_.violation(Invariant::order, "query " + std::to_string(action.query) +
                                           " is sent at once while query " + std::to_string(other.query) +
                                           " of its key may run");
    }
    channel->query = action.query;
    channel->parts = channel->big_parts = channel->notes = 0;
    const bool deaf = w_.engines_[channel->engine - 1].deaf;
    channel->flight = deaf ? Flight::half : Flight::whole;
    w_.tells("query " + std::to_string(action.query) + (deaf ? " half" : "") + " sent on link " +
             std::to_string(action.channel) + " to engine " + std::to_string(channel->engine));
    if (deaf) w_.mark(Case::query_half_written);
    return deaf ? core::WriteResult::partial : core::WriteResult::complete;
  }
  core::WriteResult send(const core::SendProbe& action) override {
    EngineSideChannel* channel = w_.find(m_, action.channel);
    if (channel == nullptr) return core::WriteResult::failed;
    channel->flight = Flight::whole;
    return core::WriteResult::complete;
  }
  void execute(const core::OpenChannel& action) override {
    EngineSideChannel channel;
    channel.id = action.channel;
    channel.engine = action.engine;
    channel.process = w_.engines_[action.engine - 1].process;
    channel.probe = action.use == core::ChannelUse::probe;
    site_.channels.push_back(std::move(channel));
    w_.tells("link " + std::to_string(action.channel) + " opens to engine " + std::to_string(action.engine));
  }
  void execute(const core::CancelOnEngine& action) override {
    EngineSideChannel* channel = w_.find(m_, action.channel);
    if (channel == nullptr) return;
    const QueryId target = channel->query;
    if (seeded(Defect::cancel_strikes_newest_link)) {
      for (EngineSideChannel& other : site_.channels)
        if (!other.closed && other.id > channel->id) channel = &other;
    }
    channel->cancel = target;
    w_.tells("cancel sent for link " + std::to_string(channel->id));
  }
  void execute(const core::UpdateResourceGrant&) override {}
  void execute(const core::CloseChannel& action) override {
    const auto channel = std::find_if(site_.channels.begin(), site_.channels.end(),
                                      [&](const EngineSideChannel& one) { return one.id == action.channel; });
    if (channel == site_.channels.end() || seeded(Defect::close_not_carried_out)) return;
    w_.tells("link " + std::to_string(action.channel) + " closes");
    if (channel->cancel) w_.mark(Case::late_cancel);  // it will find nothing
    if (channel->flight != Flight::nothing && !channel->probe) {
      end_out(channel->query);
      channel->closed = true;
      channel->closed_at = w_.now_;
      channel->cancel.reset();
    } else {
      site_.channels.erase(channel);
    }
  }
  void execute(const core::Deliver& action) override {
    EngineSideChannel* channel = w_.find(m_, action.channel);
    if (channel == nullptr) return w_.violation(Invariant::own_rows, "rows of no link are delivered");
    auto client = client_of(action.session);
    if (seeded(Defect::delivered_to_another)) client = (client + 1) % site_.clients.size();
    Client& to = site_.clients[client];
    for (const Row& row : channel->kept) {
      Seen& seen = site_.queries[row.query];
      const std::string text = "row " + std::to_string(row.number) + " of query " + std::to_string(row.query);
      if (to.query != row.query)
        w_.violation(Invariant::own_rows, text + " goes to client " + std::to_string(client));
      if (seen.answered)
        w_.violation(Invariant::nothing_after, text + " is delivered behind the final answer");
      if (seen.rows_of == 0) seen.rows_of = row.channel;
      if (seen.rows_of != row.channel) w_.violation(Invariant::own_rows, text + " is another attempt's");
      if (seen.rows != row.number) w_.violation(Invariant::whole_answer, text + " comes out of its turn");
      seen.rows = static_cast<std::uint8_t>(row.number + 1);
    }
    channel->kept.clear();
    to.undelivered_bytes += static_cast<std::uint32_t>(action.bytes);
    if (to.undelivered_bytes > w_.scope_->core.client_window + big_part)
      w_.violation(Invariant::bounds, "client " + std::to_string(client) + " is owed more than its window");
    if (to.reads)
      w_.dispatch(m_, core::ClientConsumed{action.session, std::exchange(to.undelivered_bytes, 0)});
  }
  void execute(const core::Discard& action) override {
    if (seeded(Defect::discard_not_carried_out)) return;
    if (EngineSideChannel* channel = w_.find(m_, action.channel)) channel->kept.clear();
  }
  void execute(const core::PauseChannel& action) override {
    if (seeded(Defect::pause_not_carried_out)) return;
    if (EngineSideChannel* channel = w_.find(m_, action.channel)) channel->paused = true;
  }
  void execute(const core::ResumeChannel& action) override {
    if (EngineSideChannel* channel = w_.find(m_, action.channel)) channel->paused = false;
  }
  void execute(const core::Answer& action) override {
    static constexpr std::array<std::string_view, 4> kinds{"served", "refused", "failed", "cancelled"};
    Seen& seen = site_.queries[action.query];
    const std::string text = "query " + std::to_string(action.query);
    w_.tells(text + " is answered: " + std::string(kinds[static_cast<std::size_t>(action.kind)]));
    if (seen.answered) w_.violation(Invariant::one_answer, text + " is answered twice");
    seen.answered = true;
    if (action.kind == core::AnswerKind::served) {
      const EngineSideChannel* channel = w_.find(m_, seen.rows_of);
      if (channel == nullptr || channel->parts + channel->big_parts + 1 != seen.rows)
        w_.violation(Invariant::whole_answer, text + " is called served, and rows are missing");
    }
    Client& client = site_.clients[seen.client];
    if (client.query == action.query) client.query = 0;
    if (client.undelivered_bytes == 0)
      client.reads = true;  // it has all: how it reads is the next query's matter
    if (action.kind == core::AnswerKind::cancelled && client.here && client.cancel_of != action.query)
      w_.violation(Invariant::own_cancel, text + " is cancelled, and its client asked for another's cancel");
    // As the service does: what was pipelined is taken, then the answer is written, which shows a broken
    // client.
    if (w_.scope_->pipelined && client.here && client.query == 0 &&
        w_.id_of(m_, seen.client, client.asked) != 0 &&
        client.undelivered_bytes <= w_.scope_->core.client_window)
      w_.ask(m_, seen.client);
    if (client.broken && client.here) {
      client.here = false;
      client.undelivered_bytes = 0;
      client.query = 0;
      w_.dispatch(m_, core::SessionClosed{session_of(site_, seen.client)});
    }
    // Its time was up while a further attempt's channel was opening.
    const bool connecting =
        action.attempts.size() > 1 && action.attempts.size() > seen.attempts &&
        action.attempts.back().result.value_or(AttemptResult::not_sent) == AttemptResult::not_sent;
    if (action.deadline_exceeded && connecting) w_.mark(Case::deadline_between_resend_and_connect);
  }
  void execute(const core::LogMessage& action) override { w_.tells("remark: " + action.text); }
  void execute(const core::ShutdownComplete&) override { w_.tells("the manager has left"); }
  void on_violation(const InvariantViolation& violation) override { w_.violations_.push_back(violation); }

  void end_out(QueryId query) {
    const auto seen = site_.queries.find(query);
    if (seen != site_.queries.end() && seen->second.out > 0) --seen->second.out;
  }

 private:
  ModelState& w_;
  std::uint32_t m_;
  ManagerState& site_;
};

ModelState::ModelState(std::shared_ptr<const Scope> scope) : scope_(std::move(scope)), now_(beginning) {
  faults_left_ = scope_->faults;
  engines_.resize(scope_->engines);
  for (std::uint32_t m = 0; m < scope_->managers; ++m) {
    core::CoreSettings settings = scope_->core;
    settings.module.instance_index = m;
    settings.module.seed += m;
    sites_.push_back(
        {core::EventDispatcher(settings, true), std::vector<Client>(scope_->clients), {}, {}, false});
  }
  tell_fleet(EndpointUpdate::full, 0);
  for (std::uint32_t m = 0; m < scope_->managers; ++m)
    for (std::uint32_t c = 0; c < scope_->clients; ++c)
      dispatch(m, core::SessionOpened{session_of(sites_[m], c)});
}

void ModelState::dispatch(std::uint32_t manager, core::CoreEvent event) {
  Carrier host(*this, manager);
  sites_[manager].dispatcher.dispatch(std::move(event), host);
}

EngineEntry ModelState::entry_of(EngineId engine) const {
  const EngineSide& side = engines_[engine - 1];
  EngineEntry entry;
  entry.engine = engine;
  entry.state = side.listed;
  entry.zone = (engine - 1) % scope_->zones;
  entry.started = side.started;
  return entry;
}

// A delta about one engine, or the whole list of those that are not gone.
void ModelState::tell_fleet(EndpointUpdate scope, EngineId engine) {
  core::EndpointsUpdated told;
  told.scope = scope;
  for (EngineId id = 1; id <= scope_->engines; ++id) {
    const EngineEntry entry = entry_of(id);
    const bool named = scope == EndpointUpdate::delta ? id == engine : entry.state != EngineState::removed;
    if (named && scope != EndpointUpdate::failed) told.engines.push_back(entry);
  }
  for (std::uint32_t m = 0; m < scope_->managers; ++m) dispatch(m, told);
}

Slot ModelState::slot_of(std::uint32_t manager, std::uint32_t client, std::uint32_t nth) const {
  if (!scope_->endless) {
    for (const Slot& slot : scope_->slots)
      if (slot.client == client && nth-- == 0) return slot;
    return {};
  }
  // What is asked follows from who asks and how often it did: mixed well, and the same in every run.
  std::uint64_t mixed = (manager * 1000003ULL + client) * 1000003ULL + nth;
  mixed = (mixed ^ (mixed >> 29U)) * 0xbf58476d1ce4e5b9ULL;
  mixed ^= mixed >> 32U;
  Slot slot{client, static_cast<Class>(mixed % 5), 0};
  if (slot.cls == Class::ordered_by_key || slot.cls == Class::keyed) slot.key = 1 + (mixed >> 8U) % 6;
  return slot;
}

QueryId ModelState::id_of(std::uint32_t, std::uint32_t client, std::uint32_t nth) const {
  if (scope_->endless) return std::uint64_t{nth} * 256 + client + 1;
  for (std::size_t i = 0; i < scope_->slots.size(); ++i)
    if (scope_->slots[i].client == client && nth-- == 0) return i + 1;
  return 0;
}

// A seat that is taken anew has another id: none is used twice.
core::SessionId ModelState::session_of(const ManagerState& site, std::uint32_t client) {
  return std::uint64_t{site.clients[client].seat} * most_clients + client + 1;
}

std::size_t ModelState::client_of(core::SessionId session) {
  return static_cast<std::size_t>((session - 1) % most_clients);
}

ModelState::EngineSideChannel* ModelState::find(std::uint32_t manager, ChannelId id) {
  for (EngineSideChannel& channel : sites_[manager].channels)
    if (channel.id == id) return &channel;
  return nullptr;
}

const ModelState::EngineSideChannel* ModelState::find(std::uint32_t manager, ChannelId id) const {
  return const_cast<ModelState*>(this)->find(manager, id);
}

void ModelState::tells(std::string line) {
  if (keeps_story_) story_.push_back(std::move(line));
}

// ---- What may happen ----

void ModelState::moves_of_clients(std::uint8_t m, std::vector<Move>& out) const {
  const ManagerState& site = sites_[m];
  for (std::uint32_t c = 0; c < site.clients.size(); ++c) {
    const Client& client = site.clients[c];
    if (!client.here) {
      // In the endless scope another one takes the seat.
      if (scope_->endless) out.push_back({Step::read_on, m, c});
      continue;
    }
    if (client.query == 0 && client.undelivered_bytes == 0 && id_of(m, c, client.asked) != 0) {
      // Of requests that are alike, and whose clients are, the first is asked first.
      bool first = true;
      for (std::uint32_t before = 0; before < c && !scope_->endless; ++before) {
        const Slot mine = slot_of(m, c, client.asked), other = slot_of(m, before, 0);
        const bool alike = client.asked == 0 && mine.cls == other.cls && mine.key == other.key;
        if (alike && site.clients[before].asked == 0) first = false;
      }
      if (first) out.push_back({Step::ask, m, c});
    }
    const bool more = id_of(m, c, client.asked) != 0;
    if (client.query != 0 || (client.asked > 0 && more)) out.push_back({Step::cancel, m, c});
    if (client.query != 0 || client.undelivered_bytes > 0) out.push_back({Step::leave_client, m, c});
    if (client.reads && client.query != 0) out.push_back({Step::stop_reading, m, c});
    if (scope_->pipelined && !client.broken && client.query != 0) out.push_back({Step::break_client, m, c});
    if (!client.reads && client.undelivered_bytes > 0) out.push_back({Step::read_on, m, c});
  }
}

void ModelState::moves_of_channels(std::uint8_t m, std::vector<Move>& out) const {
  for (const EngineSideChannel& channel : sites_[m].channels) {
    const auto id = static_cast<std::uint32_t>(channel.id);
    const auto add = [&](Step act) { out.push_back({act, m, id}); };
    const EngineSide& engine = engines_[channel.engine - 1];
    const bool alive = channel.process == engine.process && engine.listed != EngineState::removed;
    if (channel.closed) {
      add(Step::late_end);
      if (channel.notes == 0) add(Step::late_note);
      continue;
    }
    if (!channel.up) {
      if (alive) add(Step::channel_opened);
      add(Step::refused);
      add(Step::no_descriptor);
      continue;
    }
    if (channel.paused) continue;  // nothing of it is read
    if (channel.flight == Flight::half && alive && !engine.deaf) add(Step::written);
    add(Step::lost);
    if (channel.cancel) add(Step::strike);
    if (channel.flight != Flight::whole || !alive) continue;
    if (channel.probe) {
      add(Step::complete);
      add(Step::failed);
      continue;
    }
    if (channel.parts == 0 && channel.big_parts == 0) add(Step::part);
    if (channel.parts == 0 && channel.big_parts < scope_->big_parts) {
      add(Step::big_part);
      add(Step::part_and_end);
    }
    if (channel.parts == 0 && channel.big_parts == 0) add(Step::full);
    add(Step::complete);
    add(Step::complete_unclean);
    add(Step::failed);
    add(Step::broken);
    if (channel.notes == 0) add(Step::note);
  }
}

std::optional<TimePoint> ModelState::due() const {
  std::optional<TimePoint> first;
  for (const ManagerState& site : sites_) {
    const auto due = site.dispatcher.due();
    if (due && (!first || *due < *first)) first = due;
  }
  return first;
}

// Nothing is held: time would only pass.
bool ModelState::quiet() const {
  if (scope_->endless) return false;
  for (const ManagerState& site : sites_) {
    const core::Counts counts = site.dispatcher.counts();
    if (counts.queries_open > 0 || counts.channels > 0 || counts.attempts_out > 0) return false;
  }
  return true;
}

void ModelState::moves_of_time(std::vector<Move>& out) {
  if (quiet()) return;
  const auto next = due();
  if (!next) return;
  if (*next > now_ + near) {
    out.push_back({Step::wait});
  } else if (*next > now_) {
    out.push_back({Step::reach});
  } else {
    out.push_back({Step::fire});
    if (!was_late_) out.push_back({Step::late});
  }
}

std::vector<Move> ModelState::moves() {
  std::vector<Move> out;
  for (std::uint8_t m = 0; m < sites_.size(); ++m) {
    moves_of_clients(m, out);
    moves_of_channels(m, out);
  }
  for (EngineId id = 1; id <= engines_.size(); ++id) {
    const EngineSide& engine = engines_[id - 1];
    const bool fresh = scope_->endless || !engine.changed;
    // It matters to what is about to be sent there.
    const bool awaited = std::any_of(sites_.begin(), sites_.end(), [id](const ManagerState& site) {
      return std::any_of(site.channels.begin(), site.channels.end(), [id](const EngineSideChannel& channel) {
        return channel.engine == id && !channel.closed && channel.flight == Flight::nothing;
      });
    });
    if (!engine.deaf && awaited) out.push_back({Step::deaf, 0, id});
    if (engine.deaf) out.push_back({Step::hears, 0, id});
    if (engine.listed == EngineState::ready && fresh) out.push_back({Step::drain, 0, id});
    if (engine.listed == EngineState::draining || (engine.listed == EngineState::ready && fresh))
      out.push_back({Step::gone, 0, id});
    if (engine.listed != EngineState::ready) out.push_back({Step::back, 0, id});
    if (engine.listed == EngineState::ready && fresh) out.push_back({Step::restart, 0, id});
  }
  if (!list_failed_) out.push_back({Step::list_failed});
  if (!sites_[0].leaving && !scope_->endless) out.push_back({Step::shutdown});
  moves_of_time(out);
  if (faults_left_ == 0) {
    std::erase_if(out, [this](const Move& move) {
      if (!is_fault(move.act)) return false;
      // The end of a channel whose engine's process ended is no further fault.
      if (move.act != Step::lost) return true;
      const EngineSideChannel* channel = find(move.manager, move.subject);
      return channel->process == engines_[channel->engine - 1].process;
    });
  }
  return out;
}

bool ModelState::allowed(const Move& move) {
  const std::vector<Move> all = moves();
  return std::find(all.begin(), all.end(), move) != all.end();
}

std::optional<Move> ModelState::calm_move() {
  bool held = false;
  for (std::uint8_t m = 0; m < sites_.size(); ++m) {
    const core::Counts counts = sites_[m].dispatcher.counts();
    held = held || counts.queries_open + counts.attempts_out > 0 || counts.channels > counts.channels_probing;
    for (std::uint32_t c = 0; c < sites_[m].clients.size(); ++c)
      if (sites_[m].clients[c].here && !sites_[m].clients[c].reads) return Move{Step::read_on, m, c};
  }
  if (!held) return std::nullopt;
  std::vector<Move> time;
  moves_of_time(time);
  if (time.empty()) return std::nullopt;
  return time.front();
}

std::optional<InvariantViolation> ModelState::left_over() {
  const auto left = [](std::string what) { return InvariantViolation{Invariant::all_ends, std::move(what)}; };
  for (ManagerState& site : sites_) {
    const core::Counts counts = site.dispatcher.counts();
    if (counts.queries_open > 0) return left("a query is left, and nothing falls due");
    if (counts.attempts_out > 0) return left("an attempt is left, and nothing falls due");
    if (counts.channels > counts.channels_probing) return left("a link is left, and nothing falls due");
    if (counts.bytes_buffered > 0) return left("bytes are left in a buffer");
    for (const EngineSideChannel& channel : site.channels)
      if (!channel.closed && !channel.probe)
        return left("link " + std::to_string(channel.id) + " is open at the host, and nobody's");
    RequestCounter counter;
    site.dispatcher.coordinator().visit(counter);
    if (counter.requests() > 0) return left("the module still knows of a request");
    if (counts.own_timers > counts.channels_probing + (site.leaving ? 1U : 0U))
      return left("a timer is left");
  }
  return std::nullopt;
}

// ---- What happens ----

void ModelState::let_time_pass(TimePoint to) {
  for (ManagerState& site : sites_) {
    if (site.dispatcher.monitor() && site.dispatcher.monitor()->rest_ends_while_out(now_, to))
      mark(Case::rest_over_while_out);
    // What crossed with a close does so at once.
    std::erase_if(site.channels, [](const EngineSideChannel& channel) { return channel.closed; });
    std::erase_if(site.queries, [](const auto& one) { return one.second.answered && one.second.out == 0; });
  }
  now_ = to;
}

// Passes over what falls due without any effect, up to just before what has one.
void ModelState::wait() {
  if (scope_->endless) return let_time_pass(std::max(now_, *due() - just_before));
  int ticks = 0;
  core::EventDispatcher ahead = sites_[0].dispatcher;
  for (; ticks < most_quiet_ticks; ++ticks) {
    Witness witness(*ahead.due());
    ahead.dispatch(core::TimerExpired{}, witness);
    if (witness.anything) break;
  }
  for (int i = 0; i < ticks; ++i) {
    let_time_pass(*sites_[0].dispatcher.due());
    dispatch(0, core::TimerExpired{});
  }
  let_time_pass(std::max(now_, *sites_[0].dispatcher.due() - just_before));
}

void ModelState::ask(std::uint32_t m, std::uint32_t c) {
  ManagerState& site = sites_[m];
  Client& client = site.clients[c];
  const Slot slot = slot_of(m, c, client.asked);
  const QueryId id = id_of(m, c, client.asked);
  ++client.asked;
  client.query = id;
  Seen seen;
  seen.client = static_cast<std::uint8_t>(c);
  seen.cls = slot.cls;
  seen.key = slot.key;
  site.queries[id] = seen;
  core::QueryArrived event;
  event.session = session_of(site, c);
  event.query = id;
  event.class_index = static_cast<std::uint32_t>(slot.cls);
  event.ordering_key = slot.key;
  event.client_timeout = scope_->core.module.classes[event.class_index].deadline;
  event.estimated_cost = 20ms;
  dispatch(m, event);
  if (std::exchange(client.cancel_kept, false)) dispatch(m, core::ClientCancelled{session_of(site, c)});
}

void ModelState::end_answer(std::uint32_t m, EngineSideChannel& channel, core::Ending ending, bool reusable) {
  const ChannelId id = channel.id;
  if (!channel.probe) {
    channel.kept.push_back({channel.query, id, static_cast<std::uint8_t>(channel.parts + channel.big_parts)});
    if (ending == core::Ending::full)
      sites_[m].queries[channel.query].full_of |= static_cast<std::uint16_t>(1U << channel.engine);
    Carrier(*this, m).end_out(channel.query);
    const Seen& seen = sites_[m].queries[channel.query];
    bool everywhere = true;
    for (EngineId e = 1; e <= engines_.size(); ++e) everywhere = everywhere && (seen.full_of >> e & 1U) != 0;
    if (everywhere) mark(Case::full_everywhere);
    if (channel.cancel) mark(Case::answer_at_a_cancelled_link);
    const auto next = due();
    if (next && *next == now_) mark(Case::answer_then_time_out);
  }
  channel.flight = Flight::nothing;
  core::AnswerEnd event;
  event.channel = id;
  event.ending = ending;
  event.bytes = channel.probe ? 0 : last_part;
  event.reusable = reusable;
  if (ending == core::Ending::complete && !channel.probe) event.work = 20ms;
  dispatch(m, event);
}

void ModelState::invariants() {
  for (ManagerState& site : sites_) {
    try {
      site.dispatcher.coordinator().check();
    } catch (const std::logic_error& error) { violation(Invariant::no_contradiction, error.what()); }
  }
}

std::vector<InvariantViolation> ModelState::make(const Move& move) {
  violations_.clear();
  cases_.reset();
  story_.clear();
  const std::uint32_t m = move.manager, subject = move.subject;
  ManagerState& site = sites_[m];
  EngineSideChannel* channel =
      move.act >= Step::channel_opened && move.act <= Step::late_note ? find(m, subject) : nullptr;
  if (is_fault(move.act) && faults_left_ != ~0U && faults_left_ > 0) {
    const bool dead = channel != nullptr && channel->process != engines_[channel->engine - 1].process;
    if (!(move.act == Step::lost && dead)) --faults_left_;
  }
  try {
    switch (move.act) {
      case Step::ask: ask(m, subject); break;
      case Step::cancel: {
        Client& client = site.clients[subject];
        client.cancel_of = client.query;
        if (client.query == 0 && seeded(Defect::cancel_kept_for_the_next)) client.cancel_kept = true;
        dispatch(m, core::ClientCancelled{session_of(site, subject)});
        break;
      }
      case Step::leave_client: {
        Client& client = site.clients[subject];
        if (client.query != 0) {
          const Seen& seen = site.queries[client.query];
          if (seen.attempts > 0 && seen.out == 0) mark(Case::client_gone_between_attempts);
        }
        client.here = false;
        client.query = 0;
        client.undelivered_bytes = 0;
        client.broken = false;
        dispatch(m, core::SessionClosed{session_of(site, subject)});
        break;
      }
      case Step::break_client: site.clients[subject].broken = true; break;
      case Step::stop_reading: site.clients[subject].reads = false; break;
      case Step::read_on: {
        Client& client = site.clients[subject];
        client.reads = true;
        if (!client.here) {
          client.here = true;
          ++client.seat;
          dispatch(m, core::SessionOpened{session_of(site, subject)});
        } else if (client.undelivered_bytes > 0) {
          dispatch(
              m, core::ClientConsumed{session_of(site, subject), std::exchange(client.undelivered_bytes, 0)});
        }
        break;
      }
      case Step::channel_opened:
        channel->up = true;
        dispatch(m, core::ChannelOpened{channel->id});
        break;
      case Step::refused:
        dispatch(m, core::ChannelLost{channel->id, core::ChannelLossReason::refused});
        break;
      case Step::no_descriptor:
        dispatch(m, core::ChannelLost{channel->id, core::ChannelLossReason::local});
        break;
      case Step::lost:
      case Step::broken: {
        const bool carried = channel->flight != Flight::nothing && !channel->probe;
        const QueryId query = channel->query;
        if (carried) Carrier(*this, m).end_out(query);
        if (carried) site.queries[query].reset = true;
        channel->flight = Flight::nothing;
        const auto why = move.act == Step::lost ? core::ChannelLossReason::closed
                                                : core::ChannelLossReason::protocol_error;
        dispatch(m, core::ChannelLost{channel->id, why});
        break;
      }
      case Step::written:
        channel->flight = Flight::whole;
        dispatch(m, core::QuerySent{channel->id});
        break;
      case Step::part:
      case Step::big_part: {
        const auto number = static_cast<std::uint8_t>(channel->parts + channel->big_parts);
        channel->kept.push_back({channel->query, channel->id, number});
        ++(move.act == Step::part ? channel->parts : channel->big_parts);
        dispatch(m, core::AnswerPart{channel->id, move.act == Step::part ? small_part : big_part});
        break;
      }
      case Step::part_and_end: {
        const QueryId query = channel->query;
        channel->kept.push_back(
            {query, channel->id, static_cast<std::uint8_t>(channel->parts + channel->big_parts)});
        ++channel->big_parts;
        dispatch(m, core::AnswerPart{channel->id, big_part});
        channel = find(m, subject);
        if (channel != nullptr && channel->flight == Flight::whole && channel->query == query)
          end_answer(m, *channel, core::Ending::complete, true);
        break;
      }
      case Step::complete: end_answer(m, *channel, core::Ending::complete, true); break;
      case Step::complete_unclean: end_answer(m, *channel, core::Ending::complete, false); break;
      case Step::failed: end_answer(m, *channel, core::Ending::engine_error, true); break;
      case Step::full: end_answer(m, *channel, core::Ending::full, true); break;
      case Step::note:
        channel->notes = 1;
        dispatch(m, core::EngineProgress{channel->id, ProgressKind::progress, 0.5});
        break;
      case Step::strike: {
        const QueryId target = *channel->cancel;
        channel->cancel.reset();
        if (channel->flight != Flight::whole) break;
        if (channel->query != target)
          violation(Invariant::own_cancel, "a cancel for query " + std::to_string(target) +
                                               " strikes query " + std::to_string(channel->query));
        end_answer(m, *channel, core::Ending::cancelled, true);
        break;
      }
      case Step::late_end: {
        const EngineSideChannel ghost = *channel;
        std::erase_if(site.channels, [&](const EngineSideChannel& one) { return one.id == ghost.id; });
        const auto seen = site.queries.find(ghost.query);
        if (seen != site.queries.end() && seen->second.out > 0) mark(Case::late_answer_after_resend);
        if (ghost.closed_at == now_) mark(Case::time_out_then_answer);
        dispatch(m, core::AnswerEnd{ghost.id, core::Ending::complete, last_part, true, {}, {}, {}});
        break;
      }
      case Step::late_note:
        channel->notes = 1;
        mark(Case::note_of_ended_attempt);
        dispatch(m, core::EngineProgress{channel->id, ProgressKind::progress, 0.5});
        break;
      case Step::deaf: engines_[subject - 1].deaf = true; break;
      case Step::hears: engines_[subject - 1].deaf = false; break;
      case Step::drain:
      case Step::gone: {
        EngineSide& engine = engines_[subject - 1];
        for (const ManagerState& one : sites_) {
          for (const EngineSideChannel& l : one.channels) {
            if (l.engine != subject || l.closed || l.probe) continue;
            if (l.cancel) mark(Case::cancel_and_drain);
            if (!l.up || l.flight == Flight::half) mark(Case::drain_and_send);
          }
        }
        if (engine.listed == EngineState::ready) engine.not_ready_since = now_;
        engine.changed = true;
        engine.listed = move.act == Step::drain ? EngineState::draining : EngineState::removed;
        tell_fleet(move.act == Step::drain ? EndpointUpdate::delta : EndpointUpdate::full, subject);
        break;
      }
      case Step::restart:
      case Step::back: {
        EngineSide& engine = engines_[subject - 1];
        engine.changed = true;
        if (move.act == Step::back && now_ - engine.not_ready_since < scope_->core.module.drain_grace)
          mark(Case::removed_and_back_within_grace);
        engine.listed = EngineState::ready;
        engine.started = now_;
        engine.deaf = false;
        ++engine.process;
        tell_fleet(EndpointUpdate::delta, subject);
        break;
      }
      case Step::list_failed:
        list_failed_ = !scope_->endless;
        tell_fleet(EndpointUpdate::failed, 0);
        break;
      case Step::wait: wait(); break;
      case Step::reach: let_time_pass(*due()); break;
      case Step::late:
        let_time_pass(now_ + event_loop_lag);
        was_late_ = true;
        break;
      case Step::fire:
        if (scope_->endless) was_late_ = false;
        for (std::uint32_t one = 0; one < sites_.size(); ++one) {
          const auto at = sites_[one].dispatcher.due();
          if (at && *at <= now_) dispatch(one, core::TimerExpired{});
        }
        break;
      case Step::shutdown: {
        const core::Counts counts = site.dispatcher.counts();
        if (counts.queries_open > 1 && counts.attempts_out > 0) mark(Case::shutdown_in_flight);
        site.leaving = true;
        dispatch(m, core::BeginShutdown{leave_grace});
        break;
      }
      case Step::count: break;
    }
  } catch (const std::exception& error) {
    violation(Invariant::no_contradiction, error.what());
    return violations_;
  }
  invariants();
  return violations_;
}

// ---- State ----

std::uint64_t ModelState::digest(std::span<const std::uint8_t> names) {
  Digest out(names);
  for (ManagerState& site : sites_) {
    out.lag(static_cast<double>((now_ - site.dispatcher.coordinator().now()).count()) * 1e-9);
    site.dispatcher.visit(out);
    out.lag(0);
    const core::StateWalk w(out, now_);
    w.list(site.clients, [&](Client& c) {
      w.wholes(c.here, c.reads, c.broken, c.asked, c.undelivered_bytes, c.query, c.cancel_kept,
               c.cancel_of == c.query);
    });
    w.table(site.queries, [&](QueryId id, Seen& seen) {
      w.name(core::Name::query, id);
      w.wholes(seen.client, seen.answered, seen.out, seen.rows, seen.rows_of != 0);
      if (seen.rows_of != 0) w.name(core::Name::channel, seen.rows_of);
    });
    w.set(site.channels, [&](EngineSideChannel& l) {
      w.name(core::Name::channel, l.id);
      w.name(core::Name::engine, l.engine);
      w.wholes(l.process == engines_[l.engine - 1].process, l.probe, l.up, l.paused, l.closed, l.flight);
      w.wholes(l.parts, l.big_parts, l.notes, l.cancel.has_value());
      if (l.flight != Flight::nothing) w.name(core::Name::query, l.query);
      if (l.cancel) w.name(core::Name::query, *l.cancel);
      w.list(l.kept, [&](Row& row) { w.wholes(row.query, row.number, row.channel == l.id); });
    });
    w.wholes(site.leaving);
  }
  const core::StateWalk w(out, now_);
  w.set(engines_, [&](EngineSide& e) {
    w.name(core::Name::engine, static_cast<std::uint64_t>(&e - engines_.data()) + 1);
    w.wholes(e.listed, e.deaf, e.changed);
    w.since(e.started);
    if (e.listed != EngineState::ready) w.since(e.not_ready_since);
  });
  w.wholes(faults_left_, list_failed_, was_late_);
  return out.value();
}

std::uint64_t ModelState::digest() {
  static thread_local std::vector<Names> all;
  static thread_local std::pair<std::uint32_t, std::uint32_t> of{0, 0};
  if (of != std::pair{scope_->engines, scope_->zones}) {
    of = {scope_->engines, scope_->zones};
    all = renamings(scope_->engines, scope_->zones);
  }
  std::uint64_t least = ~std::uint64_t{0};
  for (const Names& names : all) least = std::min(least, digest(names));
  return least;
}

std::string ModelState::describe(const Move& move) const {
  std::ostringstream out;
  out << seconds_text(now_) << "  ";
  if (sites_.size() > 1 && move.act < Step::deaf) out << "manager " << int{move.manager} << ": ";
  const EngineSideChannel* channel = move.act >= Step::channel_opened && move.act <= Step::late_note
                                         ? find(move.manager, move.subject)
                                         : nullptr;
  if (channel != nullptr) {
    out << "link " << channel->id << " (engine " << channel->engine;
    if (channel->flight != Flight::nothing && !channel->probe) out << ", query " << channel->query;
    if (channel->probe) out << ", probe";
    out << "): ";
  }
  switch (move.act) {
    case Step::ask: {
      static constexpr std::array<std::string_view, 5> names{"safe", "keyed", "unsafe", "in turn", "bound"};
      const Client& client = sites_[move.manager].clients[move.subject];
      const Slot slot = slot_of(move.manager, move.subject, client.asked);
      out << "client " << move.subject << " asks query " << id_of(move.manager, move.subject, client.asked)
          << ", " << names[static_cast<std::size_t>(slot.cls)];
      if (slot.key != 0) out << ", key " << slot.key;
      break;
    }
    case Step::cancel: out << "client " << move.subject << " asks for a cancel"; break;
    case Step::leave_client: out << "client " << move.subject << " is gone"; break;
    case Step::break_client:
      out << "client " << move.subject << " is gone, and nobody has seen it yet";
      break;
    case Step::stop_reading: out << "client " << move.subject << " reads no more"; break;
    case Step::read_on: out << "client " << move.subject << " reads on"; break;
    case Step::channel_opened: out << "is up"; break;
    case Step::refused: out << "is refused"; break;
    case Step::no_descriptor: out << "finds no descriptor free"; break;
    case Step::lost: out << "is lost"; break;
    case Step::broken: out << "brings what is not the protocol"; break;
    case Step::written: out << "the rest of the query is written"; break;
    case Step::part: out << "part of an answer"; break;
    case Step::big_part: out << "a large part of an answer"; break;
    case Step::part_and_end: out << "a large part of an answer, and its end in the same read"; break;
    case Step::complete: out << "the answer is whole"; break;
    case Step::complete_unclean: out << "the answer is whole, and the engine holds state"; break;
    case Step::failed: out << "the engine fails"; break;
    case Step::full: out << "the engine is full"; break;
    case Step::note: out << "a note of progress"; break;
    case Step::strike: out << "a cancel strikes"; break;
    case Step::late_end: out << "an answer that crossed with its close"; break;
    case Step::late_note: out << "a note that crossed with its close"; break;
    case Step::deaf: out << "engine " << move.subject << " reads nothing"; break;
    case Step::hears: out << "engine " << move.subject << " reads again"; break;
    case Step::drain: out << "told that engine " << move.subject << " drains"; break;
    case Step::gone: out << "told that engine " << move.subject << " is gone"; break;
    case Step::restart: out << "told that engine " << move.subject << " has started anew"; break;
    case Step::back: out << "told that engine " << move.subject << " is back, cold"; break;
    case Step::list_failed: out << "told that there is no list"; break;
    case Step::wait: out << "time passes, to just before something falls due"; break;
    case Step::reach: out << "time passes, to the moment itself"; break;
    case Step::late: out << "the timer comes late"; break;
    case Step::fire: out << "what is due falls"; break;
    case Step::shutdown: out << "the manager is told to leave"; break;
    case Step::count: break;
  }
  return out.str();
}

}  // namespace paddlestand::explorer
