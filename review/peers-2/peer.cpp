// Stand-ins and clients of the cases 6 to 10: a worker (LTWP/1, docs/worker-protocol.md), an AMQP 0-9-1
// client, an HTTP/1.1 client and a TCP proxy. Plain sockets and threads, loopback only, no library of the
// project.
//
// Each writes lines "UNIX_MS EVENT name=value ..." to the file that --log names, at the moment it happens.

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using Bytes = std::string;

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::mutex log_mutex;
FILE* log_file = nullptr;
void note(const std::string& text) {
  const std::lock_guard lock(log_mutex);
  std::fprintf(log_file, "%lld %s\n", static_cast<long long>(unix_ms()), text.c_str());
  std::fflush(log_file);
}

// Printable and without spaces, for the log.
std::string shown(const std::string& text, std::size_t most = 200) {
  std::string out;
  for (const char c : text.substr(0, most)) out += c > 0x20 && c < 0x7f ? c : '_';
  return out.empty() ? "-" : out;
}

struct Options {
  std::map<std::string, std::vector<std::string>> given;
  Options(int argc, char** argv) {
    for (int i = 2; i + 1 < argc; i += 2) given[argv[i]].push_back(argv[i + 1]);
  }
  std::string text(const std::string& name, const std::string& otherwise = "") const {
    const auto it = given.find(name);
    return it == given.end() ? otherwise : it->second.back();
  }
  long number(const std::string& name, long otherwise = 0) const {
    const auto it = given.find(name);
    return it == given.end() ? otherwise : std::atol(it->second.back().c_str());
  }
  std::vector<std::string> all(const std::string& name) const {
    const auto it = given.find(name);
    return it == given.end() ? std::vector<std::string>{} : it->second;
  }
};

// ---- Sockets ------------------------------------------------------------------------------------------

int listen_on(std::uint16_t port, std::uint16_t& got) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(port);
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd, 256) != 0) return -1;
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  got = ntohs(at.sin_port);
  return fd;
}

