/// A library to preload into a process under test. It makes system calls that a seeded generator selects fail
/// with errors that Linux documents for them, and offsets or steps the wall clock. It is not linked into the
/// product.
///
///   PADDLESTAND_FAULTS       rules, separated by ';':  CALL ERROR PROBABILITY [FROM UNTIL]
///                            FROM and UNTIL: seconds since the first call;
///                            without them the rule always applies
///   PADDLESTAND_FAULT_SEED   a number
///   PADDLESTAND_FAULT_LOG    a file to which one line is appended for each connection that a rule breaks
///
/// CALL is one of recv, send, accept, connect, socket, bind, listen, setsockopt, shutdown, close (of a stream
/// socket), epoll_add, epoll_modify (epoll_ctl for a stream socket), epoll_wait, open, read, fwrite, fopen,
/// wall; or a send whose bytes begin with a frame to an engine (send_request, send_cancel, send_probe) or
/// with a PostgreSQL query (send_query). ERROR is the name of an errno value, or
///   short           recv, send, read: at most three bytes are requested
///   broken:ERRNO    recv, send: the connection is shut down for both sides before the call fails
///   offset:SECONDS  wall: the clock is offset by this duration while the rule applies
///   stop:MS         the process is stopped (SIGSTOP) just before the call and resumed after this time; then
///                   the call is made, unless a further rule makes it fail
#ifndef _GNU_SOURCE
#define _GNU_SOURCE
#endif
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <string>
#include <vector>

namespace {

constexpr std::size_t short_transfer_size = 3;  // bytes

enum class Effect {
  error,  // the call fails
  short_transfer,  // the call transfers at most short_transfer_size bytes
  broken_connection,  // the connection is shut down and the call fails
  wall_clock_offset,
  stopped_process  // the process is stopped before the call
};

struct Rule {
  std::string call;
  Effect effect = Effect::error;
  int error_number = 0;
  double probability = 0;
  // Seconds since the first call.
  double from = 0;
  double until = 1e18;
  double offset_s = 0;  // offset of the wall clock, in seconds
  long stop_ms = 0;  // how long the process is stopped, in milliseconds
};

struct ErrorName {
  const char* name;
  int number;
};

constexpr std::array<ErrorName, 20> error_names{{
    {"EINTR", EINTR},
    {"ENOBUFS", ENOBUFS},
    {"ENOMEM", ENOMEM},
    {"ENFILE", ENFILE},
    {"EMFILE", EMFILE},
    {"ECONNABORTED", ECONNABORTED},
    {"EPROTO", EPROTO},
    {"ENETDOWN", ENETDOWN},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL},
    {"ENETUNREACH", ENETUNREACH},
    {"EHOSTUNREACH", EHOSTUNREACH},
    {"ETIMEDOUT", ETIMEDOUT},
    {"ECONNRESET", ECONNRESET},
    {"EPIPE", EPIPE},
    {"ENOSPC", ENOSPC},
    {"EIO", EIO},
    {"EADDRINUSE", EADDRINUSE},
    {"EPERM", EPERM},
    {"EAGAIN", EAGAIN},
    {"ECONNREFUSED", ECONNREFUSED},
}};

int error_number_of(const std::string& name) {
  for (const ErrorName& error : error_names)
    if (name == error.name) return error.number;
  std::fprintf(stderr, "call_faults: unknown error '%s'\n", name.c_str());
  std::abort();
}

/// Aborts the process if the rule is malformed.
Rule parse_rule(const std::string& text) {
  std::array<char, 32> call{};
  std::array<char, 64> effect_text{};
  Rule rule;
  const int fields = std::sscanf(text.c_str(), " %31s %63s %lf %lf %lf", call.data(), effect_text.data(),
                                 &rule.probability, &rule.from, &rule.until);
  if (fields < 3) {
    std::fprintf(stderr, "call_faults: '%s': expected CALL ERROR PROBABILITY [FROM UNTIL]\n", text.c_str());
    std::abort();
  }
  rule.call = call.data();
  const std::string effect = effect_text.data();
  if (effect == "short") {
    rule.effect = Effect::short_transfer;
  } else if (effect.rfind("broken:", 0) == 0) {
    rule.effect = Effect::broken_connection;
    rule.error_number = error_number_of(effect.substr(7));
  } else if (effect.rfind("offset:", 0) == 0) {
    rule.effect = Effect::wall_clock_offset;
    rule.offset_s = std::strtod(effect.c_str() + 7, nullptr);
  } else if (effect.rfind("stop:", 0) == 0) {
    rule.effect = Effect::stopped_process;
    rule.stop_ms = std::strtol(effect.c_str() + 5, nullptr, 10);
  } else {
    rule.error_number = error_number_of(effect);
  }
  return rule;
}

