// The benchmark's traffic sources and sinks, and the bare relay that the gateway is compared with. See
// bench/run.
//
//   firehose: a broker (mode amqp) or a source of blocks of equal size (mode raw). Keeps a number of calls
//             outstanding or sends at a fixed rate, and measures round trips.
//   worker:   answers each call (mode amqp) or each block (mode raw) at once, or after --delay-ms.
//   relay:    forwards bytes between the two without any decision.
//   clients:  many connections with one outstanding call each, over HTTP (mode http) or as blocks (mode raw),
//             to a gateway or to a listening relay.
//   fill:     writes a ledger with a number of records, for measuring the time of a restart.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <csignal>
#include <deque>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "amqp/endpoint.h"
#include "http/message.h"
#include "ledger/call_ledger.h"
#include "net/loop.h"
#include "store/lmdb.h"
#include "worker/server.h"

namespace lt = laureltide;
using namespace std::chrono_literals;

namespace {

struct Options {
  std::string mode = "amqp";
  std::uint16_t port = 0;
  std::vector<std::uint16_t> worker_ports;
  std::size_t outstanding = 200, body_bytes = 200, functions = 300, workers = 14;
  double rate = 0, seconds = 5, warmup_s = 3, delay_ms = 0;
  std::size_t request_bytes = 400, answer_bytes = 400;
  bool hold_only = false, listen = false, keys = false;
  std::string directory;
  std::size_t records = 1000;
};

double cpu_seconds(int pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(in)), {});
  std::istringstream rest(text.substr(text.rfind(')') + 2));
  std::string skip;
  for (int i = 0; i < 11; ++i) rest >> skip;
  double user = 0, system = 0;
  rest >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// Base of all traffic sources: decides when to send and measures the round trips.
class LoadSource {
 public:
  LoadSource(lt::net::Loop& loop, const Options& o)
      : loop_(loop), o_(o), tick_(loop.timer([this] { tick(); })) {}
  virtual ~LoadSource() = default;
  void begin() {
    start_ = next_ = loop_.now();
    tick();
  }
  void on_answer(std::uint64_t number) {
    const lt::Time now = loop_.now();
    --in_flight_;
    if (now - start_ > warmup()) {
      if (answered_++ == 0) measured_from_ = now;
      if (number < sent_at_.size())
        latencies_ms_.push_back(std::chrono::duration<double, std::milli>(now - sent_at_[number]).count());
      measured_to_ = now;
    }
    if (o_.rate <= 0) send_up_to_limit();
  }
  nlohmann::json result() {
    std::sort(latencies_ms_.begin(), latencies_ms_.end());
    auto quantile = [&](double p) {
      return latencies_ms_.empty()
                 ? 0
                 : latencies_ms_[static_cast<std::size_t>(p * static_cast<double>(latencies_ms_.size() - 1))];
    };
    const double measured_seconds = std::chrono::duration<double>(measured_to_ - measured_from_).count();
    return {{"calls", answered_},
            {"per_s", measured_seconds > 0 ? static_cast<double>(answered_) / measured_seconds : 0},
            {"p50_ms", quantile(0.5)},
            {"p99_ms", quantile(0.99)},
            {"p999_ms", quantile(0.999)},
            {"sent", sent_at_.size()}};
  }
  lt::Duration warmup() const {
    return std::chrono::duration_cast<lt::Duration>(std::chrono::duration<double>(o_.warmup_s));
  }

 protected:
  virtual void send(std::uint64_t number) = 0;
  virtual void flush() = 0;
  void send_one() {
    sent_at_.push_back(loop_.now());
    ++in_flight_;
    send(sent_at_.size() - 1);
  }
  void send_up_to_limit() {
    bool any = false;
    while (in_flight_ < o_.outstanding) send_one(), any = true;
    if (any) flush();
  }
  void tick() {
    if (o_.rate <= 0) {
      send_up_to_limit();
    } else {
      const lt::Time now = loop_.now();
      while (next_ <= now) {
        if (in_flight_ < o_.outstanding) send_one();
        next_ += std::chrono::duration_cast<lt::Duration>(std::chrono::duration<double>(1 / o_.rate));
      }
      flush();
      tick_->start(std::max<lt::Duration>(next_ - loop_.now(), 0ns));
    }
  }

