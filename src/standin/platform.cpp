#include "standin/platform.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "base/bytes.h"

namespace laureltide::standin {
namespace {

constexpr std::uint8_t kControllerMagic = 76, kInvokerMagic = 108;
constexpr std::uint8_t kOk = 97, kMiss = 99, kFull = 100, kError = 101, kHealthy = 103,
                       kUnhealthy = 104;  // answers
constexpr Duration kDripInterval = std::chrono::milliseconds(100);

// CRC-32 (IEEE), bit by bit from its definition.
std::uint32_t crc(std::string_view bytes) {
  std::uint32_t sum = 0xffffffff;
  for (const char c : bytes) {
    sum ^= static_cast<unsigned char>(c);
    for (int bit = 0; bit < 8; ++bit) sum = sum >> 1 ^ (sum & 1 ? 0xedb88320U : 0);
  }
  return ~sum;
}

std::string frame(std::uint8_t code, std::uint64_t id, std::string_view fields, std::string_view body) {
  std::string out;
  Writer w(out);
  w.u8(kInvokerMagic), w.u8(code);
  w.u16(static_cast<std::uint16_t>(fields.size()));
  w.u32(static_cast<std::uint32_t>(body.size()));
  w.u64(id);
  w.bytes(fields), w.bytes(body);
  w.u32(crc(std::string(fields) + std::string(body)));
  return out;
}

std::string value_of(const std::string& fields, const std::string& name) {
  const std::string all = "," + fields + ",";
  const std::size_t at = all.find("," + name + "=");
  if (at == std::string::npos) return {};
  const std::size_t from = at + name.size() + 2;
  return all.substr(from, all.find(',', from) - from);
}

}  // namespace

// ---- Invoker ------------------------------------------------------------------------------------------

class PlatformInvoker::Session : public io::ConnectionEvents {
 public:
  Session(PlatformInvoker& invoker, std::uint64_t number, std::unique_ptr<io::Connection> c)
      : number(number), connection(std::move(c)), invoker_(invoker) {}
  std::size_t on_bytes(std::string_view bytes) override {
    const Time now = invoker_.host_.now();
    const Duration idle = now - std::exchange(used_at, now);
    if (invoker_.reset_idle_after_ > Duration(0) && frames > 0 && idle > invoker_.reset_idle_after_)
      return connection.reset(), bytes.size();
    ++frames;
    std::size_t used = 0;
    while (connection && bytes.size() - used >= 20) {
      Reader in(bytes.substr(used));
      const bool marked = in.u8() == kControllerMagic;
      const std::uint8_t code = in.u8();
      const std::size_t fields = in.u16(), body = in.u32();
      const std::uint64_t id = in.u64();
      if (!marked) return connection.reset(), bytes.size();
      if (in.left() < fields + body + 4) break;
      std::string f(in.take(fields)), b(in.take(body));
      if (in.u32() != crc(f + b)) return connection.reset(), bytes.size();
      used += 20 + fields + body;
      invoker_.on_frame(*this, code, id, std::move(f), std::move(b));
    }
    return used;
  }
  void on_closed(io::CloseReason) override {
    const auto it = invoker_.sessions_.find(number);
    if (it == invoker_.sessions_.end()) return;
    connection.reset();
    invoker_.dead_.push_back(std::move(it->second));
    invoker_.sessions_.erase(it);
  }
  const std::uint64_t number;
  std::unique_ptr<io::Connection> connection;
  Time used_at{};
  std::size_t frames = 0;

