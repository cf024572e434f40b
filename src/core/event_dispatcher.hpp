// Takes events one after another and has what follows from each carried out before the next is taken. What is
// told meanwhile waits its turn, except for one thing: whether a query's last byte was handed over is known
// to the conductor before anything else is, or an attempt that may run would pass for one that never did.
//
// No I/O, no clock: `Hands` are the host's. Not thread-safe.
#pragma once

#include <deque>
#include <optional>

#include "conductor.hpp"
#include "promises.hpp"

namespace paddlestand::core {

enum class Written : std::uint8_t {
  whole,  // the socket took the last byte
  partly,  // QuerySent or LinkLost is told later
  failed,  // nothing, or not all, was handed over, and the link is gone
  withheld,  // nothing was handed over, and nothing may be: no fault of the link
};

// A host's. All but `carry_out` may be left as they are. It may call Desk::tell while it carries out.
class Hands {
 public:
  virtual ~Hands() = default;
  [[nodiscard]] virtual TimePoint now() = 0;
  virtual void taking(const CoreEvent&) {}  // just before the conductor gets it
  virtual Written send(const SendQuery& effect) = 0;
  virtual Written send(const SendProbe& effect) = 0;
  virtual void carry_out(const OpenLink& effect) = 0;
  virtual void carry_out(const CancelOnEngine& effect) = 0;
  virtual void carry_out(const ChangeTerms& effect) = 0;
  virtual void carry_out(const CloseLink& effect) = 0;
  virtual void carry_out(const Deliver& effect) = 0;
  virtual void carry_out(const Discard& effect) = 0;
  virtual void carry_out(const PauseLink& effect) = 0;
  virtual void carry_out(const ResumeLink& effect) = 0;
  virtual void carry_out(const Answer& effect) = 0;
  virtual void carry_out(const Remark& effect) = 0;
  virtual void carry_out(const Left& effect) = 0;
  virtual void broken(const Breach& breach) = 0;  // the manager broke a promise of its own

 protected:
  Hands() = default;
  Hands(const Hands&) = default;
  Hands& operator=(const Hands&) = default;
};

class Desk {
 public:
  // `watch`: what is told and done is held against the promises (docs/promises.md).
  Desk(CoreSettings settings, bool watch);

  // Takes an event now, or after those that wait.
  void tell(CoreEvent event, Hands& hands);
  // Whether an event is being taken, so that a further one would wait.
  [[nodiscard]] bool taking() const { return taking_; }
  // From here on nothing is taken any more.
  void stop() { stopped_ = true; }

  [[nodiscard]] std::optional<TimePoint> due() const { return conductor_.due(); }
  [[nodiscard]] Counts counts() const { return conductor_.counts(); }
  [[nodiscard]] const Conductor& conductor() const { return conductor_; }
  [[nodiscard]] Conductor& conductor() { return conductor_; }
  [[nodiscard]] const std::optional<Promises>& promises() const { return promises_; }
  void visit(StateVisitor& visitor);

 private:
  void take(const CoreEvent& event, Hands& hands);
  void sent(LinkId link, Written how, Hands& hands);
  void report(Hands& hands);

  Conductor conductor_;
  std::optional<Promises> promises_;
  std::vector<Effect> effects_;  // of the present turn; kept for its room
  std::deque<CoreEvent> told_;  // bounded by what one event can cause: a few for each of its effects
  bool taking_ = false, stopped_ = false;
};

}  // namespace paddlestand::core