  lt::net::Loop& loop_;
  const Options& o_;

 private:
  std::unique_ptr<lt::io::Timer> tick_;
  lt::Time start_{}, next_{}, measured_from_{}, measured_to_{};
  std::vector<lt::Time> sent_at_;
  std::vector<double> latencies_ms_;
  std::size_t in_flight_ = 0, answered_ = 0;
};

// A broker with one consumer, kept minimal so that it costs little itself: writes deliveries directly to the
// connection and only counts the answers.
class AmqpSource : public LoadSource, public lt::amqp::EndpointEvents {
 public:
  AmqpSource(lt::net::Loop& loop, const Options& o) : LoadSource(loop, o) {
    listener_ = loop.listen({"127.0.0.1", o.port}, {}, [this](std::unique_ptr<lt::io::Connection> c) {
      lt::amqp::EndpointOptions e;
      e.heartbeat_s = 0;
      endpoint_ = std::make_unique<lt::amqp::Endpoint>(loop_, lt::amqp::Endpoint::Role::kServer, e, *this);
      broker_connection_ = c.get();
      endpoint_->attach(std::move(c));
      return endpoint_.get();
    });
    body_.assign(o.body_bytes, 'b');
  }
  std::uint16_t port() const { return listener_->address().port; }
  void on_ready() override {}
  void on_method(std::uint16_t channel, const lt::amqp::Method& m) override {
    using namespace lt::amqp;
    if (std::holds_alternative<BasicQos>(m)) endpoint_->send(channel, BasicQosOk{});
    if (std::holds_alternative<TxSelect>(m)) endpoint_->send(channel, TxSelectOk{});
    if (std::holds_alternative<ConfirmSelect>(m)) endpoint_->send(channel, ConfirmSelectOk{});
    if (std::holds_alternative<TxCommit>(m)) endpoint_->send(channel, TxCommitOk{});
    if (std::holds_alternative<BasicConsume>(m)) endpoint_->send(channel, BasicConsumeOk{"c"}), begin();
  }
  void on_content(std::uint16_t, const lt::amqp::Method&, lt::amqp::Content content) override {
    on_answer(std::strtoull(content.properties.correlation_id.value_or("0").c_str(), nullptr, 10));
  }
  void on_channel_closed(std::uint16_t, std::uint16_t, const std::string&) override {}
  void on_ended(const std::string&) override {}

 protected:
  void send(std::uint64_t number) override {
    lt::amqp::Properties p;
    const std::string name = std::to_string(number);
    p.type = "f-" + std::to_string(number % o_.functions), p.message_id = name, p.correlation_id = name,
    p.reply_to = "answers";
    lt::amqp::write_content(out_, 1, lt::amqp::BasicDeliver{"c", number + 1, false, "", "calls"}, p, body_,
                            128U << 10);
  }
  void flush() override { broker_connection_->write(out_), out_.clear(); }

 private:
  std::unique_ptr<lt::io::Listener> listener_;
  std::unique_ptr<lt::amqp::Endpoint> endpoint_;
  lt::io::Connection* broker_connection_ = nullptr;
  std::string body_, out_;
};

// Sends blocks of equal size and counts the blocks that come back.
class RawSource : public LoadSource, public lt::io::ConnectionEvents {
 public:
  RawSource(lt::net::Loop& loop, const Options& o) : LoadSource(loop, o), block_(o.request_bytes, 'a') {
    listener_ = loop.listen({"127.0.0.1", o.port}, {}, [this](std::unique_ptr<lt::io::Connection> c) {
      connection_ = std::move(c);
      return this;
    });
  }
  std::uint16_t port() const { return listener_->address().port; }
  void on_open() override { begin(); }
  std::size_t on_bytes(std::string_view bytes) override {
    std::size_t used = 0;
    for (; bytes.size() - used >= o_.answer_bytes; used += o_.answer_bytes) on_answer(next_++);
    return used;
  }
  void on_closed(lt::io::CloseReason) override {}

 protected:
  void send(std::uint64_t) override { out_ += block_; }
  void flush() override { connection_->write(out_), out_.clear(); }