 private:
  PlatformInvoker& invoker_;
};

PlatformInvoker::PlatformInvoker(io::Host& host, Options options)
    : host_(host), options_(std::move(options)) {}
PlatformInvoker::~PlatformInvoker() = default;

bool PlatformInvoker::start() {
  listener_ = host_.listen(options_.address, {}, [this](std::unique_ptr<io::Connection> c) {
    const std::uint64_t number = next_session_++;
    sessions_[number] = std::make_unique<Session>(*this, number, std::move(c));
    return sessions_[number].get();
  });
  return listener_ != nullptr;
}

void PlatformInvoker::stop() {
  listener_.reset();
  for (auto& [number, session] : std::exchange(sessions_, {})) {
    session->connection.reset();
    dead_.push_back(std::move(session));
  }
  instances_.clear();
}

int PlatformInvoker::instances(const std::string& function) const {
  const auto it = instances_.find(function);
  return it == instances_.end() ? 0 : it->second;
}

void PlatformInvoker::run_later(Duration delay, std::function<void()> action) {
  timers_.push_back(host_.timer(std::move(action)));
  timers_.back()->start(delay);
}

void PlatformInvoker::on_frame(Session& session, std::uint8_t code, std::uint64_t id, std::string fields,
                               std::string body) {
  const auto to = [this, number = session.number] { return this->session(number); };
  switch (code) {
    case 65: return take_call(session, id, fields, std::move(body));
    case 66:
      for (ReceivedCall& call : calls_)
        if (call.id == id) call.cancelled = true;
      return;
    case 67:
    case 68:
      ++probes_;
      return answer(to(), draining_ ? kUnhealthy : kHealthy, id,
                    options_.load_report.empty() ? "" : "load=" + options_.load_report, "");
    case 69: {
      ++orders_;
      const std::string function = value_of(fields, "k");
      const int wanted = std::atoi(value_of(fields, "units").c_str());
      if (draining_ && wanted > 0) {
        sent_while_draining_.push_back({host_.now(), code});
        return answer(to(), kFull, id, "units=" + std::to_string(instances(function)), "");
      }
      int all = 0;
      for (const auto& [name, n] : instances_) all += n;
      const int more = std::max(0, wanted - instances(function));
      const bool room = all + more <= options_.max_instances;
      return run_later(more > 0 && room ? options_.load : Duration(0), [this, to, id, function, more, room] {
        if (room) instances_[function] += more;
        answer(to(), room ? 97 : 100, id, "units=" + std::to_string(instances(function)), "");
      });
    }
    case 71: ++unloads_; return;
    default: return;
  }
}

PlatformInvoker::Session* PlatformInvoker::session(std::uint64_t number) {
  const auto it = sessions_.find(number);
  return it == sessions_.end() ? nullptr : it->second.get();
}

void PlatformInvoker::take_call(Session& session, std::uint64_t id, const std::string& fields,
                                std::string body) {
  const bool first = refuse_first_ != 0 &&
                     std::none_of(calls_.begin(), calls_.end(), [&](const auto& s) { return s.id == id; });
  calls_.push_back({id, fields, std::move(body), false, false, host_.now()});
  const std::size_t index = calls_.size() - 1;
  duplicate_refusals(id);
  if (draining_) {
    sent_while_draining_.push_back({host_.now(), 65});
    return answer(&session, kFull, id, "", "");
  }
  if (fixed_answer_ != 0) return answer(&session, fixed_answer_, id, "", "");
  if (!known_functions_.empty() && !known_functions_.contains(value_of(fields, "k")))
    return answer(&session, kError, id, "", "");
  if (first) return answer(&session, refuse_first_, id, "", "");
  if (refuse_some_ != 0 && random_unit() < refused_share_) return answer(&session, refuse_some_, id, "", "");
  if (instances(value_of(fields, "k")) == 0) return answer(&session, kMiss, id, "", "");
  calls_[index].ran = true;
  const std::string load = options_.load_report.empty() ? "" : ",load=" + options_.load_report;
  run_later(options_.run, [this, number = session.number, id, index, load] {
    if (!calls_[index].cancelled)
      answer(this->session(number), kOk, id, "ahead=2" + load, "answer to " + calls_[index].body);
  });
}

void PlatformInvoker::duplicate_refusals(std::uint64_t id) {
  if (!duplicate_at_next_attempt_) return;
  const auto [begin, end] = refused_.equal_range(id);
  for (auto it = begin; it != end; ++it) {
    Session* const earlier = session(it->second.session);
    if (!earlier || !earlier->connection) continue;
    earlier->connection->write(it->second.bytes);
    ++duplicates_sent_;
  }
}

void PlatformInvoker::duplicate_later(Session& session, std::string bytes) {
  if (duplicates_.share <= 0 || random_unit() >= duplicates_.share) return;
  const double part = random_unit();
  const Duration span = duplicates_.max_delay - duplicates_.min_delay;
  const Duration after =
      duplicates_.min_delay + Duration(static_cast<Duration::rep>(part * static_cast<double>(span.count())));
  run_later(after, [this, number = session.number, bytes = std::move(bytes)] {
    Session* const to = this->session(number);
    if (!to || !to->connection) return;
    to->connection->write(bytes);
    ++duplicates_sent_;
  });
}

void PlatformInvoker::answer(Session* session, std::uint8_t code, std::uint64_t id, std::string fields,
                             std::string body) {
  if (!session || !session->connection) return;
  InjectedFault fault = InjectedFault::kNone;
  if (code == 97 && !body.empty() && !faults_.empty()) fault = faults_.front(), faults_.pop_front();
  io::Connection& out = *session->connection;
  session->used_at = host_.now();
  std::string bytes = frame(code, id, fields, body);
  switch (fault) {
    case InjectedFault::kNone:
      if (duplicate_at_next_attempt_ && code != kOk) refused_.emplace(id, Refused{session->number, bytes});
      out.write(bytes);
      return duplicate_later(*session, std::move(bytes));
    case InjectedFault::kBadChecksum:
      bytes.back() = static_cast<char>(bytes.back() ^ 1);
      return out.write(bytes);
    case InjectedFault::kBadMagic: return out.write("HTTP/1.1 200 OK\r\n\r\n");
    case InjectedFault::kOversized: {
      std::string head;
      Writer w(head);
      w.u8(kInvokerMagic), w.u8(97), w.u16(0), w.u32(3'000'000'000U), w.u64(id);
      return out.write(head + std::string(100'000, 'x'));
    }
    case InjectedFault::kTruncated: out.write(bytes.substr(0, bytes.size() / 2)); return out.finish();
    case InjectedFault::kNoAnswer: return;
    case InjectedFault::kReset: return session->connection.reset();
    case InjectedFault::kDuplicate: return out.write(bytes + bytes);
    case InjectedFault::kUnknownIdFirst: return out.write(frame(97, id ^ 0xffff, "", "nobody's") + bytes);
  }
}

// ---- Event bus ----------------------------------------------------------------------------------------

std::string platform_event(std::uint64_t offset, bool complete, const std::vector<PlatformMember>& members) {
  nlohmann::json list = nlohmann::json::array();
  for (const PlatformMember& m : members)
    list.push_back({{"id", m.id},
                    {"host_port", m.address.text()},
                    {"locality", "yard"},
                    {"flavor", "std"},
                    {"cell", m.cell},
                    {"phase", m.phase},
                    {"size", 4},
                    {"up_since_ms", m.up_since_ms}});
  return nlohmann::json{
      {"offset", offset},
      {"topology", {{"revision", offset}, {"complete", complete}, {"members", std::move(list)}}}}
      .dump();
}

class PlatformBus::Session : public io::ConnectionEvents {
 public:
  Session(PlatformBus& bus, std::unique_ptr<io::Connection> c) : connection(std::move(c)), bus_(bus) {}
  std::size_t on_bytes(std::string_view bytes) override {
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string_view::npos) return 0;
    ++bus_.requests_;
    const std::size_t at = bytes.find("Last-Event-ID: ");
    const auto from = at == std::string_view::npos
                          ? 0
                          : std::strtoull(std::string(bytes.substr(at + 15, 20)).c_str(), nullptr, 10);
    bus_.last_requested_from_ = from;
    if (from == 0 && bus_.healed_) bus_.skip_ = 0;
    if (bus_.requests_to_ignore_ > 0) return --bus_.requests_to_ignore_, end + 4;
    if (bus_.answer_after_ == Duration(0)) return answer(from), end + 4;
    answer_timer_ = bus_.host_.timer([this, from] { answer(from); });
    answer_timer_->start(bus_.answer_after_);
    return end + 4;
  }
  void on_closed(io::CloseReason) override { connection.reset(), following = false; }
  std::unique_ptr<io::Connection> connection;
  bool following = false;

 private:
  void answer(std::uint64_t from) {
    if (!connection) return;
    connection->write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    following = true;
    if (bus_.outage_ != Outage::kNone) return;
    for (std::uint64_t n = from + 1; n <= bus_.events_.size() && connection; ++n) bus_.send(*this, n);
  }
  PlatformBus& bus_;
  std::unique_ptr<io::Timer> answer_timer_;
};

PlatformBus::PlatformBus(io::Host& host, io::Address address) : host_(host), address_(std::move(address)) {
  comment_ = host.timer([this] {
    comment_->start(std::chrono::seconds(1));
    if (silent_ || outage_ != Outage::kNone) return;
    for (const auto& s : sessions_)
      if (s->connection && s->following) s->connection->write(":\n\n");
  });
  drip_ = host.timer([this] {
    if (outage_ != Outage::kDripping) return;
    drip_->start(kDripInterval);
    for (const auto& s : sessions_)
      if (s->connection && s->following) s->connection->write(":");
  });
  comment_->start(std::chrono::seconds(1));
}
PlatformBus::~PlatformBus() = default;

bool PlatformBus::start() {
  listener_ = host_.listen(address_, {}, [this](std::unique_ptr<io::Connection> c) {
    return sessions_.insert(std::make_unique<Session>(*this, std::move(c))).first->get();
  });
  if (listener_) address_ = listener_->address();  // keeps the port over a restart
  return listener_ != nullptr;
}

void PlatformBus::set_outage(Outage outage) {
  outage_ = outage;
  drip_->start(kDripInterval);
  if (outage != Outage::kNone) return;
  for (const auto& s : sessions_) s->connection.reset(), s->following = false;
}

void PlatformBus::stop() {
  listener_.reset();
  for (const auto& s : sessions_) s->connection.reset(), s->following = false;
}

std::uint64_t PlatformBus::publish(const std::vector<PlatformMember>& members) {
  return publish_raw(platform_event(events_.size() + 1, events_.empty(), members));
}
std::uint64_t PlatformBus::publish_full_list(const std::vector<PlatformMember>& members) {
  return publish_raw(platform_event(events_.size() + 1, true, members));
}

std::uint64_t PlatformBus::publish_raw(std::string event) {
  events_.push_back(std::move(event));
  for (const auto& s : sessions_)
    if (s->connection && s->following && !silent_ && outage_ == Outage::kNone) send(*s, events_.size());
  return events_.size();
}

void PlatformBus::send(Session& session, std::uint64_t offset) {
  if (offset == skip_) return;
  const std::string text = "id: " + std::to_string(offset) + "\ndata: " + events_[offset - 1] + "\n\n";
  if (std::exchange(truncate_next_, false)) {
    session.connection->write(text.substr(0, text.size() / 2));
    session.connection->finish();
    session.following = false;
    return;
  }
  session.connection->write(duplicate_events_ ? text + text : text);
}

std::string PlatformBus::known() const {
  std::string list;
  for (const std::string& e : events_) list += (list.empty() ? "" : ",") + e;
  return "{\"offset\":" + std::to_string(events_.size()) + ",\"batch\":[" + list + "]}";
}

// ---- Client -------------------------------------------------------------------------------------------

namespace {

void put_text(Writer& w, std::string_view text) {
  w.u32(static_cast<std::uint32_t>(text.size()));
  w.bytes(text);
}
std::string framed(const std::string& message) {
  std::string out;
  Writer w(out);
  put_text(w, message);
  return out;
}
std::string head(const char* method, std::uint8_t type, std::int32_t number) {
  std::string out;
  Writer w(out);
  w.u32(0x80010000U | type);
  put_text(w, method);
  w.u32(static_cast<std::uint32_t>(number));
  return out;
}

}  // namespace

PlatformClient::PlatformClient(io::Host& host, const io::Address& to)
    : connection_(host.connect(to, {}, *this)) {}

std::string PlatformClient::call_bytes(std::int32_t number, const std::map<std::string, std::string>& fields,
                                       const std::string& body) {
  std::string m = head("call", 1, number);
  Writer w(m);
  w.u8(13), w.u16(1), w.u8(11), w.u8(11), w.u32(static_cast<std::uint32_t>(fields.size()));
  for (const auto& [name, value] : fields) put_text(w, name), put_text(w, value);
  w.u8(11), w.u16(2), put_text(w, body);
  w.u8(0);
  return framed(m);
}

std::int32_t PlatformClient::call(const std::map<std::string, std::string>& fields, const std::string& body) {
  raw(call_bytes(next_, fields, body));
  return next_++;
}

void PlatformClient::cancel(std::int32_t number) {
  std::string m = head("cancel", 4, next_++);
  Writer w(m);
  w.u8(8), w.u16(1), w.u32(static_cast<std::uint32_t>(number)), w.u8(0);
  raw(framed(m));
}

void PlatformClient::health() {
  std::string m = head("health", 1, next_++);
  Writer w(m);
  w.u8(2), w.u16(1), w.u8(0), w.u8(0);
  raw(framed(m));
}

void PlatformClient::raw(std::string_view bytes) {
  if (!connection_) return;
  if (open_)
    connection_->write(bytes);
  else
    unsent_ += bytes;
}

void PlatformClient::on_open() {
  open_ = true;
  if (!unsent_.empty()) connection_->write(unsent_);
  unsent_.clear();
}

std::size_t PlatformClient::on_bytes(std::string_view bytes) {
  std::size_t used = 0;
  while (bytes.size() - used >= 4) {
    Reader in(bytes.substr(used));
    const std::uint32_t size = in.u32();
    if (in.left() < size) break;
    read(in.take(size));
    used += 4 + size;
  }
  return used;
}

// Reads only the fields that answers of the service can have.
void PlatformClient::read(std::string_view frame) {
  Reader in(frame);
  const std::uint32_t version = in.u32();
  const std::string method(in.take(in.u32()));
  const auto number = static_cast<std::int32_t>(in.u32());
  Reply reply;
  if ((version & 0xff) == 3) {
    reply.kind = "exception";
  } else {
    in.u8();  // a structure
    const std::uint16_t which = in.u16();
    reply.kind = method == "health" ? "health" : which == 0 ? "served" : which == 1 ? "refused" : "failed";
    for (std::uint8_t type = in.u8(); type != 0 && in.ok(); type = in.u8()) {
      in.u16();
      if (type == 11) reply.body = in.take(in.u32());
      if (type == 2) reply.good = in.u8() != 0;
      if (type != 13) continue;
      in.u8(), in.u8();
      for (std::uint32_t n = in.u32(); n > 0 && in.ok(); --n) {
        const std::string name(in.take(in.u32())), value(in.take(in.u32()));
        if (name == "pushback") reply.pushback = value;
      }
    }
  }
  replies_.emplace(number, std::move(reply));
}

}  // namespace laureltide::standin
