/// Digest of a state. States with the same possible continuations have the same digest: times are relative to
/// now, engines are permuted, channels are identified by their properties instead of their numbers, and
/// unordered tables are hashed independently of order.
#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::explorer {

/// Visits a state and hashes its fields. Used for one digest.
class Digest final : public StateVisitor {
 public:
  /// `engine_names`: the name to hash for each engine, by id; ids beyond its size are hashed as they are.
  /// Must outlive this object.
  explicit Digest(std::span<const std::uint8_t> engine_names) : engine_names_(engine_names) {
    frames_.push_back({});
  }

  void clock(double& now) override { now_ = now; }
  void behind(double seconds) override { behind_ = seconds; }
  /// Seconds since the visited part's clock was last updated.
  void set_lag(double seconds) { lag_ = seconds; }
  void number(double& value) override;
  void integer(std::uint64_t& value) override { put(value); }
  void since(double& time) override;
  void until(double& time) override;
  // Histories are shorter than the counting windows, so the time at which an event was counted has no
  // effect.
  void counted(double&) override {}
  void name(Name kind, std::uint64_t& id) override;
  // Random numbers only break ties between equal engines; docs/architecture/exploration.md describes what
  // ignoring them misses.
  void generator(std::mt19937_64&) override {}
  std::size_t table(std::size_t entries, bool in_order) override;
  void entry() override;
  void end() override;

  [[nodiscard]] std::uint64_t value() const;

 private:
  struct Frame {
    std::size_t start = 0;  // of the current entry in `words_`
    std::uint64_t sum = 0;
    std::uint64_t defined_channel = 0;  // the channel that the entry describes, or zero
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
  std::unordered_map<std::uint64_t, std::uint64_t> channels_;  // hashes by id, once computed
};

/// Counts the requests that the decision module still tracks.
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