int connect_to(std::uint16_t port, int receive_buffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool send_all(int fd, const Bytes& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

bool read_exactly(int fd, std::size_t size, Bytes& out) {
  out.resize(size);
  std::size_t got = 0;
  while (got < size) {
    const ssize_t n = recv(fd, out.data() + got, size - got, 0);
    if (n <= 0) return false;
    got += static_cast<std::size_t>(n);
  }
  return true;
}

void reset_and_close(int fd) {
  const linger hard{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close(fd);
}

// ---- Big-endian fields ----------------------------------------------------------------------------------

void put(Bytes& out, std::uint64_t value, int size) {
  for (int i = size - 1; i >= 0; --i) out += static_cast<char>(value >> (8 * i) & 0xff);
}
void put_short(Bytes& out, const std::string& text) { put(out, text.size(), 1), out += text; }
void put_long(Bytes& out, const std::string& text) { put(out, text.size(), 4), out += text; }

struct Fields {
  const Bytes& bytes;
  std::size_t at = 0;
  std::uint64_t number(std::size_t size) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < size && at < bytes.size(); ++i)
      value = value << 8 | static_cast<unsigned char>(bytes[at++]);
    return value;
  }
  std::string text(std::size_t size) {
    const std::string out = at <= bytes.size() ? bytes.substr(at, size) : "";
    at += size;
    return out;
  }
  std::string text_behind(std::size_t count_size) {
    const std::size_t size = number(count_size);
    return text(size);
  }
  std::string rest() { return at <= bytes.size() ? bytes.substr(at) : ""; }
};

// ---- The worker -----------------------------------------------------------------------------------------

// Runs every call for `--work-ms` and answers with "result:" and the payload. Holds are granted after
// `--load-ms`; until the first of a function is, calls for it are answered 'miss' (unless --loaded 1). With
// `--pieces N` a result goes out in N pieces, spread over the work, and an empty answer. A cancel stops
// nothing: the work goes on and is answered.
class Worker {
 public:
  explicit Worker(const Options& o)
      : id_(static_cast<std::uint32_t>(o.number("--id", 1))),
        work_ms_(o.number("--work-ms", 100)),
        load_ms_(o.number("--load-ms", 0)),
        pieces_(o.number("--pieces", 0)),
        all_loaded_(o.number("--loaded", 1) != 0),
        started_ms_(unix_ms()) {}

  int run(std::uint16_t port) {
    std::uint16_t got = 0;
    const int fd = listen_on(port, got);
    if (fd < 0) return 1;
    std::printf("listening %u\n", got);
    std::fflush(stdout);
    note("started worker=" + std::to_string(id_));
    while (true) {
      const int client = accept(fd, nullptr, nullptr);
      if (client < 0) continue;
      std::thread([this, client] { serve(client); }).detach();
    }
  }

 private:
  struct Session {
    int fd = -1;
    std::mutex mutex;
    bool send(std::uint8_t type, const Bytes& fields) {
      Bytes frame;
      put(frame, fields.size() + 1, 4), put(frame, type, 1);
      frame += fields;
      const std::lock_guard lock(mutex);
      return send_all(fd, frame);
    }
  };

  void serve(int fd) {
    auto session = std::make_shared<Session>();
    session->fd = fd;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    Bytes hello;
    put(hello, 0x4c545750, 4), put(hello, 1, 1), put(hello, 0, 1), put(hello, 16U << 20, 4),
        put(hello, id_, 4);
    put(hello, static_cast<std::uint64_t>(started_ms_), 8);
    const std::string name = "worker-" + std::to_string(id_);
    put(hello, name.size(), 2), hello += name;
    session->send(1, hello);
    Bytes head, frame;
    while (read_exactly(fd, 4, head)) {
      Fields size{head};
      if (!read_exactly(fd, size.number(4), frame) || frame.empty()) break;
      on_frame(session, frame);
    }
    note("connection-ended worker=" + std::to_string(id_));
    shutdown(fd, SHUT_RDWR);  // not closed: threads may still write to it
  }

  void on_frame(const std::shared_ptr<Session>& session, const Bytes& frame) {
    Fields f{frame};
    switch (f.number(1)) {
      case 2: {
        const std::uint64_t id = f.number(8);
        f.number(4);
        const std::uint64_t attempt = f.number(1);
        const std::string function = f.text_behind(2), name = f.text_behind(2), key = f.text_behind(2);
        f.text_behind(2);
        const std::string payload = f.rest();
        const std::string call = " worker=" + std::to_string(id_) + " call=" + shown(name) +
                                 " attempt=" + std::to_string(attempt) + " function=" + shown(function) +
                                 " payload=" + shown(payload);
        note("call" + call);
        if (!loaded(function)) {
          note("answered kind=miss" + call);
          session->send(4, answer(id, 4, "not loaded", ""));
          return;
        }
        note("ran" + call);
        std::thread([this, session, id, call, payload] { work(session, id, call, payload); }).detach();
        return;
      }
      case 6: {
        const std::uint64_t order = f.number(8), count = f.number(1);
        const std::string function = f.text_behind(2);
        note("hold worker=" + std::to_string(id_) + " function=" + shown(function) +
             " count=" + std::to_string(count));
        std::thread([this, session, order, count, function] {
          if (count > 0 && !loaded(function)) {
            std::this_thread::sleep_for(std::chrono::milliseconds(load_ms_));
            const std::lock_guard lock(mutex_);
            loaded_.insert(function);
          }
          Bytes held;
          put(held, order, 8), put(held, 1, 1),
              put(held, loaded(function) ? std::max<std::uint64_t>(count, 1) : 0, 1);
          session->send(7, held);
        }).detach();
        return;
      }
      case 9: {
        Bytes probed;
        put(probed, f.number(8), 8), put(probed, 0, 1);
        session->send(10, probed);
        return;
      }
      default: return;  // hello, cancel, release
    }
  }

  void work(const std::shared_ptr<Session>& session, std::uint64_t id, const std::string& call,
            const std::string& payload) {
    const std::string result = "result:" + payload;
    const long steps = pieces_ + 1;
    for (long i = 0; i < steps; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(work_ms_ / steps));
      if (i == pieces_) break;
      const std::size_t from =
          result.size() * static_cast<std::size_t>(i) / static_cast<std::size_t>(pieces_);
      const std::size_t to =
          result.size() * static_cast<std::size_t>(i + 1) / static_cast<std::size_t>(pieces_);
      Bytes piece;
      put(piece, id, 8), piece += result.substr(from, to - from);
      session->send(5, piece);
      note("piece" + call + " bytes=" + shown(result.substr(from, to - from)));
    }
    note("answered kind=ok" + call);
    session->send(4, answer(id, 1, "", pieces_ > 0 ? "" : result));
  }

  static Bytes answer(std::uint64_t id, std::uint8_t kind, const std::string& reason,
                      const std::string& body) {
    Bytes out;
    put(out, id, 8), put(out, kind, 1), put(out, kind == 1 ? 1 : 0, 1), put(out, 255, 1), put(out, 0, 1);
    put(out, reason.size(), 2), out += reason;
    return out + body;
  }

  bool loaded(const std::string& function) {
    const std::lock_guard lock(mutex_);
    return all_loaded_ || loaded_.contains(function);
  }

  std::uint32_t id_;
  long work_ms_, load_ms_, pieces_;
  bool all_loaded_;
  std::int64_t started_ms_;
  std::mutex mutex_;
  std::set<std::string> loaded_;
};

