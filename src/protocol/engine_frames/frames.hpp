/// Codec of the binary frames between a workload manager and an engine, for both sides. One connection
/// multiplexes many streams, identified by 8-byte ids. A frame is a 16-byte header, the fields, the body and
/// a checksum; the sizes of fields and body are in the header. Numbers are unsigned and big-endian:
///
///   magic:1 code:1 fields_size:2 body_size:4 id:8   fields   body   checksum:4 (CRC-32, IEEE)
///
/// No I/O, not thread-safe. A reader buffers at most one frame: a header that announces more than the limits
/// is rejected before the rest of the frame is buffered.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::engine_frames {

inline constexpr std::size_t header_bytes = 16, checksum_bytes = 4;
inline constexpr std::size_t max_fields = 2048;
inline constexpr std::size_t max_page = 6000;  ///< bytes in a page of a result
inline constexpr std::size_t max_statement = std::size_t{256} * 1024;  ///< bytes in the body of a request
inline constexpr std::uint32_t max_pages = 64;  ///< pages in a result

/// The sender of a frame, as encoded in the magic byte.
enum class Side : std::uint8_t { manager = 128, engine = 129 };

/// Frame codes sent by a manager, with the values on the wire. The protocol's own names are give_up for
/// `cancel`, page for `fetch_page` and no_more for `discard_pages`.
enum class Command : std::uint8_t {
  request = 1,
  cancel = 2,
  ping = 3,
  status = 4,
  priority = 5,
  fetch_page = 6,
  discard_pages = 7
};

/// Frame codes sent by an engine, with the values on the wire.
enum class Reply : std::uint8_t {
  ok = 0,
  full = 3,
  error = 4,
  expired = 5,  ///< named `over` in the protocol
  healthy = 6,  ///< named `well` in the protocol
  unhealthy = 7,  ///< named `ill` in the protocol
  page = 9
};

/// A frame whose checksum is valid; its fields and body are not parsed yet.
struct Frame {
  std::uint8_t code{};
  std::uint64_t id{};
  std::string fields, body;
};

/// A violation of the protocol by the peer. No later data on the connection can be trusted.
struct ProtocolViolation {
  std::string what;
};

/// Appends an encoded frame.
void put_frame(std::string& out, Side from, std::uint8_t code, std::uint64_t id, std::string_view fields,
               std::string_view body);

/// Splits the bytes received from the peer into frames.
class FrameReader {
 public:
  explicit FrameReader(Side from) : from_(from) {}

  void feed(std::string_view bytes) { bytes_.append(bytes); }
  /// Returns the next complete frame, or std::monostate if more bytes are needed. After a ProtocolViolation
  /// result the reader must not be used any further.
  std::variant<std::monostate, Frame, ProtocolViolation> next();
  /// Whether the buffer holds an incomplete frame.
  [[nodiscard]] bool has_partial_frame() const { return consumed_ < bytes_.size(); }
  /// The size of the buffer's memory.
  [[nodiscard]] std::size_t allocated_bytes() const { return bytes_.capacity(); }

 private:
  /// Frees the bytes of returned frames once the buffer is fully consumed or they exceed a threshold.
  void discard_consumed();

  Side from_;
  std::string bytes_;
  std::size_t consumed_ = 0;  ///< bytes at the front that belong to returned frames
};

// ---- Frames sent by a manager ----

/// One attempt of a query.
struct Request {
  std::uint64_t id{};
  std::string_view class_name;
  std::string_view token;  ///< idempotency key; empty if there is none
  std::string_view statement;
  Duration time_left{};  ///< until the client's deadline
  double memory_mb{};  ///< zero lets the engine choose
  std::uint8_t priority = 1;
};

/// Appends a request; its deadline is rounded up to whole milliseconds.
void put_request(std::string& out, const Request& request);
/// Appends the cancellation of a stream.
void put_cancel(std::string& out, std::uint64_t id);
/// Appends a health check; `with_report` asks for a load report in the reply.
void put_probe(std::string& out, std::uint64_t id, bool with_report);
/// Appends a change of the priority of a running query.
void put_priority(std::string& out, std::uint64_t id, std::uint8_t priority);
/// Appends the request for another page of a result.
void put_page_request(std::string& out, std::uint64_t id, std::uint32_t page);
/// Appends the notice that the engine can discard the remaining pages of a result.
void put_discard_pages(std::string& out, std::uint64_t id);

// ---- Frames sent by an engine ----

/// A reply with parsed fields.
struct Answer {
  Reply code{};
  std::uint64_t id{};
  std::uint32_t pages = 1;  ///< of an `ok`: number of pages in the result, including the one in this frame
  std::uint32_t page = 0;  ///< of a `page`: its number
  std::optional<double> work_ms, memory_mb;
  std::vector<std::pair<std::string, double>> gauges;
  std::string body;
};

/// Parses the fields of a reply.
std::variant<Answer, ProtocolViolation> read_answer(Frame frame);

/// Whether a page consists of complete rows of three columns each.
bool has_complete_rows(std::string_view page);

/// Finds the value of `name` in fields of the form name=value,name=value.
std::optional<std::string_view> field(std::string_view fields, std::string_view name);
/// Parses a text that consists of a finite, non-negative number.
std::optional<double> parse_number(std::string_view text);
/// Parses a text that consists of a whole number.
std::optional<std::uint32_t> parse_count(std::string_view text);

}  // namespace paddlestand::engine_frames
