// The stand-ins of the review's cases that the project does not have: clients that play a plan and note what
// they send and get, and a worker whose results come in pieces. All of them speak the project's own codecs,
// so that they follow its pages.
//
//   review-peers amqp --broker PORT --record FILE --for SECONDS [--result-kb N]      plan on standard input
//   review-peers http --gateway PORT --token TOKEN --record FILE --for SECONDS [--read-kb-per-s N]
//   review-peers worker --id N --port PORT --record FILE [--work-ms N] [--pieces N] [--result-kb N]
//                       [--load-on-miss 1]
//
// A line of the plan: AT_MS NAME FUNCTION PATIENCE_MS (0: none is said). The record gets lines of JSON; `t`
// is the machine's steady clock in ns.
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "apps/tools.h"
#include "http/message.h"
#include "net/loop.h"
#include "standin/caller.h"
#include "worker/server.h"

namespace lt = laureltide;
using namespace std::chrono_literals;

namespace {

std::map<std::string, std::string> parse_options(int argc, char** argv) {
  std::map<std::string, std::string> options;
  for (int i = 2; i + 1 < argc; i += 2) options[std::string(argv[i]).substr(2)] = argv[i + 1];
  return options;
}
double number(const std::map<std::string, std::string>& options, const std::string& name, double otherwise) {
  const auto it = options.find(name);
  return it == options.end() ? otherwise : std::stod(it->second);
}
lt::Duration seconds(double s) {
  return std::chrono::duration_cast<lt::Duration>(std::chrono::duration<double>(s));
}

struct Planned {
  int at_ms = 0;
  std::string name, function;
  std::uint64_t patience_ms = 0;
};
std::vector<Planned> read_plan() {
  std::vector<Planned> plan;
  for (Planned p; std::cin >> p.at_ms >> p.name >> p.function >> p.patience_ms;) plan.push_back(p);
  return plan;
}

// What the function of a call makes of the call: every worker gives the same.
std::string result_of(const std::string& body, std::size_t bytes) {
  std::string result;
  for (std::size_t i = 0; result.size() < bytes; ++i) result += body + "#" + std::to_string(i) + ";";
  return result;
}

// ---- AMQP client --------------------------------------------------------------------------------------

int run_amqp(const std::map<std::string, std::string>& options) {
  lt::net::Loop loop;
  lt::apps::FileTape record(options.at("record"));
  lt::standin::CallerOptions to;
  to.broker = {"127.0.0.1", static_cast<std::uint16_t>(number(options, "broker", 0))};
  lt::standin::Caller caller(loop, to, record);
  const auto result_bytes = static_cast<std::size_t>(1024 * number(options, "result-kb", 0));
  if (result_bytes > 0)  // the workers are those of this program
    caller.on_answer = [&](const std::string& call, const lt::standin::Caller::Answered& answer) {
      if (answer.outcome != "served") return;
      const std::string expected = result_of("body of " + call, result_bytes);
      record.note(loop.now(), answer.body == expected ? "right_result" : "wrong_result",
                  {{"call", call}, {"bytes", answer.body.size()}, {"expected_bytes", expected.size()}});
    };
  const std::vector<Planned> plan = read_plan();
  std::vector<std::unique_ptr<lt::io::Timer>> timers;
  std::unique_ptr<lt::io::Timer> begin;
  begin = loop.timer([&] {
    if (!caller.ready()) return begin->start(10ms);
    std::cout << "ready" << std::endl;
    for (const Planned& p : plan) {
      timers.push_back(loop.timer([&, p] {
        lt::standin::CallToMake call{p.name, p.function, {}, {}, {}, "body of " + p.name, {}, true};
        if (p.patience_ms > 0) call.patience_ms = p.patience_ms;
        caller.call(call);
      }));
      timers.back()->start(std::chrono::milliseconds(p.at_ms));
    }
  });
  begin->start(lt::Duration(0));
  auto end = loop.timer([&] { loop.stop(); });
  end->start(seconds(number(options, "for", 10)));
  loop.on_signal(SIGTERM, [&] { loop.stop(); });
  loop.run();
  return 0;
}

// ---- HTTP client --------------------------------------------------------------------------------------

// One plain call over a connection of its own, read no faster than `bytes_per_s`.
class HttpCall : public lt::io::ConnectionEvents {
 public:
  HttpCall(lt::net::Loop& loop, const lt::io::Address& to, const std::string& token, const Planned& plan,
           double bytes_per_s, lt::standin::Tape& record)
      : loop_(loop),
        plan_(plan),
        bytes_per_s_(bytes_per_s),
        record_(record),
        pace_(loop.timer([this] { read_on(); })) {
    lt::http::Request request;
    request.method = "POST";
    request.target = "/v1/functions/" + plan.function + "/calls";
    request.headers.add("Host", "gateway");
    request.headers.add("Authorization", "Bearer " + token);
    request.headers.add("Call-Deadline-Ms", std::to_string(plan.patience_ms));
    request.body = "body of " + plan.name;
    lt::http::write(out_, request);
    lt::http::Limits limits;
    limits.max_body_bytes = 64U << 20;
    parser_ = std::make_unique<lt::http::Parser>(lt::http::Parser::Side::kResponse, limits);
    record_.note(loop_.now(), "sent", {{"call", plan.name}, {"patience_ms", plan.patience_ms}});
    lt::io::StreamOptions stream;
    stream.read_ahead = 64U << 10;
    connection_ = loop.connect(to, stream, *this);
  }
  void on_open() override { connection_->write(out_); }
  std::size_t on_bytes(std::string_view bytes) override {
    const std::size_t n = std::min<std::size_t>(bytes.size(), 64U << 10);
    got_ += n;
    if (!begun_) {
      begun_ = true;
      record_.note(loop_.now(), "answer_begins", {{"call", plan_.name}});
    }
    std::size_t used = 0;
    const auto state = parser_->feed(bytes.substr(0, n), used);
    if (state == lt::http::Parser::State::kDone) end("");
    if (state == lt::http::Parser::State::kInvalid) end("cannot be read: " + parser_->why());
    if (bytes_per_s_ > 0 && !ended_) {
      connection_->read(false);
      pace_->start(seconds(static_cast<double>(n) / bytes_per_s_));
    }
    return n;
  }
  void on_closed(lt::io::CloseReason) override { end("the connection ended"); }
  bool ended() const { return ended_; }

