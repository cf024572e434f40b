// What the fuzz targets share.
#pragma once

#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <string_view>

namespace paddlestand::fuzz {

[[noreturn]] inline void fail(const char* what) {
  std::fprintf(stderr, "fuzz: %s\n", what);
  std::abort();
}

inline std::string_view text_of(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

// For readers that take a path. One file for each process, written anew each time.
inline std::string as_file(std::string_view text) {
  static const std::string path = [] {
    const char* folder = std::getenv("TMPDIR");
    return std::string(folder != nullptr ? folder : "/tmp") + "/paddlestand-fuzz-" + std::to_string(getpid());
  }();
  std::ofstream(path, std::ios::binary | std::ios::trunc) << text;
  return path;
}

// Cuts what comes into pieces: lengths follow from the seed, and are often 1.
class Pieces {
 public:
  Pieces(std::string_view bytes, std::uint32_t seed) : left_(bytes), state_(seed * 2654435761U + 1) {}
  [[nodiscard]] bool more() const { return !left_.empty(); }
  std::string_view next() {
    state_ = state_ * 1664525U + 1013904223U;
    const std::size_t size = std::size_t{1} << ((state_ >> 24U) % 8U);
    const std::string_view piece = left_.substr(0, size);
    left_.remove_prefix(piece.size());
    return piece;
  }

 private:
  std::string_view left_;
  std::uint32_t state_;
};

}  // namespace paddlestand::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);