/// The original function with this name, which the library wraps.
template <typename Function>
Function real_function(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

ssize_t real_write(int file, const void* bytes, std::size_t size) {
  static const auto write_file = real_function<ssize_t (*)(int, const void*, std::size_t)>("write");
  return write_file(file, bytes, size);
}

double monotonic_seconds() {
  static const auto clock = real_function<int (*)(clockid_t, timespec*)>("clock_gettime");
  timespec now{};
  clock(CLOCK_MONOTONIC, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

/// The fault rules and the random generator that applies them. Thread-safe.
class Faults {
 public:
  static Faults& instance() {
    static auto* const faults = new Faults;  // never destroyed: calls may be made until the process exits
    return *faults;
  }

  /// Selects at random whether a rule applies to this call. Returns the first that does, or null.
  const Rule* draw(const char* call) {
    const double now = monotonic_seconds() - began_;
    for (const Rule& rule : rules_) {
      if (rule.call != call || now < rule.from || now >= rule.until) continue;
      if (draw_uniform() < rule.probability) return &rule;
    }
    return nullptr;
  }

  /// The current offset of the wall clock, in seconds.
  double wall_offset() const {
    const double now = monotonic_seconds() - began_;
    double offset = 0;
    for (const Rule& rule : rules_) {
      if (rule.effect == Effect::wall_clock_offset && now >= rule.from && now < rule.until)
        offset += rule.offset_s;
    }
    return offset;
  }

  /// Shuts the connection down, which both sides see immediately, and records it in the log.
  void break_connection(int socket) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    ::getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size);
    sockaddr_in own{};
    size = sizeof(own);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&own), &size);
    if (log_ >= 0) {
      std::array<char, 128> line{};
      const int length = std::snprintf(line.data(), line.size(), "broken %d %d %.6f\n", ntohs(own.sin_port),
                                       ntohs(peer.sin_port), monotonic_seconds());
      if (real_write(log_, line.data(), static_cast<std::size_t>(length)) < 0) std::abort();
    }
    static const auto shut = real_function<int (*)(int, int)>("shutdown");
    shut(socket, SHUT_RDWR);
  }

 private:
  Faults() : began_(monotonic_seconds()) {
    read_rules();
    const char* seed = std::getenv("PADDLESTAND_FAULT_SEED");
    state_ = (seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10)) * state_step + 1;
    const char* log = std::getenv("PADDLESTAND_FAULT_LOG");
    static const auto open_file = real_function<int (*)(const char*, int, ...)>("open");
    if (log != nullptr) log_ = open_file(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  }

  void read_rules() {
    const char* rules = std::getenv("PADDLESTAND_FAULTS");
    std::string remaining = rules == nullptr ? "" : rules;
    while (!remaining.empty()) {
      const auto end = remaining.find(';');
      const std::string rule = remaining.substr(0, end);
      if (rule.find_first_not_of(' ') != std::string::npos) rules_.push_back(parse_rule(rule));
      remaining = end == std::string::npos ? "" : remaining.substr(end + 1);
    }
  }

  /// The next number of a splitmix64 generator, in [0, 1).
  double draw_uniform() {
    std::uint64_t z = state_.fetch_add(state_step) + state_step;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return static_cast<double>((z ^ (z >> 31U)) >> 11U) * 0x1.0p-53;
  }

  static constexpr std::uint64_t state_step = 0x9e3779b97f4a7c15ULL;

  std::vector<Rule> rules_;
  double began_;  // seconds, on the monotonic clock
  std::atomic<std::uint64_t> state_{};
  int log_ = -1;  // file descriptor; negative if there is no log
};

/// Runs in a child process: resumes `stopped` after `stop_ms` and exits. It first closes all inherited
/// descriptors; otherwise connections would stay open after the stopped process closes them.
[[noreturn]] void resume_later(pid_t stopped, long stop_ms) {
  ::syscall(SYS_close_range, 0U, ~0U, 0U);
  timespec remaining{stop_ms / 1000, stop_ms % 1000 * 1'000'000};
  while (::nanosleep(&remaining, &remaining) != 0) {}
  ::kill(stopped, SIGCONT);
  ::_exit(0);
}