 private:
  void read_on() {
    if (!ended_) connection_->read(true);
  }
  void end(const std::string& why) {
    if (std::exchange(ended_, true)) return;
    const std::string* outcome = parser_->headers().find("Call-Outcome");
    const std::string expected = result_of("body of " + plan_.name, parser_->body().size());
    record_.note(loop_.now(), why.empty() ? "answer" : "no_whole_answer",
                 {{"call", plan_.name},
                  {"status", parser_->status()},
                  {"outcome", outcome ? *outcome : ""},
                  {"bytes", got_},
                  {"right", parser_->status() != 200 || parser_->body() == expected},
                  {"why", why}});
  }

  lt::net::Loop& loop_;
  Planned plan_;
  double bytes_per_s_;
  lt::standin::Tape& record_;
  std::unique_ptr<lt::io::Timer> pace_;
  std::unique_ptr<lt::http::Parser> parser_;
  std::unique_ptr<lt::io::Connection> connection_;
  std::string out_;
  std::size_t got_ = 0;
  bool begun_ = false, ended_ = false;
};

int run_http(const std::map<std::string, std::string>& options) {
  lt::net::Loop loop;
  lt::apps::FileTape record(options.at("record"));
  const lt::io::Address to{"127.0.0.1", static_cast<std::uint16_t>(number(options, "gateway", 0))};
  const double rate = 1024 * number(options, "read-kb-per-s", 0);
  const std::vector<Planned> plan = read_plan();
  std::vector<std::unique_ptr<lt::io::Timer>> timers;
  std::vector<std::unique_ptr<HttpCall>> calls;
  for (const Planned& p : plan) {
    timers.push_back(loop.timer([&, p] {
      calls.push_back(std::make_unique<HttpCall>(loop, to, options.at("token"), p, rate, record));
    }));
    timers.back()->start(std::chrono::milliseconds(p.at_ms));
  }
  std::unique_ptr<lt::io::Timer> check;
  check = loop.timer([&] {
    if (calls.size() == plan.size() &&
        std::all_of(calls.begin(), calls.end(), [](const auto& c) { return c->ended(); }))
      return loop.stop();
    check->start(20ms);
  });
  check->start(20ms);
  auto end = loop.timer([&] { loop.stop(); });
  end->start(seconds(number(options, "for", 10)));
  loop.run();
  return 0;
}

// ---- Worker -------------------------------------------------------------------------------------------

// Holds an instance of every function that it is told to hold, runs calls for `work` each, and sends a result
// in `pieces` parts, the last of them in the answer.
class Worker : public lt::worker::SessionEvents {
 public:
  Worker(lt::net::Loop& loop, const std::map<std::string, std::string>& options, lt::standin::Tape& record)
      : loop_(loop),
        record_(record),
        id_(static_cast<std::uint32_t>(number(options, "id", 1))),
        work_(std::chrono::milliseconds(static_cast<int>(number(options, "work-ms", 100)))),
        pieces_(static_cast<std::size_t>(number(options, "pieces", 1))),
        result_bytes_(static_cast<std::size_t>(1024 * number(options, "result-kb", 0.1))),
        load_on_miss_(number(options, "load-on-miss", 0) != 0),
        started_(loop.unix_ms()) {
    const lt::io::Address at{"127.0.0.1", static_cast<std::uint16_t>(number(options, "port", 0))};
    lt::io::StreamOptions stream;
    stream.read_ahead = 10U << 20;
    listener_ = loop_.listen(at, stream, [this](std::unique_ptr<lt::io::Connection> connection) {
      lt::worker::Hello hello;
      hello.id = id_, hello.started_unix_ms = started_, hello.name = "w" + std::to_string(id_);
      sessions_.push_back(std::make_unique<lt::worker::Session>(loop_, hello, *this));
      sessions_.back()->attach(std::move(connection));
      return sessions_.back().get();
    });
  }
  bool listening() const { return listener_ != nullptr; }
  std::uint16_t port() const { return listener_->address().port; }