 private:
  std::unique_ptr<lt::io::Listener> listener_;
  std::unique_ptr<lt::io::Connection> connection_;
  std::string block_, out_;
  std::uint64_t next_ = 0;
};

int firehose(const Options& o) {
  lt::net::Loop loop;
  std::unique_ptr<AmqpSource> amqp;
  std::unique_ptr<RawSource> raw;
  std::uint16_t port = 0;
  if (o.mode == "amqp")
    amqp = std::make_unique<AmqpSource>(loop, o), port = amqp->port();
  else
    raw = std::make_unique<RawSource>(loop, o), port = raw->port();
  std::cout << "listening " << port << std::endl;
  // Standard input gives the process id of the gateway or relay once it runs.
  int pid = 0;
  std::cin >> pid;
  double cpu_from = 0;
  auto measure = loop.timer([&] { cpu_from = cpu_seconds(pid); });
  auto stop = loop.timer([&] { loop.stop(); });
  measure->start(std::chrono::duration_cast<lt::Duration>(std::chrono::duration<double>(o.warmup_s)));
  stop->start(
      std::chrono::duration_cast<lt::Duration>(std::chrono::duration<double>(o.warmup_s + o.seconds)));
  loop.run();
  nlohmann::json result = amqp ? amqp->result() : raw->result();
  const double cpu = cpu_seconds(pid) - cpu_from;
  const double calls = std::max(1.0, result["calls"].get<double>());
  result["cpu_us_per_call"] = 1e6 * cpu / calls;
  result["cores"] = cpu / o.seconds;
  std::cout << result.dump() << std::endl;
  return 0;
}

// A worker that reports every function as loaded and answers a call with its body. Each worker
// listens on its own port.
class EchoWorker : public lt::worker::SessionEvents {
 public:
  EchoWorker(lt::net::Loop& loop, std::uint32_t id, double delay_ms) : loop_(loop), delay_(delay_ms) {
    listener_ = loop.listen({"127.0.0.1", 0}, {}, [this, id](std::unique_ptr<lt::io::Connection> c) {
      lt::worker::Hello h;
      h.id = id;
      sessions_.push_back(std::make_unique<lt::worker::Session>(loop_, h, *this));
      sessions_.back()->attach(std::move(c));
      return sessions_.back().get();
    });
  }
  std::uint16_t port() const { return listener_->address().port; }
  void on_hello(lt::worker::Session&, const lt::worker::Hello&) override {}
  void on_end(lt::worker::Session&) override {}
  void on_message(lt::worker::Session& s, lt::worker::Message m) override {
    if (auto* call = std::get_if<lt::worker::Call>(&m)) {
      lt::worker::Answer a;
      a.id = call->id, a.found = lt::worker::FoundKind::kLoaded, a.others_in_flight = 0,
      a.body = std::move(call->body);
      a.report.values = {{1, 1.0F}, {3, 0.5F}};
      if (delay_ <= 0) return s.send(a);
      delayed_answers_.push_back(loop_.timer([&s, a] { s.send(a); }));
      delayed_answers_.back()->start(
          std::chrono::duration_cast<lt::Duration>(std::chrono::duration<double, std::milli>(delay_)));
    } else if (const auto* hold = std::get_if<lt::worker::Hold>(&m)) {
      s.send(lt::worker::Held{hold->order, lt::worker::HeldKind::kOk,
                              std::max<std::uint8_t>(1, hold->instances)});
    } else if (const auto* probe = std::get_if<lt::worker::Probe>(&m)) {
      s.send(lt::worker::Probed{probe->id, {}});
    }
  }

 private:
  lt::net::Loop& loop_;
  double delay_;
  std::unique_ptr<lt::io::Listener> listener_;
  std::vector<std::unique_ptr<lt::worker::Session>> sessions_;
  std::vector<std::unique_ptr<lt::io::Timer>> delayed_answers_;
};

// Answers each block with a block.
class RawSink : public lt::io::ConnectionEvents {
 public:
  RawSink(std::unique_ptr<lt::io::Connection> c, const Options& o)
      : connection_(std::move(c)), o_(o), block_(o.answer_bytes, 'z') {}
  std::size_t on_bytes(std::string_view bytes) override {
    std::size_t used = 0;
    std::string out;
    for (; bytes.size() - used >= o_.request_bytes; used += o_.request_bytes) out += block_;
    if (!out.empty()) connection_->write(out);
    return used;
  }
  void on_closed(lt::io::CloseReason) override {}

