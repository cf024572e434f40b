/// Reads XML files and validates them against a built-in schema (libxml2). Elements have line numbers, and
/// attributes the schema's defaults. Of an invalid file, the first error is returned with file and line.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace paddlestand::config {

using Duration = std::chrono::nanoseconds;

/// The first error in a file.
struct ConfigError {
  std::string file;
  int line = 0;  ///< zero if the error has no line
  std::string message;
  [[nodiscard]] std::string text() const {
    return file + (line > 0 ? ":" + std::to_string(line) : "") + ": " + message;
  }
};

/// An element of a document. Valid as long as the document.
class Element {
 public:
  explicit Element(void* node) : node_(node) {}

  [[nodiscard]] std::string name() const;
  [[nodiscard]] int line() const;
  [[nodiscard]] std::vector<Element> children(std::string_view name = {}) const;
  [[nodiscard]] std::optional<Element> child(std::string_view name) const;

  // The schema has validated the types, so these functions report no errors.
  [[nodiscard]] bool has(const char* attribute) const;
  [[nodiscard]] std::string text(const char* attribute) const;
  [[nodiscard]] double number(const char* attribute) const;
  [[nodiscard]] std::uint64_t integer(const char* attribute) const;
  [[nodiscard]] std::uint32_t count(const char* attribute) const;
  [[nodiscard]] bool flag(const char* attribute) const;
  [[nodiscard]] Duration time(const char* attribute) const;
  [[nodiscard]] std::size_t bytes(const char* attribute) const;
  [[nodiscard]] std::vector<std::string> words(const char* attribute) const;

 private:
  void* node_;
};

/// A valid XML document.
class Document {
 public:
  /// Reads a file of at most `max_file_bytes`. Loads nothing else: no external entities, no network
  /// addresses.
  static std::variant<Document, ConfigError> read(const std::string& path, std::string_view schema);
  static std::variant<Document, ConfigError> parse(std::string_view text, const std::string& name,
                                                   std::string_view schema);

  [[nodiscard]] Element root() const;
  [[nodiscard]] const std::string& file() const { return file_; }

 private:
  struct Free {
    void operator()(void* document) const;
  };
  std::unique_ptr<void, Free> document_;
  std::string file_;
};

inline constexpr std::size_t max_file_bytes = std::size_t{16} * 1024 * 1024;

/// Parses a time with a unit, such as "250ms" or "1.5s".
Duration parse_duration(std::string_view text);

// The built-in schemas, as XML texts.
extern const std::string_view manager_schema;
extern const std::string_view day_schema;

}  // namespace paddlestand::config
