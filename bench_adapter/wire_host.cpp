#include "wire_host.hpp"

#include <algorithm>
#include <bit>
#include <concepts>
#include <cstring>
#include <limits>
#include <optional>
#include <utility>

#include "config/settings_parser.hpp"

namespace paddlestand::bench_adapter {
using config::gossip_entry_bytes;
using config::parse_settings;
using config::ParsedSettings;

namespace {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian");

enum class EventCode : std::uint8_t {
  status_note = 1,
  timeout_fired = 2,
  result = 3,
  under_way = 4,
  datagram = 5,
  snapshot_rows = 6,
  call = 7,
  provision = 8,
  roster_change = 9,
  check_result = 10,
  kill = 11,
  left = 12,
};

enum class ActionCode : std::uint8_t {
  reject = 1,
  recall = 2,
  announce = 4,
  send = 5,
  set_terms = 6,
  trace = 7,
  inspect = 8,
  watch = 9,
  fault = 10,
  error = 12,
  notify_me = 13,
};

constexpr std::size_t most_text_bytes = 65535;
constexpr std::size_t most_message_bytes = 256;
constexpr std::size_t list_entry_bytes = 22;
constexpr std::uint32_t every_peer = 0xffffffff;

class Input {
 public:
  explicit Input(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}

  template <typename T>
  T take() {
    T value{};
    const auto raw = take_bytes(sizeof(T));
    std::memcpy(&value, raw.data(), sizeof(T));
    return value;
  }

  std::span<const std::uint8_t> take_bytes(std::size_t count) {
    if (count > bytes_.size() - at_) throw MalformedFrame("frame ends inside a record");
    const auto part = bytes_.subspan(at_, count);
    at_ += count;
    return part;
  }

  Duration take_time() { return clamp_time(take<std::uint64_t>()); }

  static Duration clamp_time(std::uint64_t value) {
    constexpr auto most = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    return Duration{static_cast<std::int64_t>(std::min(value, most))};
  }

  [[nodiscard]] bool at_end() const { return at_ == bytes_.size(); }
  [[nodiscard]] std::size_t left() const { return bytes_.size() - at_; }

 private:
  std::span<const std::uint8_t> bytes_;
  std::size_t at_ = 0;
};

class Output {
 public:
  template <typename T>
  void put(T value) {
    const auto at = bytes_.size();
    bytes_.resize(at + sizeof(T));
    std::memcpy(bytes_.data() + at, &value, sizeof(T));
  }

  void start(ActionCode code, std::uint16_t who) {
    put(static_cast<std::uint8_t>(code));
    put(who);
  }

  void put_text(std::string_view text) {
    text = text.substr(0, most_text_bytes);
    put(static_cast<std::uint16_t>(text.size()));
    bytes_.insert(bytes_.end(), text.begin(), text.end());
  }

  std::vector<std::uint8_t> finish() {
    const auto length = static_cast<std::uint32_t>(bytes_.size());
    std::memcpy(bytes_.data(), &length, sizeof(length));
    return std::move(bytes_);
  }

