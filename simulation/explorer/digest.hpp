/// Digests a state, so that two states that can only continue in the same way are equal: times relative to
/// now, engines under a permutation, channels by their properties instead of by number, tables without order.
#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::explorer {

/// Visits a state and hashes its fields. One object for each digest.
class Digest final : public StateVisitor {
 public:
  /// `engine_names`: what each engine is called, by its id; ids beyond keep theirs. Must outlive this object.
  explicit Digest(std::span<const std::uint8_t> engine_names) : engine_names_(engine_names) {
    frames_.push_back({});
  }

  void clock(double& now) override { now_ = now; }
  void behind(double seconds) override { behind_ = seconds; }
  /// Seconds that passed since the visited part last learned the time.
  void set_lag(double seconds) { lag_ = seconds; }
  void number(double& value) override;
  void integer(std::uint64_t& value) override { put(value); }
  void since(double& time) override;
  void until(double& time) override;
  // Histories are shorter than the counting windows: only that an event is counted matters, not when.
  void counted(double&) override {}
  void name(Name kind, std::uint64_t& id) override;
  // Random numbers only break ties between equal engines; docs/architecture/exploration.md says what that
  // loses.
  void generator(std::mt19937_64&) override {}
  std::size_t table(std::size_t entries, bool in_order) override;
  void entry() override;
  void end() override;

  [[nodiscard]] std::uint64_t value() const;

 private:
  struct Frame {
    std::size_t start = 0;  // of its current entry
    std::uint64_t sum = 0;
    std::uint64_t defines = 0;  // the channel that this entry describes, or zero
    bool in_order = true;
    bool has_entry = false;
  };

  void put(std::uint64_t value) { words_.push_back(value); }
  void close_entry(Frame& frame);

  std::span<const std::uint8_t> engine_names_;
  double now_ = 0;
  double behind_ = 0;
  double lag_ = 0;
  std::vector<std::uint64_t> words_;
  std::vector<Frame> frames_;
  std::unordered_map<std::uint64_t, std::uint64_t> channels_;  // the hash of each, once known
};

/// Counts the requests that a module still knows of.
class RequestCounter final : public StateVisitor {
 public:
  void clock(double&) override {}
  void number(double&) override {}
  void integer(std::uint64_t&) override {}
  void since(double&) override {}
  void until(double&) override {}
  void counted(double&) override {}
  void name(Name kind, std::uint64_t&) override { requests_ += kind == Name::request ? 1 : 0; }
  void generator(std::mt19937_64&) override {}
  std::size_t table(std::size_t entries, bool) override { return entries; }
  void entry() override {}
  void end() override {}
  [[nodiscard]] std::size_t requests() const { return requests_; }

 private:
  std::size_t requests_ = 0;
};

}  // namespace paddlestand::explorer