 private:
  std::unique_ptr<lt::io::Connection> connection_;
  const Options& o_;
  std::string block_;
};

int worker(const Options& o) {
  lt::net::Loop loop;
  std::vector<std::unique_ptr<EchoWorker>> workers;
  std::vector<std::unique_ptr<RawSink>> sinks;
  std::vector<std::unique_ptr<lt::io::Listener>> listeners;
  if (o.mode == "amqp") {
    for (std::uint32_t id = 1; id <= o.workers; ++id)
      workers.push_back(std::make_unique<EchoWorker>(loop, id, o.delay_ms));
    std::cout << "listening";
    for (const auto& w : workers) std::cout << ' ' << w->port();
    std::cout << std::endl;
  } else {
    std::cout << "listening";
    for (std::size_t i = 0; i < o.workers; ++i) {
      listeners.push_back(loop.listen({"127.0.0.1", 0}, {}, [&](std::unique_ptr<lt::io::Connection> c) {
        sinks.push_back(std::make_unique<RawSink>(std::move(c), o));
        return sinks.back().get();
      }));
      std::cout << ' ' << listeners.back()->address().port;
    }
    std::cout << std::endl;
  }
  loop.on_signal(SIGTERM, [&] { loop.stop(); });
  loop.run();
  return 0;
}

// Forwards blocks from the source to the workers round-robin, and the workers' answers to the source: as many
// bytes over as many connections as with the gateway, without any decision. With one worker it is a plain
// pipe.
class Relay : public lt::io::ConnectionEvents {
 public:
  Relay(lt::net::Loop& loop, const Options& o) : o_(o) {
    for (const std::uint16_t port : o.worker_ports) {
      workers_.push_back(std::make_unique<WorkerConnection>());
      workers_.back()->relay = this;
      workers_.back()->connection = loop.connect({"127.0.0.1", port}, {}, *workers_.back());
    }
    source_ = loop.connect({"127.0.0.1", o.port}, {}, *this);
  }
  std::size_t on_bytes(std::string_view bytes) override {
    if (workers_.size() == 1) return workers_[0]->connection->write(bytes), bytes.size();
    std::size_t used = 0;
    for (; bytes.size() - used >= o_.request_bytes; used += o_.request_bytes)
      workers_[next_++ % workers_.size()]->connection->write(bytes.substr(used, o_.request_bytes));
    return used;
  }
  void on_closed(lt::io::CloseReason) override { std::exit(0); }

 private:
  struct WorkerConnection : lt::io::ConnectionEvents {
    Relay* relay = nullptr;
    std::unique_ptr<lt::io::Connection> connection;
    std::size_t on_bytes(std::string_view bytes) override {
      return relay->source_->write(bytes), bytes.size();
    }
    void on_closed(lt::io::CloseReason) override { std::exit(0); }
  };
  const Options& o_;
  std::unique_ptr<lt::io::Connection> source_;
  std::vector<std::unique_ptr<WorkerConnection>> workers_;
  std::size_t next_ = 0;
};

// A relay that clients connect to. Each worker answers in order, so an answer goes to the client whose
// request has waited longest at that worker.
class ListeningRelay {
 public:
  ListeningRelay(lt::net::Loop& loop, const Options& o) : o_(o) {
    for (const std::uint16_t port : o.worker_ports) {
      workers_.push_back(std::make_unique<WorkerConnection>());
      workers_.back()->relay = this;
      workers_.back()->connection = loop.connect({"127.0.0.1", port}, {}, *workers_.back());
    }
    listener_ = loop.listen({"127.0.0.1", o.port}, {}, [this](std::unique_ptr<lt::io::Connection> c) {
      clients_.push_back(std::make_unique<Client>());
      clients_.back()->relay = this;
      clients_.back()->connection = std::move(c);
      return clients_.back().get();
    });
  }
  std::uint16_t port() const { return listener_->address().port; }