 private:
  std::vector<std::uint8_t> bytes_;
};

void write(Output& out, std::uint16_t who, const Send& action) {
  out.start(ActionCode::send, who);
  out.put(action.request);
  out.put(static_cast<std::int64_t>(action.timeout.count()));
  out.put(action.engine);
}
void write(Output& out, std::uint16_t who, const Cancel& action) {
  out.start(ActionCode::recall, who);
  out.put(action.request);
  out.put(static_cast<std::uint16_t>(action.attempt));
}
void write(Output& out, std::uint16_t who, const Reject& action) {
  out.start(ActionCode::reject, who);
  out.put(action.request);
  out.put(static_cast<std::uint64_t>(action.retry_after.count()));
}
void write(Output& out, std::uint16_t who, const Fail& action) {
  out.start(ActionCode::error, who);
  out.put(action.request);
}
void write(Output& out, std::uint16_t who, const SetTimer& action) {
  out.start(ActionCode::notify_me, who);
  out.put(action.token);
  out.put(static_cast<std::uint64_t>(action.after.count()));
}
void write(Output& out, std::uint16_t who, const Probe& action) {
  out.start(ActionCode::inspect, who);
  out.put(action.engine);
}
void write(Output& out, std::uint16_t who, const SetResourceGrant& action) {
  out.start(ActionCode::set_terms, who);
  out.put(action.request);
  out.put(action.priority);
  out.put(static_cast<float>(action.memory_mb));
}
void write(Output& out, std::uint16_t who, const SubscribeEndpoints&) {
  out.start(ActionCode::watch, who);
  out.put(std::uint8_t{1});
}
// An engine's mark is the lower half of its id. Threads take three bits, memory five, in 1/64 of the
// engine's.
void write(Output& out, std::uint16_t who, const SendGossip& action) {
  std::string bytes;
  for (const GossipEntry& told : action.out) {
    if (bytes.size() + gossip_entry_bytes > most_message_bytes) break;
    const auto threads = static_cast<std::uint32_t>(std::clamp(told.threads, 0.0, 7.0));
    const auto memory = static_cast<std::uint32_t>(std::clamp(told.memory_share * 64, 0.0, 31.0) + 0.5);
    bytes.push_back(static_cast<char>(told.engine & 255U));
    bytes.push_back(static_cast<char>(told.engine >> 8U & 255U));
    bytes.push_back(static_cast<char>(threads << 5U | std::min(memory, 31U)));
  }
  out.start(ActionCode::announce, who);
  out.put(every_peer);
  out.put_text(bytes);
}
void write(Output& out, std::uint16_t who, const Log& action) {
  out.start(ActionCode::trace, who);
  out.put_text(action.text);
}

AttemptResult read_result(std::uint16_t code) {
  switch (code) {
    case 200: return AttemptResult::served;
    case 502: return AttemptResult::engine_error;
    case 429: return AttemptResult::rejected;
    case 408: return AttemptResult::timed_out;
    case 521: return AttemptResult::connect_failed;
    case 520: return AttemptResult::reset;
    case 444: return AttemptResult::cancelled;
    case 409: return AttemptResult::not_sent;
    default: throw MalformedFrame("unknown completion code " + std::to_string(code));
  }
}

EngineEntry read_entry(Input& in) {
  EngineEntry entry;
  entry.kind = in.take<std::uint16_t>();
  const auto condition = in.take<std::uint8_t>();
  if (condition > 2) throw MalformedFrame("unknown engine condition " + std::to_string(condition));
  entry.state = static_cast<EngineState>(condition);
  entry.zone = in.take<std::uint8_t>();
  entry.weight = static_cast<double>(in.take<float>());
  entry.cell = in.take<std::uint16_t>();
  entry.engine = in.take<std::uint32_t>();
  entry.started = in.take_time();
  return entry;
}

LoadReport read_report(Input& in, const std::vector<std::string>& names) {
  LoadReport report;
  const auto count = in.take<std::uint8_t>();
  for (std::size_t i = 0; i < count; ++i) {
    const auto value = static_cast<double>(in.take<float>());
    if (i >= names.size()) continue;
    if (names[i] == "outstanding") report.queries = value;
  }
  return report;
}

RequestArrived read_call(Input& in) {
  RequestArrived event;
  event.request = in.take<std::uint64_t>();
  event.class_index = in.take<std::uint8_t>();
  event.tenant = in.take<std::uint16_t>();
  event.ordering_key = in.take<std::uint64_t>();
  event.client_timeout = in.take_time();
  const Duration cost = in.take_time();
  event.estimated_memory_mb = static_cast<double>(in.take<float>());
  event.tables = static_cast<double>(in.take<float>());
  const auto flags = in.take<std::uint8_t>();
  if ((flags & 1U) != 0) event.estimated_cost = cost;
  event.repeated = (flags & 2U) != 0;
  return event;
}

AttemptEnded read_outcome(Input& in, const std::vector<std::string>& names, bool tells_cost) {
  AttemptEnded event;
  event.request = in.take<std::uint64_t>();
  event.attempt = in.take<std::uint16_t>();
  event.engine = in.take<std::uint32_t>();
  event.result = read_result(in.take<std::uint16_t>());
  event.took = in.take_time();
  event.request_over = in.take<std::uint8_t>() != 0;
  const auto bill = in.take<std::uint32_t>();
  if (tells_cost && bill != 0 && event.result == AttemptResult::served) {
    event.work = std::chrono::milliseconds{bill / 4096U};
    event.memory_mb = 4.0 * static_cast<double>(bill % 4096U);
  }
  event.report = read_report(in, names);
  return event;
}

ProbeEnded read_probe(Input& in, const std::vector<std::string>& names) {
  ProbeEnded event;
  event.result = read_result(in.take<std::uint16_t>());
  event.engine = in.take<std::uint32_t>();
  event.took = in.take_time();
  event.report = read_report(in, names);
  return event;
}

// What is no whole entry, or of an engine that is not known, is passed over: peers may run another build.
std::uint16_t read_datagram(Input& in, const std::map<std::uint16_t, EngineId>& marks,
                            std::vector<GossipEntry>& told) {
  const auto author = in.take<std::uint16_t>();
  const auto bytes = in.take_bytes(in.take<std::uint16_t>());
  told.clear();
  for (std::size_t i = 0; i + gossip_entry_bytes <= bytes.size(); i += gossip_entry_bytes) {
    const auto mark = static_cast<std::uint16_t>(bytes[i] | bytes[i + 1] << 8U);
    const auto found = marks.find(mark);
    if (found == marks.end()) continue;
    told.push_back({found->second, static_cast<double>(bytes[i + 2] >> 5U),
                    static_cast<double>(bytes[i + 2] & 31U) / 64});
  }
  return author;
}

ProgressReported read_note(Input& in) {
  ProgressReported event;
  event.request = in.take<std::uint64_t>();
  event.attempt = in.take<std::uint16_t>();
  in.take<std::uint32_t>();
  const auto what = in.take<std::uint8_t>();
  if (what < 1 || what > 3) throw MalformedFrame("unknown note " + std::to_string(what));
  event.kind = static_cast<ProgressKind>(what - 1);
  event.level = static_cast<double>(in.take<float>());
  return event;
}

EndpointsChanged read_change(Input& in, const std::array<std::vector<EngineEntry>, 16>& lists) {
  const auto ref = in.take<std::uint32_t>();
  in.take<std::uint64_t>();
  const auto scope = in.take<std::uint8_t>();
  if (scope > 3) throw MalformedFrame("unknown scope of a list " + std::to_string(scope));
  EndpointsChanged event;
  event.scope = static_cast<EndpointUpdate>(scope);
  if (event.scope == EndpointUpdate::failed) return event;
  if (ref >= lists.size()) throw MalformedFrame("list number out of range: " + std::to_string(ref));
  event.engines = lists[ref];
  return event;
}

}  // namespace

std::size_t frame_length(std::span<const std::uint8_t> first_four) {
  const auto length = Input(first_four).take<std::uint32_t>();
  if (length < batch_header_bytes || length > most_frame_bytes) {
    throw MalformedFrame("impossible frame length " + std::to_string(length));
  }
  return length;
}

std::vector<std::uint8_t> WireHost::reply_to(std::span<const std::uint8_t> batch) {
  Input in(batch);
  if (in.take<std::uint32_t>() != batch.size()) throw MalformedFrame("frame length does not match");
  const auto records = in.take<std::uint32_t>();
  const TimePoint now = in.take_time();
  const auto number = in.take<std::uint32_t>();

  Output out;
  out.put(std::uint32_t{0});
  out.put(number);

  const auto instance = [&](std::uint16_t who) -> Instance& {
    const auto found = instances_.find(who);
    if (found == instances_.end()) throw MalformedFrame("unknown instance " + std::to_string(who));
    return found->second;
  };
  const auto deliver = [&](std::uint16_t who, const Event& event) {
    actions_.clear();
    instance(who).manager.handle(now, event, actions_);
    for (const Action& action : actions_) {
      std::visit([&](const auto& item) { write(out, who, item); }, action);
    }
  };

  for (std::uint32_t i = 0; i < records; ++i) {
    const auto code = in.take<std::uint8_t>();
    if (code == static_cast<std::uint8_t>(EventCode::snapshot_rows)) {
      const auto ref = in.take<std::uint32_t>();
      const auto rows = in.take<std::uint32_t>();
      if (ref >= lists_.size()) throw MalformedFrame("list number out of range: " + std::to_string(ref));
      if (rows > in.left() / list_entry_bytes) throw MalformedFrame("list longer than its frame");
      lists_[ref].clear();
      for (std::uint32_t row = 0; row < rows; ++row) lists_[ref].push_back(read_entry(in));
      continue;
    }
    if (code < 1 || code > 12) throw MalformedFrame("unknown event code " + std::to_string(code));
    const auto who = in.take<std::uint16_t>();
    switch (static_cast<EventCode>(code)) {
      case EventCode::provision: {
        const auto seed = in.take<std::uint64_t>();
        const auto text = in.take_bytes(in.take<std::uint32_t>());
        const std::string boot(text.begin(), text.end());
        auto parsed = parse_settings(boot);
        if (const auto* problem = std::get_if<std::string>(&parsed)) {
          out.start(ActionCode::fault, who);
          out.put_text(*problem);
          parsed = ParsedSettings{};
        }
        auto& good = std::get<ParsedSettings>(parsed);
        good.settings.seed = seed;
        const bool tells_cost = good.settings.answers_report_cost;
        instances_.insert_or_assign(
            who,
            Instance{
                WorkloadManager(std::move(good.settings)), std::move(good.report_names), tells_cost, {}});
        break;
      }
      case EventCode::kill:
        instance(who);
        instances_.erase(who);
        break;
      case EventCode::roster_change: {
        const EndpointsChanged event = read_change(in, lists_);
        auto& marks = instance(who).marks;
        for (const auto& entry : event.engines)
          marks[static_cast<std::uint16_t>(entry.engine)] = entry.engine;
        deliver(who, event);
        break;
      }
      case EventCode::call: deliver(who, read_call(in)); break;
      case EventCode::under_way: {
        const AnswerStarted event{in.take<std::uint64_t>()};
        in.take_bytes(2 + 8 + 4);
        deliver(who, event);
        break;
      }
      case EventCode::status_note: deliver(who, read_note(in)); break;
      case EventCode::result:
        deliver(who, read_outcome(in, instance(who).report_names, instance(who).tells_cost));
        break;
      case EventCode::left: deliver(who, RequestAbandoned{in.take<std::uint64_t>()}); break;
      case EventCode::timeout_fired: deliver(who, TimerFired{in.take<std::uint32_t>()}); break;
      case EventCode::check_result: deliver(who, read_probe(in, instance(who).report_names)); break;
      case EventCode::datagram: {
        const auto author = read_datagram(in, instance(who).marks, told_);
        deliver(who, GossipReceived{author, told_});
        break;
      }
      case EventCode::snapshot_rows: break;
    }
  }
  if (!in.at_end()) throw MalformedFrame("bytes after the last record");
  return out.finish();
}

}  // namespace paddlestand::bench_adapter
