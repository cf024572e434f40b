/// Shared by the fuzz targets: input as text, as a file and in chunks, and checks of the results.
#pragma once

#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <string_view>
#include <variant>

namespace paddlestand::fuzz {

/// Reports a failed check and aborts, which the fuzzer treats as a crash.
[[noreturn]] inline void fail(const char* what) {
  std::fprintf(stderr, "fuzz: %s\n", what);
  std::abort();
}

/// The input as text; refers to `data`.
inline std::string_view text_of(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

/// Writes the input to a file for readers that take a path, and returns the path. Each process has one file,
/// which every call overwrites.
inline std::string as_file(std::string_view text) {
  static const std::string path = [] {
    const char* folder = std::getenv("TMPDIR");
    return std::string(folder != nullptr ? folder : "/tmp") + "/paddlestand-fuzz-" + std::to_string(getpid());
  }();
  std::ofstream(path, std::ios::binary | std::ios::trunc) << text;
  return path;
}

/// Splits the input into chunks, as a socket may deliver it. Their sizes are powers of two up to 128 bytes.
class Chunks {
 public:
  /// One chunk with all bytes, even if there are none.
  static Chunks unsplit(std::string_view bytes) { return {bytes, 0, false}; }
  /// Chunks whose sizes depend on the seed.
  static Chunks split(std::string_view bytes, std::uint32_t seed) {
    return {bytes, seed * seed_multiplier + 1, true};
  }

  [[nodiscard]] bool is_split() const { return is_split_; }
  [[nodiscard]] bool has_next() const { return is_split_ ? !remaining_.empty() : !has_begun_; }
  std::string_view next() {
    has_begun_ = true;
    if (!is_split_) return remaining_;
    random_state_ = random_state_ * generator_multiplier + generator_increment;
    const std::size_t size = std::size_t{1} << ((random_state_ >> 24U) % chunk_sizes);
    const std::string_view chunk = remaining_.substr(0, size);
    remaining_.remove_prefix(chunk.size());
    return chunk;
  }

 private:
  static constexpr std::uint32_t chunk_sizes = 8;
  // A linear congruential generator. The seed is multiplied so that adjacent seeds give distant states.
  static constexpr std::uint32_t seed_multiplier = 2654435761U;
  static constexpr std::uint32_t generator_multiplier = 1664525U;
  static constexpr std::uint32_t generator_increment = 1013904223U;

  Chunks(std::string_view bytes, std::uint32_t random_state, bool is_split)
      : remaining_(bytes), random_state_(random_state), is_split_(is_split) {}

  std::string_view remaining_;
  std::uint32_t random_state_;
  bool is_split_;
  bool has_begun_ = false;
};

/// Calls `run` with Chunks and a seed, once with the input unsplit and once split. Fails if the results
/// differ. The input's first byte is the seed.
template <typename Run>
int check_splits(const std::uint8_t* data, std::size_t size, Run run, const char* failure) {
  if (size < 1) return 0;
  const std::uint8_t seed = data[0];
  const std::string_view bytes = text_of(data + 1, size - 1);
  if (run(Chunks::unsplit(bytes), seed) != run(Chunks::split(bytes, seed), seed)) fail(failure);
  return 0;
}

/// Fails if a reader's result is an error of type `Error` without a text.
template <typename Error, typename Result>
void check_error_has_text(const Result& result) {
  const auto* error = std::get_if<Error>(&result);
  if (error != nullptr && error->text().empty()) fail("an error without a text");
}

}  // namespace paddlestand::fuzz

/// The entry point of a target, which libFuzzer calls by this name. Returns 0.
// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);