// ---- The AMQP client ------------------------------------------------------------------------------------

// Publishes the messages that --send names, "AT_MS|MESSAGE-ID|FUNCTION|EXPIRATION_MS|BODY[|CORRELATION]", at
// their times after its start, and notes every answer to --reply until --for-ms have passed.
class AmqpClient {
 public:
  explicit AmqpClient(const Options& o) : o_(o), reply_(o.text("--reply", "answers")) {}

  int run() {
    fd_ = connect_to(static_cast<std::uint16_t>(o_.number("--port")));
    if (fd_ < 0) return 1;
    if (!send_all(fd_, Bytes("AMQP\0\0\x09\x01", 8)) || !wait_for(10, 10)) return 1;
    Bytes m;
    put(m, 0, 4), put_short(m, "PLAIN"), put_long(m, Bytes("\0guest\0guest", 12)), put_short(m, "en_US");
    method(0, 10, 11, m);
    if (!wait_for(10, 30)) return 1;
    m.clear(), put(m, 8, 2), put(m, 131072, 4), put(m, 0, 2);
    method(0, 10, 31, m);
    m.clear(), put_short(m, "/"), put_short(m, ""), put(m, 0, 1);
    method(0, 10, 40, m);
    if (!wait_for(10, 41)) return 1;
    m.clear(), put_short(m, "");
    method(1, 20, 10, m);
    if (!wait_for(20, 11)) return 1;
    m.clear(), put(m, 0, 2), put_short(m, reply_), put(m, 0, 1), put(m, 0, 4);
    method(1, 50, 10, m);
    if (!wait_for(50, 11)) return 1;
    m.clear(), put(m, 0, 2), put_short(m, reply_), put_short(m, "client"), put(m, 2, 1), put(m, 0, 4);
    method(1, 60, 20, m);
    if (!wait_for(60, 21)) return 1;
    std::printf("ready\n");
    std::fflush(stdout);
    const auto start = std::chrono::steady_clock::now();
    std::thread reader([this] {
      while (read_frame()) {
      }
    });
    for (const std::string& each : o_.all("--send")) {
      std::vector<std::string> part;
      std::istringstream in(each);
      for (std::string p; std::getline(in, p, '|');) part.push_back(p);
      if (part.size() < 5) return 1;
      std::this_thread::sleep_until(start + std::chrono::milliseconds(std::atol(part[0].c_str())));
      publish(part[1], part[2], part[3], part[4], part.size() > 5 ? part[5] : part[1]);
    }
    std::this_thread::sleep_until(start + std::chrono::milliseconds(o_.number("--for-ms", 1000)));
    shutdown(fd_, SHUT_RDWR);
    reader.join();
    return 0;
  }

