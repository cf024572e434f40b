// XML files checked against a schema that is built in (libxml2): elements with their lines, attributes with
// the schema's defaults filled in, and one clear error with file and line for anything that is not as wanted.
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

struct Fault {
  std::string file;
  int line = 0;  // zero: none is to be named
  std::string what;
  [[nodiscard]] std::string text() const {
    return file + (line > 0 ? ":" + std::to_string(line) : "") + ": " + what;
  }
};

// Valid as long as the document that it came from.
class Element {
 public:
  explicit Element(void* node) : node_(node) {}

  [[nodiscard]] std::string name() const;
  [[nodiscard]] int line() const;
  [[nodiscard]] std::vector<Element> children(std::string_view name = {}) const;
  [[nodiscard]] std::optional<Element> child(std::string_view name) const;

  // Types are the schema's affair: what it passed can be read.
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

class Document {
 public:
  // Reads at most `max_file_bytes` of the file. Nothing outside of it is followed: no entities, no network.
  static std::variant<Document, Fault> read(const std::string& path, std::string_view schema);
  static std::variant<Document, Fault> parse(std::string_view text, const std::string& name,
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

// "250ms", "1.5s"
Duration read_time(std::string_view text);

// The built-in schemas.
extern const std::string_view manager_schema;
extern const std::string_view day_schema;

}  // namespace paddlestand::config