/// Stops this process. A grandchild resumes it, so that this process gets neither a SIGCHLD nor a zombie when
/// the resuming process exits.
void stop_process(long stop_ms) {
  const pid_t self = ::getpid();
  const pid_t child = ::fork();
  if (child < 0) return;
  if (child == 0) {
    if (::fork() == 0) resume_later(self, stop_ms);
    ::_exit(0);
  }
  while (::waitpid(child, nullptr, 0) < 0 && errno == EINTR) {}
  ::kill(self, SIGSTOP);
}

/// Applies a rule for the call, if one is selected. Returns true if the call must fail, with errno set.
/// Lowers `size` for a short transfer; `size` is null if the call has none.
bool inject_fault(const char* call, int socket, std::size_t* size) {
  const Rule* rule = Faults::instance().draw(call);
  if (rule == nullptr) return false;
  if (rule->effect == Effect::stopped_process) {
    const int error_number = errno;
    stop_process(rule->stop_ms);
    errno = error_number;
    return false;
  }
  if (rule->effect == Effect::short_transfer) {
    if (size != nullptr && *size > short_transfer_size) *size = short_transfer_size;
    return false;
  }
  if (rule->effect == Effect::broken_connection) Faults::instance().break_connection(socket);
  errno = rule->error_number;
  return true;
}

bool is_stream_socket(int file) {
  const int error_number = errno;
  int type = 0;
  socklen_t size = sizeof(type);
  const bool is_stream = ::getsockopt(file, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
  errno = error_number;
  return is_stream;
}

/// The name in rules of a send whose bytes begin with a frame or a query to an engine; null if they begin
/// with neither.
const char* frame_send_name(const void* bytes, std::size_t size) {
  constexpr unsigned char frame_tag = 128;
  constexpr unsigned char query_tag = 'Q';  // not the type of any message from a server to a client
  if (size < 2) return nullptr;
  const auto* begin = static_cast<const unsigned char*>(bytes);
  if (begin[0] == query_tag) return "send_query";
  if (begin[0] != frame_tag) return nullptr;
  switch (begin[1]) {
    case 1: return "send_request";
    case 2: return "send_cancel";
    case 3:
    case 4: return "send_probe";
    default: return nullptr;
  }
}

/// As inject_fault(), for a call that sends. Also applies the rules for frames, which never lower the size.
bool inject_send_fault(int socket, const void* bytes, std::size_t size, std::size_t* shortened_size) {
  const char* frame_name = frame_send_name(bytes, size);
  if (frame_name != nullptr && inject_fault(frame_name, socket, nullptr)) return true;
  return inject_fault("send", socket, shortened_size);
}

}  // namespace