 private:
  void frame(std::uint8_t type, std::uint16_t channel, const Bytes& payload) {
    Bytes f;
    put(f, type, 1), put(f, channel, 2), put_long(f, payload);
    f += '\xce';
    send_all(fd_, f);
  }
  void method(std::uint16_t channel, std::uint16_t cls, std::uint16_t number, const Bytes& fields) {
    Bytes p;
    put(p, cls, 2), put(p, number, 2);
    frame(1, channel, p + fields);
  }
  void publish(const std::string& name, const std::string& function, const std::string& expiration,
               const std::string& given, const std::string& correlation) {
    std::string body = given;
    if (given.starts_with("@")) {
      body = name + ":";
      body.resize(std::stoul(given.substr(1)) * 1024, '.');
    }
    Bytes m;
    put(m, 0, 2), put_short(m, ""), put_short(m, o_.text("--queue", "calls")), put(m, 0, 1);
    method(1, 60, 40, m);
    Bytes h;
    put(h, 60, 2), put(h, 0, 2), put(h, body.size(), 8);
    // delivery-mode, correlation-id, reply-to, expiration, message-id, type
    put(h, 1U << 12 | 1U << 10 | 1U << 9 | 1U << 8 | 1U << 7 | 1U << 5, 2);
    put(h, 2, 1), put_short(h, correlation), put_short(h, reply_), put_short(h, expiration),
        put_short(h, name);
    put_short(h, function);
    note("sent call=" + shown(name) + " correlation=" + shown(correlation) + " function=" + shown(function) +
         " patience_ms=" + expiration + " body=" + shown(body));
    frame(2, 1, h);
    for (std::size_t at = 0; at < body.size(); at += 100'000) frame(3, 1, body.substr(at, 100'000));
  }
  bool read_frame() {
    Bytes head, payload;
    if (!read_exactly(fd_, 7, head)) return false;
    Fields h{head};
    type_ = static_cast<int>(h.number(1));
    h.number(2);
    if (!read_exactly(fd_, h.number(4) + 1, payload)) return false;
    payload.pop_back();
    Fields f{payload};
    if (type_ == 1) {
      class_ = static_cast<int>(f.number(2)), method_ = static_cast<int>(f.number(2));
    } else if (type_ == 2) {
      f.number(4);
      left_ = f.number(8), body_.clear();
      const std::uint64_t flags = f.number(2);
      correlation_ = id_ = outcome_ = reason_ = "";
      if (flags & 1U << 15) f.text_behind(1);
      if (flags & 1U << 14) f.text_behind(1);
      if (flags & 1U << 13) read_headers(f.text_behind(4));
      if (flags & 1U << 12) f.number(1);
      if (flags & 1U << 11) f.number(1);
      if (flags & 1U << 10) correlation_ = f.text_behind(1);
      if (flags & 1U << 9) f.text_behind(1);
      if (flags & 1U << 8) f.text_behind(1);
      if (flags & 1U << 7) id_ = f.text_behind(1);
      if (left_ == 0) on_answer();
    } else if (type_ == 3) {
      body_ += payload;
      left_ -= std::min<std::uint64_t>(left_, payload.size());
      if (left_ == 0) on_answer();
    }
    return true;
  }
  void read_headers(const Bytes& table) {
    Fields f{table};
    while (f.at < table.size()) {
      const std::string name = f.text_behind(1);
      const char kind = static_cast<char>(f.number(1));
      if (kind == 'S') {
        const std::string value = f.text_behind(4);
        if (name == "outcome") outcome_ = value;
        if (name == "reason") reason_ = value;
      } else if (kind == 'l' || kind == 'L') {
        f.number(8);
      } else if (kind == 'I' || kind == 'i') {
        f.number(4);
      } else {
        return;
      }
    }
  }
  void on_answer() {
    note("answer correlation=" + shown(correlation_) + " id=" + shown(id_) + " outcome=" + shown(outcome_) +
         " body=" + shown(body_) + " reason=" + shown(reason_));
  }
  bool wait_for(int cls, int number) {
    while (read_frame())
      if (type_ == 1 && class_ == cls && method_ == number) return true;
    return false;
  }

  const Options& o_;
  std::string reply_;
  int fd_ = -1, type_ = 0, class_ = 0, method_ = 0;
  std::uint64_t left_ = 0;
  std::string body_, correlation_, id_, outcome_, reason_;
};