  void on_hello(lt::worker::Session&, const lt::worker::Hello&) override {}
  void on_end(lt::worker::Session&) override {}  // the few sessions of a case are kept
  void on_message(lt::worker::Session& session, lt::worker::Message message) override {
    if (const auto* call = std::get_if<lt::worker::Call>(&message)) return on_call(session, *call);
    if (const auto* hold = std::get_if<lt::worker::Hold>(&message)) {
      if (hold->instances > 0) held_.insert(hold->function);
      return session.send(lt::worker::Held{hold->order, lt::worker::HeldKind::kOk,
                                           static_cast<std::uint8_t>(held_.count(hold->function))});
    }
    if (const auto* release = std::get_if<lt::worker::Release>(&message)) held_.erase(release->function);
    if (const auto* probe = std::get_if<lt::worker::Probe>(&message))
      session.send(lt::worker::Probed{probe->id, report()});
  }

 private:
  struct Job {
    lt::worker::Session* session = nullptr;
    std::uint64_t id = 0;
    std::string name, result;
    std::size_t sent = 0, piece = 0;
    std::uint8_t others = 0;
    std::unique_ptr<lt::io::Timer> timer;
  };
  lt::worker::Report report() const {
    return {{{static_cast<std::uint8_t>(lt::worker::ReportField::kInProgress),
              static_cast<float>(jobs_.size())}}};
  }
  void on_call(lt::worker::Session& session, const lt::worker::Call& call) {
    record_.note(loop_.now(), "call",
                 {{"worker", id_}, {"call", call.name}, {"function", call.function}, {"body", call.body}});
    if (load_on_miss_) held_.insert(call.function);
    if (!held_.contains(call.function)) {
      lt::worker::Answer miss;
      miss.id = call.id, miss.kind = lt::worker::AnswerKind::kMiss, miss.report = report();
      return session.send(miss);
    }
    auto job = std::make_unique<Job>();
    job->session = &session, job->id = call.id, job->name = call.name;
    job->result = result_of(call.body, result_bytes_);
    job->timer = loop_.timer([this, raw = job.get()] { on_step(*raw); });
    job->timer->start(work_ / pieces_);
    jobs_.push_back(std::move(job));
  }
  void on_step(Job& job) {
    ++job.piece;
    const std::size_t until = job.result.size() * job.piece / pieces_;
    const std::string part = job.result.substr(job.sent, until - job.sent);
    job.sent = until;
    if (job.piece < pieces_) {
      job.session->send(lt::worker::Piece{job.id, part});
      return job.timer->start(work_ / pieces_);
    }
    record_.note(loop_.now(), "ran", {{"worker", id_}, {"call", job.name}});
    lt::worker::Answer answer;
    answer.id = job.id, answer.body = part, answer.found = lt::worker::FoundKind::kLoaded;
    answer.others_in_flight = job.others, answer.report = report();
    job.session->send(answer);
    const auto it = std::find_if(jobs_.begin(), jobs_.end(), [&](const auto& j) { return j.get() == &job; });
    done_.push_back(std::move(*it));  // its timer is running this
    jobs_.erase(it);
    if (done_.size() > 64) done_.pop_front();
  }

  lt::net::Loop& loop_;
  lt::standin::Tape& record_;
  std::uint32_t id_;
  lt::Duration work_;
  std::size_t pieces_, result_bytes_;
  bool load_on_miss_;
  std::int64_t started_;
  std::unique_ptr<lt::io::Listener> listener_;
  std::vector<std::unique_ptr<lt::worker::Session>> sessions_;
  std::set<std::string> held_;
  std::vector<std::unique_ptr<Job>> jobs_;
  std::deque<std::unique_ptr<Job>> done_;
};

int run_worker(const std::map<std::string, std::string>& options) {
  lt::net::Loop loop;
  lt::apps::FileTape record(options.at("record"));
  Worker worker(loop, options, record);
  if (!worker.listening()) return 1;
  std::cout << "listening " << worker.port() << std::endl;
  auto end = loop.timer([&] { loop.stop(); });
  end->start(seconds(number(options, "for", 120)));
  loop.on_signal(SIGTERM, [&] { loop.stop(); });
  loop.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string what = argc > 1 ? argv[1] : "";
  try {
    const auto options = parse_options(argc, argv);
    if (what == "amqp") return run_amqp(options);
    if (what == "http") return run_http(options);
    if (what == "worker") return run_worker(options);
  } catch (const std::exception& e) {
    std::cerr << "review-peers: " << e.what() << '\n';
    return 2;
  }
  std::cerr << "review-peers: amqp, http or worker\n";
  return 2;
}