 private:
  struct Client : lt::io::ConnectionEvents {
    ListeningRelay* relay = nullptr;
    std::unique_ptr<lt::io::Connection> connection;
    std::size_t on_bytes(std::string_view bytes) override {
      std::size_t used = 0;
      for (; bytes.size() - used >= relay->o_.request_bytes; used += relay->o_.request_bytes) {
        WorkerConnection& worker = *relay->workers_[relay->next_++ % relay->workers_.size()];
        worker.waiting_clients.push_back(this);
        worker.connection->write(bytes.substr(used, relay->o_.request_bytes));
      }
      return used;
    }
    void on_closed(lt::io::CloseReason) override {}
  };
  struct WorkerConnection : lt::io::ConnectionEvents {
    ListeningRelay* relay = nullptr;
    std::unique_ptr<lt::io::Connection> connection;
    std::deque<Client*> waiting_clients;
    std::size_t on_bytes(std::string_view bytes) override {
      const std::size_t size = relay->o_.answer_bytes;
      std::size_t used = 0;
      for (; bytes.size() - used >= size; used += size) {
        waiting_clients.front()->connection->write(bytes.substr(used, size));
        waiting_clients.pop_front();
      }
      return used;
    }
    void on_closed(lt::io::CloseReason) override { std::exit(0); }
  };
  const Options& o_;
  std::unique_ptr<lt::io::Listener> listener_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::vector<std::unique_ptr<WorkerConnection>> workers_;
  std::size_t next_ = 0;
};

// Opens `outstanding` connections and keeps at most one call in flight on each.
class Clients : public LoadSource {
 public:
  Clients(lt::net::Loop& loop, const Options& o) : LoadSource(loop, o) {
    for (std::size_t i = 0; i < o.outstanding; ++i) {
      connections_.push_back(std::make_unique<ClientConnection>(*this));
      connections_.back()->connection = loop.connect({"127.0.0.1", o.port}, {}, *connections_.back());
    }
  }

 protected:
  struct ClientConnection : lt::io::ConnectionEvents {
    explicit ClientConnection(Clients& owner)
        : clients(owner), parser(lt::http::Parser::Side::kResponse, {}) {}
    Clients& clients;
    std::unique_ptr<lt::io::Connection> connection;
    lt::http::Parser parser;
    std::uint64_t number = 0;
    void on_open() override {
      clients.idle_connections_.push_back(this);
      if (clients.idle_connections_.size() == clients.connections_.size()) clients.begin();
    }
    std::size_t on_bytes(std::string_view bytes) override {
      std::size_t used = 0;
      if (clients.o_.mode == "raw") {
        if (bytes.size() < clients.o_.answer_bytes) return 0;
        used = clients.o_.answer_bytes;
      } else {
        if (parser.feed(bytes, used) != lt::http::Parser::State::kDone) return used;
        if (parser.status() != 200) clients.last_bad_status_ = parser.status();
        parser.reset();
      }
      clients.idle_connections_.push_back(this);
      clients.on_answer(number);
      return used;
    }
    void on_closed(lt::io::CloseReason) override { std::cerr << "a connection closed early\n", std::exit(1); }
  };
  void send(std::uint64_t number) override {
    ClientConnection& client = *idle_connections_.back();
    idle_connections_.pop_back();
    client.number = number;
    if (o_.mode == "raw") return client.connection->write(std::string(o_.request_bytes, 'a'));
    lt::http::Request r;
    r.method = "POST", r.target = "/v1/functions/f-" + std::to_string(number % o_.functions) + "/calls";
    r.headers.add("Host", "gateway");
    r.headers.add("Authorization", "Bearer key");
    if (o_.keys) r.headers.add("Idempotency-Key", std::to_string(number));
    r.body.assign(o_.body_bytes, 'b');
    std::string out;
    lt::http::write(out, r);
    client.connection->write(out);
  }
  void flush() override {}

 private:
  std::vector<std::unique_ptr<ClientConnection>> connections_;
  std::vector<ClientConnection*> idle_connections_;

 public:
  int last_bad_status_ = 0;
};