extern "C" {

ssize_t recv(int socket, void* bytes, std::size_t size, int flags) {
  static const auto next = real_function<ssize_t (*)(int, void*, std::size_t, int)>("recv");
  if (inject_fault("recv", socket, &size)) return -1;
  return next(socket, bytes, size, flags);
}

ssize_t recvmsg(int socket, msghdr* message, int flags) {
  static const auto next = real_function<ssize_t (*)(int, msghdr*, int)>("recvmsg");
  if (inject_fault("recv", socket, nullptr)) return -1;
  return next(socket, message, flags);
}

ssize_t send(int socket, const void* bytes, std::size_t size, int flags) {
  static const auto next = real_function<ssize_t (*)(int, const void*, std::size_t, int)>("send");
  if (inject_send_fault(socket, bytes, size, &size)) return -1;
  return next(socket, bytes, size, flags);
}

ssize_t sendmsg(int socket, const msghdr* message, int flags) {
  static const auto next = real_function<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  if (message->msg_iovlen != 1) {
    if (inject_fault("send", socket, nullptr)) return -1;
    return next(socket, message, flags);
  }
  // A short transfer uses a copy of the message header. Otherwise the caller's own header is passed on,
  // because a signal handler of the caller may change it until the kernel reads it.
  const iovec& part = message->msg_iov[0];
  std::size_t size = part.iov_len;
  if (inject_send_fault(socket, part.iov_base, size, &size)) return -1;
  if (size >= part.iov_len) return next(socket, message, flags);
  iovec short_part{part.iov_base, size};
  msghdr short_message = *message;
  short_message.msg_iov = &short_part;
  return next(socket, &short_message, flags);
}

int accept(int socket, sockaddr* address, socklen_t* size) {
  static const auto next = real_function<int (*)(int, sockaddr*, socklen_t*)>("accept");
  if (inject_fault("accept", socket, nullptr)) return -1;
  return next(socket, address, size);
}

int accept4(int socket, sockaddr* address, socklen_t* size, int flags) {
  static const auto next = real_function<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  if (inject_fault("accept", socket, nullptr)) return -1;
  return next(socket, address, size, flags);
}

int connect(int socket, const sockaddr* address, socklen_t size) {
  static const auto next = real_function<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (inject_fault("connect", socket, nullptr)) return -1;
  return next(socket, address, size);
}

int socket(int domain, int type, int protocol) {
  static const auto next = real_function<int (*)(int, int, int)>("socket");
  if (inject_fault("socket", -1, nullptr)) return -1;
  return next(domain, type, protocol);
}

int bind(int socket, const sockaddr* address, socklen_t size) {
  static const auto next = real_function<int (*)(int, const sockaddr*, socklen_t)>("bind");
  if (inject_fault("bind", socket, nullptr)) return -1;
  return next(socket, address, size);
}

int listen(int socket, int backlog) {
  static const auto next = real_function<int (*)(int, int)>("listen");
  if (inject_fault("listen", socket, nullptr)) return -1;
  return next(socket, backlog);
}

int setsockopt(int socket, int level, int option, const void* value, socklen_t size) {
  static const auto next = real_function<int (*)(int, int, int, const void*, socklen_t)>("setsockopt");
  if (inject_fault("setsockopt", socket, nullptr)) return -1;
  return next(socket, level, option, value, size);
}

int shutdown(int socket, int how) {
  static const auto next = real_function<int (*)(int, int)>("shutdown");
  if (inject_fault("shutdown", socket, nullptr)) return -1;
  return next(socket, how);
}

int close(int file) {
  static const auto next = real_function<int (*)(int)>("close");
  if (is_stream_socket(file) && inject_fault("close", file, nullptr)) return -1;
  return next(file);
}

int epoll_ctl(int epoll, int operation, int file, epoll_event* event) {
  static const auto next = real_function<int (*)(int, int, int, epoll_event*)>("epoll_ctl");
  const char* call = nullptr;
  if (operation == EPOLL_CTL_ADD) call = "epoll_add";
  if (operation == EPOLL_CTL_MOD) call = "epoll_modify";
  if (call != nullptr && is_stream_socket(file) && inject_fault(call, file, nullptr)) return -1;
  return next(epoll, operation, file, event);
}

int epoll_wait(int epoll, epoll_event* events, int most, int wait_ms) {
  static const auto next = real_function<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  if (inject_fault("epoll_wait", -1, nullptr)) return -1;
  return next(epoll, events, most, wait_ms);
}

int open(const char* path, int flags, ...) {
  static const auto next = real_function<int (*)(const char*, int, ...)>("open");
  va_list more;
  va_start(more, flags);
  const mode_t mode = (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(more, mode_t) : 0;
  va_end(more);
  if (inject_fault("open", -1, nullptr)) return -1;
  return next(path, flags, mode);
}

ssize_t read(int file, void* bytes, std::size_t size) {
  static const auto next = real_function<ssize_t (*)(int, void*, std::size_t)>("read");
  struct stat what {};
  const bool regular = ::fstat(file, &what) == 0 && S_ISREG(what.st_mode);
  if (regular && inject_fault("read", -1, &size)) return -1;
  return next(file, bytes, size);
}

std::size_t fwrite(const void* bytes, std::size_t size, std::size_t count, FILE* file) {
  static const auto next =
      real_function<std::size_t (*)(const void*, std::size_t, std::size_t, FILE*)>("fwrite");
  if (inject_fault("fwrite", -1, nullptr)) return 0;
  return next(bytes, size, count, file);
}

FILE* fopen(const char* path, const char* mode) {
  static const auto next = real_function<FILE* (*)(const char*, const char*)>("fopen");
  if (inject_fault("fopen", -1, nullptr)) return nullptr;
  return next(path, mode);
}

FILE* fopen64(const char* path, const char* mode) {
  static const auto next = real_function<FILE* (*)(const char*, const char*)>("fopen64");
  if (inject_fault("fopen", -1, nullptr)) return nullptr;
  return next(path, mode);
}

int clock_gettime(clockid_t clock, timespec* now) {
  static const auto next = real_function<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = next(clock, now);
  if (clock == CLOCK_REALTIME && result == 0)
    now->tv_sec += static_cast<time_t>(Faults::instance().wall_offset());
  return result;
}

}  // extern "C"