// ---- The HTTP client ------------------------------------------------------------------------------------

// One request on a connection of its own. Prints and notes the status, the headers and the body; with
// --within-ms it hangs up after that time, with --kb-per-s it reads no faster than that, as over a slower
// network. --body-kb sends a body of that many KiB, --body-to keeps the answer's. Exit 0 with an answer, 3
// without, 4 with one that ends before its Content-Length.
int http(const Options& o) {
  const std::string label = o.text("--label", "request");
  const std::string method = o.text("--method", "POST");
  std::string body = o.text("--body");
  for (long i = 0; i < o.number("--body-kb"); ++i) {
    std::string line = label + "-" + std::to_string(i) + "-";
    line.resize(1023, '.');
    body += line + "\n";
  }
  std::string head =
      method + " " + o.text("--path", "/") + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n";
  if (o.given.contains("--token")) head += "Authorization: Bearer " + o.text("--token") + "\r\n";
  for (const std::string& h : o.all("--header")) head += h + "\r\n";
  if (method == "POST") head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const long kb_per_s = o.number("--kb-per-s");
  const int fd = connect_to(static_cast<std::uint16_t>(o.number("--port")), kb_per_s > 0 ? 128 << 10 : 0);
  if (fd < 0) {
    note("no-connection label=" + label);
    std::printf("status=none\n");
    return 3;
  }
  note("sent label=" + label + " method=" + method + " path=" + shown(o.text("--path")) +
       " body=" + shown(body, 40) + " bytes=" + std::to_string(body.size()));
  send_all(fd, head + "\r\n" + body);
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(o.number("--within-ms", 30000));
  Bytes all;
  char buffer[4096];
  long pause_ms = o.number("--pause-ms");  // once, behind the first bytes of the answer
  while (true) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now()).count();
    pollfd p{fd, POLLIN, 0};
    if (left <= 0 || poll(&p, 1, static_cast<int>(left)) <= 0) break;
    const ssize_t n = recv(fd, buffer, sizeof buffer, 0);
    if (n <= 0) break;
    all.append(buffer, static_cast<std::size_t>(n));
    std::this_thread::sleep_for(std::chrono::milliseconds(std::exchange(pause_ms, 0)));
    if (kb_per_s > 0)
      std::this_thread::sleep_for(std::chrono::microseconds(n * 1'000'000 / (kb_per_s * 1024)));
  }
  close(fd);
  const std::size_t split = all.find("\r\n\r\n");
  if (split == std::string::npos) {
    note("no-answer label=" + label);
    std::printf("status=none\n");
    return 3;
  }
  const std::string status = all.substr(9, 3);
  std::string outcome, location;
  std::size_t length = 0;
  std::istringstream lines(all.substr(0, split));
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("Call-Outcome: ", 0) == 0) outcome = line.substr(14, line.find('\r') - 14);
    if (line.rfind("Content-Length: ", 0) == 0) length = std::stoul(line.substr(16));
    if (line.rfind("Location: ", 0) == 0) location = line.substr(10, line.find('\r') - 10);
  }
  const std::string got = all.substr(split + 4);
  if (FILE* to = o.given.contains("--body-to") ? std::fopen(o.text("--body-to").c_str(), "w") : nullptr) {
    std::fwrite(got.data(), 1, got.size(), to);
    std::fclose(to);
  }
  note("answer label=" + label + " status=" + status + " outcome=" + shown(outcome) +
       " location=" + shown(location) + " length=" + std::to_string(length) +
       " got=" + std::to_string(got.size()) + " body=" + shown(got, 160));
  std::printf("status=%s outcome=%s location=%s length=%zu got=%zu\n", status.c_str(), shown(outcome).c_str(),
              shown(location).c_str(), length, got.size());
  return got.size() < length ? 4 : 0;
}

