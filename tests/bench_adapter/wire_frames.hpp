/// Builds batch frames for the bench adapter and reads its replies. The wire's numbers are literals here, so
/// that the tests don't share an error with the adapter.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <cstring>
#include <string_view>
#include <vector>

#include "wire_host.hpp"

namespace paddlestand::bench_adapter::test {

/// Settings of an instance, as the simulator sends them.
inline constexpr std::string_view settings_text =
    "balancers=1\ngranularity_ns=5000000\nclasses.count=1\nclasses.0.aim_ns=1000000000\n"
    "classes.0.deadline_ns=5000000000\nclasses.0.gain=1.0\nclasses.0.repeat=pure\nclasses.0.key_scope=all\n"
    "family_info.class_threads=1\nfamily_info.kind_cores=8\nfamily_info.size_mb=16384.0\n"
    "permissions.max_attempts=3\npermissions.cancel=true\nreport.names=utilization\nnews.to_come=1\n";

/// A batch frame under construction: little-endian numbers, one record after another.
class Frame {
 public:
  template <typename T>
  Frame& put(T value) {
    const auto position = bytes_.size();
    bytes_.resize(position + sizeof(T));
    std::memcpy(bytes_.data() + position, &value, sizeof(T));
    return *this;
  }
  /// Appends a text, preceded by its length.
  Frame& text(std::string_view value) {
    put(static_cast<std::uint32_t>(value.size()));
    bytes_.insert(bytes_.end(), value.begin(), value.end());
    return *this;
  }
  /// Starts a record with its code.
  Frame& record(std::uint8_t code) {
    ++records_;
    return put(code);
  }
  /// Returns the complete frame. `clock` is the simulation's time in nanoseconds.
  [[nodiscard]] std::vector<std::uint8_t> bytes(std::uint64_t clock = 1'000'000'000,
                                                std::uint32_t number = 5) const {
    Frame frame;
    frame.put(static_cast<std::uint32_t>(bytes_.size() + batch_header_bytes))
        .put(records_)
        .put(clock)
        .put(number);
    frame.bytes_.insert(frame.bytes_.end(), bytes_.begin(), bytes_.end());
    return frame.bytes_;
  }

 private:
  std::vector<std::uint8_t> bytes_;
  std::uint32_t records_ = 0;
};

inline Frame& add_instance(Frame& frame, std::uint16_t instance, std::string_view text = settings_text) {
  return frame.record(8).put(instance).put(std::uint64_t{42}).text(text);
}

/// Adds an endpoint list with the number `list`.
inline Frame& add_list(Frame& frame, std::uint32_t list, const std::vector<std::uint32_t>& engines,
                       std::uint8_t state = 1) {
  frame.record(6).put(list).put(static_cast<std::uint32_t>(engines.size()));
  for (const auto id : engines) {
    frame.put(std::uint16_t{0}).put(state).put(std::uint8_t{0}).put(1.0F).put(std::uint16_t{0}).put(id);
    frame.put(std::uint64_t{0});
  }
  return frame;
}

/// Notifies an instance that its endpoints changed to those of the list.
inline Frame& add_list_change(Frame& frame, std::uint16_t instance, std::uint32_t list, std::uint8_t scope) {
  return frame.record(9).put(instance).put(list).put(std::uint64_t{1}).put(scope);
}

inline Frame& add_request(Frame& frame, std::uint16_t instance, std::uint64_t id,
                          std::uint8_t class_index = 0) {
  frame.record(7).put(instance).put(id).put(class_index).put(std::uint16_t{0}).put(std::uint64_t{0});
  return frame.put(std::uint64_t{5'000'000'000})
      .put(std::uint64_t{12'000'000})
      .put(390.0F)
      .put(11.0F)
      .put(std::uint8_t{1});
}

inline Frame& add_abandonment(Frame& frame, std::uint16_t instance, std::uint64_t id) {
  return frame.record(12).put(instance).put(id);
}

/// Returns the engines of the reply's send actions.
inline std::vector<std::uint32_t> engines_of_sends(const std::vector<std::uint8_t>& reply) {
  std::vector<std::uint32_t> engines;
  for (std::size_t position = 8; position < reply.size();) {
    std::uint16_t length = 0;
    switch (reply[position]) {
      case 1: position += 19; break;
      case 2: position += 13; break;
      case 4:
        std::memcpy(&length, reply.data() + position + 7, 2);
        position += 9U + length;
        break;
      case 5: {
        std::uint32_t engine = 0;
        std::memcpy(&engine, reply.data() + position + 19, 4);
        engines.push_back(engine);
        position += 23;
        break;
      }
      case 6: position += 16; break;
      case 7:
      case 10:
        std::memcpy(&length, reply.data() + position + 3, 2);
        position += 5U + length;
        break;
      case 8: position += 7; break;
      case 9: position += 4; break;
      case 12: position += 11; break;
      case 13: position += 15; break;
      default: ADD_FAILURE() << "unknown action " << int{reply[position]}; return engines;
    }
  }
  return engines;
}

}  // namespace paddlestand::bench_adapter::test
