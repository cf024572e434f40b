#include "world.hpp"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <sstream>

#include "core/seeded.hpp"
#include "core/walk.hpp"

namespace paddlestand::explore {
namespace {

using namespace std::chrono_literals;
using core::Defect;
using core::seeded;

constexpr Duration just_before = 1us;
constexpr Duration near =
    100us;  // what falls due so soon is next, whatever else has moved by some just_before
constexpr Duration lateness = 10ms;  // less than the module's margin: later a host may break promises
constexpr Duration leave_grace = 250ms;
constexpr int most_quiet_ticks = 400;
constexpr std::size_t small_part = 300, big_part = 1500, last_part = 10;
constexpr TimePoint beginning = 1h;

constexpr std::array<std::string_view, static_cast<std::size_t>(Act::count)> act_names{
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

bool is_fault(Act act) {
  switch (act) {
    case Act::cancel:
    case Act::leave_client:
    case Act::stop_reading:
    case Act::break_client:
    case Act::refused:
    case Act::no_descriptor:
    case Act::lost:
    case Act::broken:
    case Act::complete_unclean:
    case Act::failed:
    case Act::full:
    case Act::deaf:
    case Act::drain:
    case Act::gone:
    case Act::restart:
    case Act::list_failed:
    case Act::late:
    case Act::note:
    case Act::shutdown: return true;
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
class Witness final : public core::Hands {
 public:
  explicit Witness(TimePoint at) : now_(at) {}
  TimePoint now() override { return now_; }
  core::Written send(const core::SendQuery&) override { return saw(); }
  core::Written send(const core::SendProbe&) override { return saw(); }
  void carry_out(const core::OpenLink&) override { saw(); }
  void carry_out(const core::CancelOnEngine&) override { saw(); }
  void carry_out(const core::ChangeTerms&) override { saw(); }
  void carry_out(const core::CloseLink&) override { saw(); }
  void carry_out(const core::Deliver&) override { saw(); }
  void carry_out(const core::Discard&) override { saw(); }
  void carry_out(const core::PauseLink&) override { saw(); }
  void carry_out(const core::ResumeLink&) override { saw(); }
  void carry_out(const core::Answer&) override { saw(); }
  void carry_out(const core::Remark&) override {}
  void carry_out(const core::Left&) override { saw(); }
  void broken(const Breach&) override { saw(); }

  TimePoint now_;
  bool anything = false;

 private:
  core::Written saw() {
    anything = true;
    return core::Written::partly;
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

std::string_view name_of(Act act) { return act_names[static_cast<std::size_t>(act)]; }
std::string_view name_of(Case one) { return case_names[static_cast<std::size_t>(one)]; }

// The host of one manager.
class World::Carrier final : public core::Hands {
 public:
  Carrier(World& world, std::uint32_t manager) : w_(world), m_(manager), site_(world.sites_[manager]) {}

  TimePoint now() override { return w_.now_; }

  core::Written send(const core::SendQuery& effect) override {
    LinkSide* link = w_.find(m_, effect.link);
    if (link == nullptr) return core::Written::failed;
    Seen& seen = site_.queries[effect.query];
    if (seen.reset) w_.mark(Case::resend_after_reset);
    ++seen.attempts;
    ++seen.out;
    // What the engine has of another of its key may still run there, whatever the manager makes of it.
    for (const LinkSide& other : site_.links) {
      const auto of = site_.queries.find(other.query);
      const bool runs = other.closed && other.flight == Flight::whole && other.query != effect.query;
      if (runs && seen.cls == Class::in_turn && of != site_.queries.end() &&
          of->second.cls == Class::in_turn && of->second.key == seen.key)
        w_.breach(Promise::order, "query " + std::to_string(effect.query) + " is sent at once while query " +
                                      std::to_string(other.query) + " of its key may run");
    }
    link->query = effect.query;
    link->parts = link->big_parts = link->notes = 0;
    const bool deaf = w_.engines_[link->engine - 1].deaf;
    link->flight = deaf ? Flight::half : Flight::whole;
    w_.tells("query " + std::to_string(effect.query) + (deaf ? " half" : "") + " sent on link " +
             std::to_string(effect.link) + " to engine " + std::to_string(link->engine));
    if (deaf) w_.mark(Case::query_half_written);
    return deaf ? core::Written::partly : core::Written::whole;
  }
  core::Written send(const core::SendProbe& effect) override {
    LinkSide* link = w_.find(m_, effect.link);
    if (link == nullptr) return core::Written::failed;
    link->flight = Flight::whole;
    return core::Written::whole;
  }
  void carry_out(const core::OpenLink& effect) override {
    LinkSide link;
    link.id = effect.link;
    link.engine = effect.engine;
    link.process = w_.engines_[effect.engine - 1].process;
    link.probe = effect.use == core::LinkUse::probe;
    site_.links.push_back(std::move(link));
    w_.tells("link " + std::to_string(effect.link) + " opens to engine " + std::to_string(effect.engine));
  }
  void carry_out(const core::CancelOnEngine& effect) override {
    LinkSide* link = w_.find(m_, effect.link);
    if (link == nullptr) return;
    const QueryId target = link->query;
    if (seeded(Defect::cancel_strikes_newest_link)) {
      for (LinkSide& other : site_.links)
        if (!other.closed && other.id > link->id) link = &other;
    }
    link->cancel = target;
    w_.tells("cancel sent for link " + std::to_string(link->id));
  }
  void carry_out(const core::ChangeTerms&) override {}
  void carry_out(const core::CloseLink& effect) override {
    const auto link = std::find_if(site_.links.begin(), site_.links.end(),
                                   [&](const LinkSide& one) { return one.id == effect.link; });
    if (link == site_.links.end() || seeded(Defect::close_not_carried_out)) return;
    w_.tells("link " + std::to_string(effect.link) + " closes");
    if (link->cancel) w_.mark(Case::late_cancel);  // it will find nothing
    if (link->flight != Flight::nothing && !link->probe) {
      end_out(link->query);
      link->closed = true;
      link->closed_at = w_.now_;
      link->cancel.reset();
    } else {
      site_.links.erase(link);
    }
  }
  void carry_out(const core::Deliver& effect) override {
    LinkSide* link = w_.find(m_, effect.link);
    if (link == nullptr) return w_.breach(Promise::own_rows, "rows of no link are delivered");
    auto client = client_of(effect.session);
    if (seeded(Defect::delivered_to_another)) client = (client + 1) % site_.clients.size();
    Client& to = site_.clients[client];
    for (const Row& row : link->kept) {
      Seen& seen = site_.queries[row.query];
      const std::string text = "row " + std::to_string(row.number) + " of query " + std::to_string(row.query);
      if (to.query != row.query)
        w_.breach(Promise::own_rows, text + " goes to client " + std::to_string(client));
      if (seen.answered) w_.breach(Promise::nothing_after, text + " is delivered behind the final answer");
      if (seen.rows_of == 0) seen.rows_of = row.link;
      if (seen.rows_of != row.link) w_.breach(Promise::own_rows, text + " is another attempt's");
      if (seen.rows != row.number) w_.breach(Promise::whole_answer, text + " comes out of its turn");
      seen.rows = static_cast<std::uint8_t>(row.number + 1);
    }
    link->kept.clear();
    to.untaken += static_cast<std::uint32_t>(effect.bytes);
    if (to.untaken > w_.scope_->core.client_window + big_part)
      w_.breach(Promise::bounds, "client " + std::to_string(client) + " is owed more than its window");
    if (to.reads) w_.tell(m_, core::ClientTook{effect.session, std::exchange(to.untaken, 0)});
  }
  void carry_out(const core::Discard& effect) override {
    if (seeded(Defect::discard_not_carried_out)) return;
    if (LinkSide* link = w_.find(m_, effect.link)) link->kept.clear();
  }
  void carry_out(const core::PauseLink& effect) override {
    if (seeded(Defect::pause_not_carried_out)) return;
    if (LinkSide* link = w_.find(m_, effect.link)) link->paused = true;
  }
  void carry_out(const core::ResumeLink& effect) override {
    if (LinkSide* link = w_.find(m_, effect.link)) link->paused = false;
  }
  void carry_out(const core::Answer& effect) override {
    static constexpr std::array<std::string_view, 4> kinds{"served", "refused", "failed", "cancelled"};
    Seen& seen = site_.queries[effect.query];
    const std::string text = "query " + std::to_string(effect.query);
    w_.tells(text + " is answered: " + std::string(kinds[static_cast<std::size_t>(effect.kind)]));
    if (seen.answered) w_.breach(Promise::one_answer, text + " is answered twice");
    seen.answered = true;
    if (effect.kind == core::AnswerKind::served) {
      const LinkSide* link = w_.find(m_, seen.rows_of);
      if (link == nullptr || link->parts + link->big_parts + 1 != seen.rows)
        w_.breach(Promise::whole_answer, text + " is called served, and rows are missing");
    }
    Client& client = site_.clients[seen.client];
    if (client.query == effect.query) client.query = 0;
    if (client.untaken == 0) client.reads = true;  // it has all: how it reads is the next query's matter
    if (effect.kind == core::AnswerKind::cancelled && client.here && client.cancel_of != effect.query)
      w_.breach(Promise::own_cancel, text + " is cancelled, and its client asked for another's cancel");
    // As the service does: what was pipelined is taken, then the answer is written, which shows a broken
    // client.
    if (w_.scope_->pipelined && client.here && client.query == 0 &&
        w_.id_of(m_, seen.client, client.asked) != 0 && client.untaken <= w_.scope_->core.client_window)
      w_.ask(m_, seen.client);
    if (client.broken && client.here) {
      client.here = false;
      client.untaken = 0;
      client.query = 0;
      w_.tell(m_, core::SessionClosed{session_of(site_, seen.client)});
    }
    // Its time was up while a further attempt's link was opening.
    const bool connecting = effect.attempts.size() > 1 && effect.attempts.size() > seen.attempts &&
                            effect.attempts.back().result.value_or(Result::moot) == Result::moot;
    if (effect.time_up && connecting) w_.mark(Case::deadline_between_resend_and_connect);
  }
  void carry_out(const core::Remark& effect) override { w_.tells("remark: " + effect.text); }
  void carry_out(const core::Left&) override { w_.tells("the manager has left"); }
  void broken(const Breach& breach) override { w_.breaches_.push_back(breach); }

  void end_out(QueryId query) {
    const auto seen = site_.queries.find(query);
    if (seen != site_.queries.end() && seen->second.out > 0) --seen->second.out;
  }

 private:
  World& w_;
  std::uint32_t m_;
  Site& site_;
};

World::World(std::shared_ptr<const Scope> scope) : scope_(std::move(scope)), now_(beginning) {
  faults_left_ = scope_->faults;
  engines_.resize(scope_->engines);
  for (std::uint32_t m = 0; m < scope_->managers; ++m) {
    core::CoreSettings settings = scope_->core;
    settings.module.position = m;
    settings.module.seed += m;
    sites_.push_back({core::Desk(settings, true), std::vector<Client>(scope_->clients), {}, {}, false});
  }
  tell_fleet(FleetScope::full, 0);
  for (std::uint32_t m = 0; m < scope_->managers; ++m)
    for (std::uint32_t c = 0; c < scope_->clients; ++c)
      tell(m, core::SessionOpened{session_of(sites_[m], c)});
}

void World::tell(std::uint32_t manager, core::CoreEvent event) {
  Carrier hands(*this, manager);
  sites_[manager].desk.tell(std::move(event), hands);
}

EngineEntry World::entry_of(EngineId engine) const {
  const EngineSide& side = engines_[engine - 1];
  EngineEntry entry;
  entry.engine = engine;
  entry.state = side.listed;
  entry.zone = (engine - 1) % scope_->zones;
  entry.started = side.started;
  return entry;
}

// A delta about one engine, or the whole list of those that are not gone.
void World::tell_fleet(FleetScope scope, EngineId engine) {
  core::FleetTold told;
  told.scope = scope;
  for (EngineId id = 1; id <= scope_->engines; ++id) {
    const EngineEntry entry = entry_of(id);
    const bool named = scope == FleetScope::delta ? id == engine : entry.state != EngineState::gone;
    if (named && scope != FleetScope::failed) told.engines.push_back(entry);
  }
  for (std::uint32_t m = 0; m < scope_->managers; ++m) tell(m, told);
}

Slot World::slot_of(std::uint32_t manager, std::uint32_t client, std::uint32_t nth) const {
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
  if (slot.cls == Class::in_turn || slot.cls == Class::keyed) slot.key = 1 + (mixed >> 8U) % 6;
  return slot;
}

QueryId World::id_of(std::uint32_t, std::uint32_t client, std::uint32_t nth) const {
  if (scope_->endless) return std::uint64_t{nth} * 256 + client + 1;
  for (std::size_t i = 0; i < scope_->slots.size(); ++i)
    if (scope_->slots[i].client == client && nth-- == 0) return i + 1;
  return 0;
}

// A seat that is taken anew has another id: none is used twice.
core::SessionId World::session_of(const Site& site, std::uint32_t client) {
  return std::uint64_t{site.clients[client].seat} * most_clients + client + 1;
}

std::size_t World::client_of(core::SessionId session) {
  return static_cast<std::size_t>((session - 1) % most_clients);
}

World::LinkSide* World::find(std::uint32_t manager, LinkId id) {
  for (LinkSide& link : sites_[manager].links)
    if (link.id == id) return &link;
  return nullptr;
}

const World::LinkSide* World::find(std::uint32_t manager, LinkId id) const {
  return const_cast<World*>(this)->find(manager, id);
}

void World::tells(std::string line) {
  if (keeps_story_) story_.push_back(std::move(line));
}

// ---- What may happen ----

void World::moves_of_clients(std::uint8_t m, std::vector<Move>& out) const {
  const Site& site = sites_[m];
  for (std::uint32_t c = 0; c < site.clients.size(); ++c) {
    const Client& client = site.clients[c];
    if (!client.here) {
      // In the endless scope another one takes the seat.
      if (scope_->endless) out.push_back({Act::read_on, m, c});
      continue;
    }
    if (client.query == 0 && client.untaken == 0 && id_of(m, c, client.asked) != 0) {
      // Of requests that are alike, and whose clients are, the first is asked first.
      bool first = true;
      for (std::uint32_t before = 0; before < c && !scope_->endless; ++before) {
        const Slot mine = slot_of(m, c, client.asked), other = slot_of(m, before, 0);
        const bool alike = client.asked == 0 && mine.cls == other.cls && mine.key == other.key;
        if (alike && site.clients[before].asked == 0) first = false;
      }
      if (first) out.push_back({Act::ask, m, c});
    }
    const bool more = id_of(m, c, client.asked) != 0;
    if (client.query != 0 || (client.asked > 0 && more)) out.push_back({Act::cancel, m, c});
    if (client.query != 0 || client.untaken > 0) out.push_back({Act::leave_client, m, c});
    if (client.reads && client.query != 0) out.push_back({Act::stop_reading, m, c});
    if (scope_->pipelined && !client.broken && client.query != 0) out.push_back({Act::break_client, m, c});
    if (!client.reads && client.untaken > 0) out.push_back({Act::read_on, m, c});
  }
}

void World::moves_of_links(std::uint8_t m, std::vector<Move>& out) const {
  for (const LinkSide& link : sites_[m].links) {
    const auto id = static_cast<std::uint32_t>(link.id);
    const auto add = [&](Act act) { out.push_back({act, m, id}); };
    const EngineSide& engine = engines_[link.engine - 1];
    const bool alive = link.process == engine.process && engine.listed != EngineState::gone;
    if (link.closed) {
      add(Act::late_end);
      if (link.notes == 0) add(Act::late_note);
      continue;
    }
    if (!link.up) {
      if (alive) add(Act::link_up);
      add(Act::refused);
      add(Act::no_descriptor);
      continue;
    }
    if (link.paused) continue;  // nothing of it is read
    if (link.flight == Flight::half && alive && !engine.deaf) add(Act::written);
    add(Act::lost);
    if (link.cancel) add(Act::strike);
    if (link.flight != Flight::whole || !alive) continue;
    if (link.probe) {
      add(Act::complete);
      add(Act::failed);
      continue;
    }
    if (link.parts == 0 && link.big_parts == 0) add(Act::part);
    if (link.parts == 0 && link.big_parts < scope_->big_parts) {
      add(Act::big_part);
      add(Act::part_and_end);
    }
    if (link.parts == 0 && link.big_parts == 0) add(Act::full);
    add(Act::complete);
    add(Act::complete_unclean);
    add(Act::failed);
    add(Act::broken);
    if (link.notes == 0) add(Act::note);
  }
}

std::optional<TimePoint> World::due() const {
  std::optional<TimePoint> first;
  for (const Site& site : sites_) {
    const auto due = site.desk.due();
    if (due && (!first || *due < *first)) first = due;
  }
  return first;
}

// Nothing is held: time would only pass.
bool World::quiet() const {
  if (scope_->endless) return false;
  for (const Site& site : sites_) {
    const core::Counts counts = site.desk.counts();
    if (counts.queries_open > 0 || counts.links > 0 || counts.attempts_out > 0) return false;
  }
  return true;
}

void World::moves_of_time(std::vector<Move>& out) {
  if (quiet()) return;
  const auto next = due();
  if (!next) return;
  if (*next > now_ + near) {
    out.push_back({Act::wait});
  } else if (*next > now_) {
    out.push_back({Act::reach});
  } else {
    out.push_back({Act::fire});
    if (!was_late_) out.push_back({Act::late});
  }
}

std::vector<Move> World::moves() {
  std::vector<Move> out;
  for (std::uint8_t m = 0; m < sites_.size(); ++m) {
    moves_of_clients(m, out);
    moves_of_links(m, out);
  }
  for (EngineId id = 1; id <= engines_.size(); ++id) {
    const EngineSide& engine = engines_[id - 1];
    const bool fresh = scope_->endless || !engine.changed;
    // It matters to what is about to be sent there.
    const bool awaited = std::any_of(sites_.begin(), sites_.end(), [id](const Site& site) {
      return std::any_of(site.links.begin(), site.links.end(), [id](const LinkSide& link) {
        return link.engine == id && !link.closed && link.flight == Flight::nothing;
      });
    });
    if (!engine.deaf && awaited) out.push_back({Act::deaf, 0, id});
    if (engine.deaf) out.push_back({Act::hears, 0, id});
    if (engine.listed == EngineState::ready && fresh) out.push_back({Act::drain, 0, id});
    if (engine.listed == EngineState::draining || (engine.listed == EngineState::ready && fresh))
      out.push_back({Act::gone, 0, id});
    if (engine.listed != EngineState::ready) out.push_back({Act::back, 0, id});
    if (engine.listed == EngineState::ready && fresh) out.push_back({Act::restart, 0, id});
  }
  if (!list_failed_) out.push_back({Act::list_failed});
  if (!sites_[0].leaving && !scope_->endless) out.push_back({Act::shutdown});
  moves_of_time(out);
  if (faults_left_ == 0) {
    std::erase_if(out, [this](const Move& move) {
      if (!is_fault(move.act)) return false;
      // The end of a link whose engine's process ended is no further fault.
      if (move.act != Act::lost) return true;
      const LinkSide* link = find(move.manager, move.subject);
      return link->process == engines_[link->engine - 1].process;
    });
  }
  return out;
}

bool World::allowed(const Move& move) {
  const std::vector<Move> all = moves();
  return std::find(all.begin(), all.end(), move) != all.end();
}

std::optional<Move> World::calm_move() {
  bool held = false;
  for (std::uint8_t m = 0; m < sites_.size(); ++m) {
    const core::Counts counts = sites_[m].desk.counts();
    held = held || counts.queries_open + counts.attempts_out > 0 || counts.links > counts.links_probing;
    for (std::uint32_t c = 0; c < sites_[m].clients.size(); ++c)
      if (sites_[m].clients[c].here && !sites_[m].clients[c].reads) return Move{Act::read_on, m, c};
  }
  if (!held) return std::nullopt;
  std::vector<Move> time;
  moves_of_time(time);
  if (time.empty()) return std::nullopt;
  return time.front();
}

std::optional<Breach> World::left_over() {
  const auto left = [](std::string what) { return Breach{Promise::all_ends, std::move(what)}; };
  for (Site& site : sites_) {
    const core::Counts counts = site.desk.counts();
    if (counts.queries_open > 0) return left("a query is left, and nothing falls due");
    if (counts.attempts_out > 0) return left("an attempt is left, and nothing falls due");
    if (counts.links > counts.links_probing) return left("a link is left, and nothing falls due");
    if (counts.bytes_buffered > 0) return left("bytes are left in a buffer");
    for (const LinkSide& link : site.links)
      if (!link.closed && !link.probe)
        return left("link " + std::to_string(link.id) + " is open at the host, and nobody's");
    RequestCounter counter;
    site.desk.conductor().visit(counter);
    if (counter.requests() > 0) return left("the module still knows of a request");
    if (counts.own_timers > counts.links_probing + (site.leaving ? 1U : 0U)) return left("a timer is left");
  }
  return std::nullopt;
}

// ---- What happens ----

void World::let_time_pass(TimePoint to) {
  for (Site& site : sites_) {
    if (site.desk.promises() && site.desk.promises()->rest_ends_while_out(now_, to))
      mark(Case::rest_over_while_out);
    // What crossed with a close does so at once.
    std::erase_if(site.links, [](const LinkSide& link) { return link.closed; });
    std::erase_if(site.queries, [](const auto& one) { return one.second.answered && one.second.out == 0; });
  }
  now_ = to;
}

// Passes over what falls due without any effect, up to just before what has one.
void World::wait() {
  if (scope_->endless) return let_time_pass(std::max(now_, *due() - just_before));
  int ticks = 0;
  core::Desk ahead = sites_[0].desk;
  for (; ticks < most_quiet_ticks; ++ticks) {
    Witness witness(*ahead.due());
    ahead.tell(core::TimeCame{}, witness);
    if (witness.anything) break;
  }
  for (int i = 0; i < ticks; ++i) {
    let_time_pass(*sites_[0].desk.due());
    tell(0, core::TimeCame{});
  }
  let_time_pass(std::max(now_, *sites_[0].desk.due() - just_before));
}

void World::ask(std::uint32_t m, std::uint32_t c) {
  Site& site = sites_[m];
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
  event.order_key = slot.key;
  event.patience = scope_->core.module.classes[event.class_index].deadline;
  event.told_cost = 20ms;
  tell(m, event);
  if (std::exchange(client.cancel_kept, false)) tell(m, core::CancelAsked{session_of(site, c)});
}

void World::end_answer(std::uint32_t m, LinkSide& link, core::Ending ending, bool reusable) {
  const LinkId id = link.id;
  if (!link.probe) {
    link.kept.push_back({link.query, id, static_cast<std::uint8_t>(link.parts + link.big_parts)});
    if (ending == core::Ending::full)
      sites_[m].queries[link.query].full_of |= static_cast<std::uint16_t>(1U << link.engine);
    Carrier(*this, m).end_out(link.query);
    const Seen& seen = sites_[m].queries[link.query];
    bool everywhere = true;
    for (EngineId e = 1; e <= engines_.size(); ++e) everywhere = everywhere && (seen.full_of >> e & 1U) != 0;
    if (everywhere) mark(Case::full_everywhere);
    if (link.cancel) mark(Case::answer_at_a_cancelled_link);
    const auto next = due();
    if (next && *next == now_) mark(Case::answer_then_time_out);
  }
  link.flight = Flight::nothing;
  core::AnswerEnd event;
  event.link = id;
  event.ending = ending;
  event.bytes = link.probe ? 0 : last_part;
  event.reusable = reusable;
  if (ending == core::Ending::complete && !link.probe) event.work = 20ms;
  tell(m, event);
}

void World::invariants() {
  for (Site& site : sites_) {
    try {
      site.desk.conductor().check();
    } catch (const std::logic_error& error) { breach(Promise::no_contradiction, error.what()); }
  }
}

std::vector<Breach> World::make(const Move& move) {
  breaches_.clear();
  cases_.reset();
  story_.clear();
  const std::uint32_t m = move.manager, subject = move.subject;
  Site& site = sites_[m];
  LinkSide* link = move.act >= Act::link_up && move.act <= Act::late_note ? find(m, subject) : nullptr;
  if (is_fault(move.act) && faults_left_ != ~0U && faults_left_ > 0) {
    const bool dead = link != nullptr && link->process != engines_[link->engine - 1].process;
    if (!(move.act == Act::lost && dead)) --faults_left_;
  }
  try {
    switch (move.act) {
      case Act::ask: ask(m, subject); break;
      case Act::cancel: {
        Client& client = site.clients[subject];
        client.cancel_of = client.query;
        if (client.query == 0 && seeded(Defect::cancel_kept_for_the_next)) client.cancel_kept = true;
        tell(m, core::CancelAsked{session_of(site, subject)});
        break;
      }
      case Act::leave_client: {
        Client& client = site.clients[subject];
        if (client.query != 0) {
          const Seen& seen = site.queries[client.query];
          if (seen.attempts > 0 && seen.out == 0) mark(Case::client_gone_between_attempts);
        }
        client.here = false;
        client.query = 0;
        client.untaken = 0;
        client.broken = false;
        tell(m, core::SessionClosed{session_of(site, subject)});
        break;
      }
      case Act::break_client: site.clients[subject].broken = true; break;
      case Act::stop_reading: site.clients[subject].reads = false; break;
      case Act::read_on: {
        Client& client = site.clients[subject];
        client.reads = true;
        if (!client.here) {
          client.here = true;
          ++client.seat;
          tell(m, core::SessionOpened{session_of(site, subject)});
        } else if (client.untaken > 0) {
          tell(m, core::ClientTook{session_of(site, subject), std::exchange(client.untaken, 0)});
        }
        break;
      }
      case Act::link_up:
        link->up = true;
        tell(m, core::LinkUp{link->id});
        break;
      case Act::refused: tell(m, core::LinkLost{link->id, core::LinkLoss::refused}); break;
      case Act::no_descriptor: tell(m, core::LinkLost{link->id, core::LinkLoss::local}); break;
      case Act::lost:
      case Act::broken: {
        const bool carried = link->flight != Flight::nothing && !link->probe;
        const QueryId query = link->query;
        if (carried) Carrier(*this, m).end_out(query);
        if (carried) site.queries[query].reset = true;
        link->flight = Flight::nothing;
        const auto why = move.act == Act::lost ? core::LinkLoss::closed : core::LinkLoss::broken_protocol;
        tell(m, core::LinkLost{link->id, why});
        break;
      }
      case Act::written:
        link->flight = Flight::whole;
        tell(m, core::QuerySent{link->id});
        break;
      case Act::part:
      case Act::big_part: {
        const auto number = static_cast<std::uint8_t>(link->parts + link->big_parts);
        link->kept.push_back({link->query, link->id, number});
        ++(move.act == Act::part ? link->parts : link->big_parts);
        tell(m, core::AnswerPart{link->id, move.act == Act::part ? small_part : big_part});
        break;
      }
      case Act::part_and_end: {
        const QueryId query = link->query;
        link->kept.push_back({query, link->id, static_cast<std::uint8_t>(link->parts + link->big_parts)});
        ++link->big_parts;
        tell(m, core::AnswerPart{link->id, big_part});
        link = find(m, subject);
        if (link != nullptr && link->flight == Flight::whole && link->query == query)
          end_answer(m, *link, core::Ending::complete, true);
        break;
      }
      case Act::complete: end_answer(m, *link, core::Ending::complete, true); break;
      case Act::complete_unclean: end_answer(m, *link, core::Ending::complete, false); break;
      case Act::failed: end_answer(m, *link, core::Ending::engine_error, true); break;
      case Act::full: end_answer(m, *link, core::Ending::full, true); break;
      case Act::note:
        link->notes = 1;
        tell(m, core::EngineNote{link->id, NoteKind::progress, 0.5});
        break;
      case Act::strike: {
        const QueryId target = *link->cancel;
        link->cancel.reset();
        if (link->flight != Flight::whole) break;
        if (link->query != target)
          breach(Promise::own_cancel, "a cancel for query " + std::to_string(target) + " strikes query " +
                                          std::to_string(link->query));
        end_answer(m, *link, core::Ending::cancelled, true);
        break;
      }
      case Act::late_end: {
        const LinkSide ghost = *link;
        std::erase_if(site.links, [&](const LinkSide& one) { return one.id == ghost.id; });
        const auto seen = site.queries.find(ghost.query);
        if (seen != site.queries.end() && seen->second.out > 0) mark(Case::late_answer_after_resend);
        if (ghost.closed_at == now_) mark(Case::time_out_then_answer);
        tell(m, core::AnswerEnd{ghost.id, core::Ending::complete, last_part, true, {}, {}, {}});
        break;
      }
      case Act::late_note:
        link->notes = 1;
        mark(Case::note_of_ended_attempt);
        tell(m, core::EngineNote{link->id, NoteKind::progress, 0.5});
        break;
      case Act::deaf: engines_[subject - 1].deaf = true; break;
      case Act::hears: engines_[subject - 1].deaf = false; break;
      case Act::drain:
      case Act::gone: {
        EngineSide& engine = engines_[subject - 1];
        for (const Site& one : sites_) {
          for (const LinkSide& l : one.links) {
            if (l.engine != subject || l.closed || l.probe) continue;
            if (l.cancel) mark(Case::cancel_and_drain);
            if (!l.up || l.flight == Flight::half) mark(Case::drain_and_send);
          }
        }
        if (engine.listed == EngineState::ready) engine.not_ready_since = now_;
        engine.changed = true;
        engine.listed = move.act == Act::drain ? EngineState::draining : EngineState::gone;
        tell_fleet(move.act == Act::drain ? FleetScope::delta : FleetScope::full, subject);
        break;
      }
      case Act::restart:
      case Act::back: {
        EngineSide& engine = engines_[subject - 1];
        engine.changed = true;
        if (move.act == Act::back && now_ - engine.not_ready_since < scope_->core.module.drain_grace)
          mark(Case::removed_and_back_within_grace);
        engine.listed = EngineState::ready;
        engine.started = now_;
        engine.deaf = false;
        ++engine.process;
        tell_fleet(FleetScope::delta, subject);
        break;
      }
      case Act::list_failed:
        list_failed_ = !scope_->endless;
        tell_fleet(FleetScope::failed, 0);
        break;
      case Act::wait: wait(); break;
      case Act::reach: let_time_pass(*due()); break;
      case Act::late:
        let_time_pass(now_ + lateness);
        was_late_ = true;
        break;
      case Act::fire:
        if (scope_->endless) was_late_ = false;
        for (std::uint32_t one = 0; one < sites_.size(); ++one) {
          const auto at = sites_[one].desk.due();
          if (at && *at <= now_) tell(one, core::TimeCame{});
        }
        break;
      case Act::shutdown: {
        const core::Counts counts = site.desk.counts();
        if (counts.queries_open > 1 && counts.attempts_out > 0) mark(Case::shutdown_in_flight);
        site.leaving = true;
        tell(m, core::Leave{leave_grace});
        break;
      }
      case Act::count: break;
    }
  } catch (const std::exception& error) {
    breach(Promise::no_contradiction, error.what());
    return breaches_;
  }
  invariants();
  return breaches_;
}

// ---- State ----

std::uint64_t World::digest(std::span<const std::uint8_t> names) {
  Digest out(names);
  for (Site& site : sites_) {
    out.lag(static_cast<double>((now_ - site.desk.conductor().now()).count()) * 1e-9);
    site.desk.visit(out);
    out.lag(0);
    const core::Walk w(out, now_);
    w.list(site.clients, [&](Client& c) {
      w.wholes(c.here, c.reads, c.broken, c.asked, c.untaken, c.query, c.cancel_kept, c.cancel_of == c.query);
    });
    w.table(site.queries, [&](QueryId id, Seen& seen) {
      w.name(core::Name::query, id);
      w.wholes(seen.client, seen.answered, seen.out, seen.rows, seen.rows_of != 0);
      if (seen.rows_of != 0) w.name(core::Name::link, seen.rows_of);
    });
    w.set(site.links, [&](LinkSide& l) {
      w.name(core::Name::link, l.id);
      w.name(core::Name::engine, l.engine);
      w.wholes(l.process == engines_[l.engine - 1].process, l.probe, l.up, l.paused, l.closed, l.flight);
      w.wholes(l.parts, l.big_parts, l.notes, l.cancel.has_value());
      if (l.flight != Flight::nothing) w.name(core::Name::query, l.query);
      if (l.cancel) w.name(core::Name::query, *l.cancel);
      w.list(l.kept, [&](Row& row) { w.wholes(row.query, row.number, row.link == l.id); });
    });
    w.wholes(site.leaving);
  }
  const core::Walk w(out, now_);
  w.set(engines_, [&](EngineSide& e) {
    w.name(core::Name::engine, static_cast<std::uint64_t>(&e - engines_.data()) + 1);
    w.wholes(e.listed, e.deaf, e.changed);
    w.since(e.started);
    if (e.listed != EngineState::ready) w.since(e.not_ready_since);
  });
  w.wholes(faults_left_, list_failed_, was_late_);
  return out.value();
}

std::uint64_t World::digest() {
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

std::string World::describe(const Move& move) const {
  std::ostringstream out;
  out << seconds_text(now_) << "  ";
  if (sites_.size() > 1 && move.act < Act::deaf) out << "manager " << int{move.manager} << ": ";
  const LinkSide* link =
      move.act >= Act::link_up && move.act <= Act::late_note ? find(move.manager, move.subject) : nullptr;
  if (link != nullptr) {
    out << "link " << link->id << " (engine " << link->engine;
    if (link->flight != Flight::nothing && !link->probe) out << ", query " << link->query;
    if (link->probe) out << ", probe";
    out << "): ";
  }
  switch (move.act) {
    case Act::ask: {
      static constexpr std::array<std::string_view, 5> names{"safe", "keyed", "unsafe", "in turn", "bound"};
      const Client& client = sites_[move.manager].clients[move.subject];
      const Slot slot = slot_of(move.manager, move.subject, client.asked);
      out << "client " << move.subject << " asks query " << id_of(move.manager, move.subject, client.asked)
          << ", " << names[static_cast<std::size_t>(slot.cls)];
      if (slot.key != 0) out << ", key " << slot.key;
      break;
    }
    case Act::cancel: out << "client " << move.subject << " asks for a cancel"; break;
    case Act::leave_client: out << "client " << move.subject << " is gone"; break;
    case Act::break_client: out << "client " << move.subject << " is gone, and nobody has seen it yet"; break;
    case Act::stop_reading: out << "client " << move.subject << " reads no more"; break;
    case Act::read_on: out << "client " << move.subject << " reads on"; break;
    case Act::link_up: out << "is up"; break;
    case Act::refused: out << "is refused"; break;
    case Act::no_descriptor: out << "finds no descriptor free"; break;
    case Act::lost: out << "is lost"; break;
    case Act::broken: out << "brings what is not the protocol"; break;
    case Act::written: out << "the rest of the query is written"; break;
    case Act::part: out << "part of an answer"; break;
    case Act::big_part: out << "a large part of an answer"; break;
    case Act::part_and_end: out << "a large part of an answer, and its end in the same read"; break;
    case Act::complete: out << "the answer is whole"; break;
    case Act::complete_unclean: out << "the answer is whole, and the engine holds state"; break;
    case Act::failed: out << "the engine fails"; break;
    case Act::full: out << "the engine is full"; break;
    case Act::note: out << "a note of progress"; break;
    case Act::strike: out << "a cancel strikes"; break;
    case Act::late_end: out << "an answer that crossed with its close"; break;
    case Act::late_note: out << "a note that crossed with its close"; break;
    case Act::deaf: out << "engine " << move.subject << " reads nothing"; break;
    case Act::hears: out << "engine " << move.subject << " reads again"; break;
    case Act::drain: out << "told that engine " << move.subject << " drains"; break;
    case Act::gone: out << "told that engine " << move.subject << " is gone"; break;
    case Act::restart: out << "told that engine " << move.subject << " has started anew"; break;
    case Act::back: out << "told that engine " << move.subject << " is back, cold"; break;
    case Act::list_failed: out << "told that there is no list"; break;
    case Act::wait: out << "time passes, to just before something falls due"; break;
    case Act::reach: out << "time passes, to the moment itself"; break;
    case Act::late: out << "the timer comes late"; break;
    case Act::fire: out << "what is due falls"; break;
    case Act::shutdown: out << "the manager is told to leave"; break;
    case Act::count: break;
  }
  return out.str();
}

}  // namespace paddlestand::explore