// ---- The proxy ------------------------------------------------------------------------------------------

// Passes bytes on between its clients and --to, those towards --to at no more than --up-kb-per-s. SIGUSR1
// breaks all open connections, on both sides; what has not been passed on by then is lost.
std::mutex proxy_mutex;
std::set<std::pair<int, int>> proxy_pairs;

// `kb_per_s`, if over 0, is how fast bytes are taken from `from`.
void pass_on(int from, int to, long kb_per_s) {
  char buffer[16384];
  while (true) {
    const ssize_t n = recv(from, buffer, sizeof buffer, 0);
    if (n <= 0 || !send_all(to, Bytes(buffer, static_cast<std::size_t>(n)))) break;
    if (kb_per_s > 0)
      std::this_thread::sleep_for(std::chrono::microseconds(n * 1'000'000 / (kb_per_s * 1024)));
  }
  shutdown(from, SHUT_RDWR), shutdown(to, SHUT_RDWR);
}

int proxy(const Options& o) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::thread([signals] {
    int got = 0;
    while (sigwait(&signals, &got) == 0) {
      const std::lock_guard lock(proxy_mutex);
      note("reset connections=" + std::to_string(proxy_pairs.size()));
      for (const auto& [a, b] : proxy_pairs) {
        const linger hard{1, 0};
        for (const int fd : {a, b}) {
          setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
          shutdown(fd, SHUT_RDWR);
        }
      }
      proxy_pairs.clear();
    }
  }).detach();
  std::uint16_t got = 0;
  const int fd = listen_on(static_cast<std::uint16_t>(o.number("--port")), got);
  if (fd < 0) return 1;
  std::printf("listening %u\n", got);
  std::fflush(stdout);
  while (true) {
    const int client = accept(fd, nullptr, nullptr);
    if (client < 0) continue;
    const int server = connect_to(static_cast<std::uint16_t>(o.number("--to")));
    if (server < 0) {
      reset_and_close(client);
      continue;
    }
    {
      const std::lock_guard lock(proxy_mutex);
      proxy_pairs.emplace(client, server);
    }
    std::thread([client, server, up = o.number("--up-kb-per-s")] {
      std::thread back([client, server] { pass_on(server, client, 0); });
      pass_on(client, server, up);
      back.join();
      const std::lock_guard lock(proxy_mutex);
      proxy_pairs.erase({client, server});
      close(client), close(server);
    }).detach();
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::string what = argc > 1 ? argv[1] : "";
  const Options o(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  const std::string log = o.text("--log");
  log_file = log.empty() ? stderr : std::fopen(log.c_str(), "a");
  if (!log_file) return 2;
  if (what == "worker") return Worker(o).run(static_cast<std::uint16_t>(o.number("--port")));
  if (what == "amqp") return AmqpClient(o).run();
  if (what == "http") return http(o);
  if (what == "proxy") return proxy(o);
  std::fprintf(stderr, "usage: peer worker|amqp|http|proxy --option value ...\n");
  return 2;
}
