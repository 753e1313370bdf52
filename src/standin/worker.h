// A stand-in worker: cores, speed, memory, lanes, loads, keep-alive, a cold start that can be pushed over,
// and the faults that a day orders. It speaks the worker protocol and notes all that it sees on its sockets.
//
// A call's result is its payload. Work is simulated: it takes time, not CPU.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>

#include "layers/client.h"
#include "standin/store.h"
#include "standin/tape.h"
#include "worker/server.h"

namespace laureltide::standin {

struct FunctionModel {
  std::string request_class;
  double memory_mb = 100;
  int lanes = 2;
  Duration fetch{}, start{};  // parts of a load
  Duration work = std::chrono::milliseconds(50);
  double work_spread = 0.3;  // a call takes work * (1 +- spread)
};

struct WorkerOptions {
  std::uint32_t id = 1;
  std::string name = "worker";
  int cores = 2;
  double speed = 1;
  double memory_mb = 4096;
  std::size_t queue = 32;  // calls that wait for a lane; over it: full
  int loads_at_once = 4;
  bool load_on_miss = false;
  Duration keep_alive = std::chrono::seconds(10);
  double cold_capacity_share = 1;
  Duration cold_duration{};
  double overload_multiple = 0;  // 0: cannot be pushed over
  Duration overload_duration = std::chrono::seconds(1);
  std::map<std::string, FunctionModel> functions;
  std::optional<io::Address> store;
  // The box's agent: a load is then a pin of a version, whose bytes are read and hashed from the disk.
  std::optional<io::Address> agent;
};

class Worker : public worker::SessionEvents {
 public:
  Worker(io::Host& host, WorkerOptions options, Tape& tape);
  ~Worker() override;

  bool listen(const io::Address& at);  // starts a life; cold if `cold`
  bool start(const io::Address& at, bool cold);
  io::Address address() const { return address_; }
  bool up() const { return listener_ != nullptr; }
  std::uint64_t runs() const { return runs_; }
  std::size_t holding() const { return jobs_.size(); }
  std::size_t sessions() const { return sessions_.size(); }
  int instances(const std::string& function) const;

  // ---- Faults ----
  void crash();                    // all connections reset, all copies gone, nothing listens
  void set_unresponsive(bool on);  // hears and says nothing; nothing is reset
  void set_slowdown(double times) { slow_ = times; }
  void set_cores(int cores) { cores_ = std::max(1, cores), start_waiting(); }
  void set_full(bool on) { full_ = on; }
  void set_load_fails(bool on) { load_fails_ = on; }
  void fail_class(const std::string& name, bool on) {
    on ? void(failing_.insert(name)) : void(failing_.erase(name));
  }
  void discard_instances();  // a re-release: idle copies go, busy ones when they are done
  void drain();              // says so to all; takes nothing more
  void reset_answers(int n) { reset_answers_ = n; }  // the next n answers break off half way
  void duplicate_answers(int n) { twice_ = n; }
  void delay_answers(int n, Duration by) { late_ = n, late_by_ = by; }
  void send_unknown_answers(int n) { ghosts_ = n; }       // with the next n answers one to a call never sent
  void reset_after_calls(int n) { take_and_reset_ = n; }  // takes the next n calls, runs them, resets
  void set_deduplication_window(Duration window) { key_window_ = window; }

  // ---- worker::SessionEvents ----
  void on_hello(worker::Session& session, const worker::Hello& hello) override;
  void on_message(worker::Session& session, worker::Message message) override;
  void on_end(worker::Session& session) override;

 private:
  // A version as this worker has it: what it read, and the pin that keeps it. Let go with the last that uses
  // it.
  struct Version {
    std::string name;  // of the manifest
    std::uint64_t release = 0;
    std::vector<std::string> layers;  // digests of the bytes that were read
  };
  struct Job {
    worker::Session* session = nullptr;  // nothing once its connection ended
    worker::Call call;
    worker::FoundKind found = worker::FoundKind::kNotReported;
    int others_in_flight = 0;
    bool running = false;
    bool cancelled = false;
    std::shared_ptr<const Version> version;  // that it runs, from its start to its end
    std::unique_ptr<io::Timer> timer;
  };
  struct Order {
    worker::Session* session = nullptr;
    std::uint64_t order = 0;
    int wanted = 0;
  };
  struct Pool {  // the copies of one function
    int ready = 0, loading = 0, running = 0;
    bool stale = false;  // void once idle
    Time idle_since{};
    std::deque<std::uint64_t> waiting;  // jobs
    std::vector<Order> orders;
    std::shared_ptr<const Version> version;  // that its copies are of
    bool renewing = false;
  };

  void on_call(worker::Session& session, worker::Call call);
  void on_hold(worker::Session& session, const worker::Hold& hold);
  void fetch(const std::string& name, std::function<void(bool well)> done);
  std::shared_ptr<const Version> read(const layers::Snapshot& snapshot, std::string& why);
  void on_releases(const std::vector<layers::ReleaseStatus>& all);
  bool begin_load(const std::string& name, Pool& pool);
  void next_load();
  void loaded(const std::string& name, bool well);
  void settle_orders(const std::string& name, Pool& pool);
  bool make_room(double mb);
  void start_waiting();
  void begin(std::uint64_t id, Job& job);
  void finish(std::uint64_t id);
  void answer(worker::Session* session, worker::Answer answer, const worker::Call& call);
  void say(worker::Session* session, const worker::Message& message);
  worker::Report report() const;
  double warmth() const;
  bool pushed_over(const FunctionModel& model);
  void sweep();
  double memory_used() const;
  int busy() const;

  io::Host& host_;
  WorkerOptions options_;
  Tape& tape_;
  std::unique_ptr<io::Listener> listener_;
  io::Address address_;
  std::map<worker::Session*, std::unique_ptr<worker::Session>> sessions_;
  io::DeferredDeleter<worker::Session> dead_;
  std::unique_ptr<StoreClient> store_;
  std::shared_ptr<layers::AgentClient> agent_;  // of this life
  std::map<std::string, Pool> pools_;
  std::map<std::uint64_t, Job> jobs_;
  std::deque<std::uint64_t> for_core_;  // started, in the order of their turn for a core
  std::deque<std::string> load_line_;
  int loads_ = 0, on_core_ = 0;
  std::uint64_t next_job_ = 1, life_ = 0, runs_ = 0;
  std::map<std::string, Time> keys_;  // seen, for keyed classes: repeats are dropped
  Duration key_window_{};
  std::optional<Time> cold_since_;
  std::deque<std::pair<Time, double>> cold_work_;
  std::vector<std::pair<worker::Session*, worker::Message>> unsaid_;
  std::vector<std::function<void()>> unheard_;
  std::vector<std::unique_ptr<io::Timer>> loading_timers_;
  std::unique_ptr<io::Timer> sweep_;
  bool silent_ = false, full_ = false, load_fails_ = false, draining_ = false;
  std::set<std::string> failing_;
  double slow_ = 1;
  int cores_ = 2;
  int reset_answers_ = 0, twice_ = 0, late_ = 0, ghosts_ = 0, take_and_reset_ = 0;
  Duration late_by_{};
  std::map<std::uint64_t, worker::Session*> late_to_;  // of answers that are to come late
  std::uint64_t next_late_ = 1;
};

}  // namespace laureltide::standin