int clients(const Options& o) {
  lt::net::Loop loop;
  int pid = 0;
  std::cin >> pid;
  Clients all(loop, o);
  double cpu_from = 0;
  auto measure = loop.timer([&] { cpu_from = cpu_seconds(pid); });
  auto stop = loop.timer([&] { loop.stop(); });
  measure->start(std::chrono::duration_cast<lt::Duration>(std::chrono::duration<double>(o.warmup_s)));
  stop->start(
      std::chrono::duration_cast<lt::Duration>(std::chrono::duration<double>(o.warmup_s + o.seconds)));
  loop.run();
  nlohmann::json result = all.result();
  const double cpu = cpu_seconds(pid) - cpu_from;
  result["cpu_us_per_call"] = 1e6 * cpu / std::max(1.0, result["calls"].get<double>());
  result["cores"] = cpu / o.seconds;
  result["bad"] = all.last_bad_status_;
  std::cout << result.dump() << std::endl;
  return 0;
}

// Writes `records` open calls, each with one attempt in flight, to the ledger in `directory`.
int fill_ledger(const Options& o) {
  lt::net::Loop loop;
  lt::store::LmdbOptions lmdb;
  lmdb.directory = o.directory;
  auto opened = lt::store::open_lmdb(lmdb, [&](std::function<void()> what) { loop.post(std::move(what)); });
  if (!opened.store) return std::cerr << opened.why << '\n', 1;
  for (std::size_t i = 0; i < o.records; ++i) {
    lt::ledger::Record r;
    r.function = "f-" + std::to_string(i % 300), r.taken_ms = loop.unix_ms(),
    r.give_up_ms = r.taken_ms + 20'000;
    r.replies = {{"answers", std::to_string(i)}};
    r.attempts = {{static_cast<std::uint32_t>(i % 14 + 1), r.taken_ms, lt::ledger::AttemptState::kInFlight}};
    opened.store->put(lt::ledger::key_of("amqp/broker-0/calls", "call-" + std::to_string(i)),
                      lt::ledger::write_record(r));
  }
  struct Events : lt::store::StoreEvents {
    lt::net::Loop* loop = nullptr;
    void on_write_failed(const std::string& why, bool) override { std::cerr << why << '\n', loop->stop(); }
    void on_write_recovered() override {}
    void on_durable(std::size_t) override { loop->stop(); }
  } events;
  events.loop = &loop;
  opened.store->serve(&events);
  opened.store->commit();
  loop.run();
  return 0;
}

int relay(const Options& o) {
  lt::net::Loop loop;
  if (o.listen) {
    const ListeningRelay relay(loop, o);
    std::cout << "listening " << relay.port() << std::endl;
    loop.on_signal(SIGTERM, [&] { loop.stop(); });
    loop.run();
    return 0;
  }
  const Relay relay(loop, o);
  loop.on_signal(SIGTERM, [&] { loop.stop(); });
  loop.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"traffic sources, sinks and relays of the benchmark"};
  app.require_subcommand(1);
  Options o;
  auto add_options = [&](CLI::App* s) {
    s->add_option("--mode", o.mode)->check(CLI::IsMember({"amqp", "http", "raw"}));
    s->add_option("--port", o.port);
    s->add_option("--to", o.worker_ports);
    s->add_option("--outstanding", o.outstanding);
    s->add_option("--body", o.body_bytes);
    s->add_option("--functions", o.functions);
    s->add_option("--workers", o.workers);
    s->add_option("--rate", o.rate);
    s->add_option("--seconds", o.seconds);
    s->add_option("--warm", o.warmup_s);
    s->add_option("--delay-ms", o.delay_ms);
    s->add_option("--ask-bytes", o.request_bytes);
    s->add_option("--answer-bytes", o.answer_bytes);
    s->add_option("--directory", o.directory);
    s->add_option("--records", o.records);
    s->add_flag("--listen", o.listen);
    s->add_flag("--keys", o.keys);
    return s;
  };
  CLI::App* f = add_options(app.add_subcommand("firehose"));
  CLI::App* w = add_options(app.add_subcommand("worker"));
  add_options(app.add_subcommand("relay"));
  CLI::App* c = add_options(app.add_subcommand("clients"));
  CLI::App* l = add_options(app.add_subcommand("fill"));
  CLI11_PARSE(app, argc, argv);
  if (*f) return firehose(o);
  if (*w) return worker(o);
  if (*c) return clients(o);
  if (*l) return fill_ledger(o);
  return relay(o);
}
