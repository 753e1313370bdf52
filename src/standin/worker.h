// A stand-in worker with cores, speed, memory, lanes, loads, keep-alive, a cold start during which it can be
// overloaded, and the faults of a scripted day. It speaks the worker protocol and records what it sees on its
// sockets.
//
// A call's result is its payload. Work is simulated: it takes time but no CPU.
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
  Duration fetch{}, start{};  // the two phases of a load
  Duration work = std::chrono::milliseconds(50);
  double work_spread = 0.3;  // a call takes work * (1 +- spread)
};

struct WorkerOptions {
  std::uint32_t id = 1;
  std::string name = "worker";
  int cores = 2;
  double speed = 1;
  double memory_mb = 4096;
  std::size_t queue = 32;  // calls that wait for a lane; beyond it the answer is full
  int loads_at_once = 4;
  bool load_on_miss = false;
  Duration keep_alive = std::chrono::seconds(10);
  double cold_capacity_share = 1;
  Duration cold_duration{};
  double overload_multiple = 0;  // 0: never overloaded
  Duration overload_duration = std::chrono::seconds(1);
  std::map<std::string, FunctionModel> functions;
  std::optional<io::Address> store;
  // The agent of the machine. With it, a load pins a version, and reads and hashes its bytes from the disk.
  std::optional<io::Address> agent;
};

class Worker : public worker::SessionEvents {
 public:
  Worker(io::Host& host, WorkerOptions options, Tape& tape);
  ~Worker() override;

  bool listen(const io::Address& at);  // starts warm
  // Starts a new incarnation of the worker, cold if `cold`.
  bool start(const io::Address& at, bool cold);
  io::Address address() const { return address_; }
  bool up() const { return listener_ != nullptr; }
  std::uint64_t runs() const { return runs_; }
  std::size_t holding() const { return jobs_.size(); }
  std::size_t sessions() const { return sessions_.size(); }
  int instances(const std::string& function) const;

  // ---- Faults ----
  void crash();                    // resets all connections, loses all instances, closes the listener
  void set_unresponsive(bool on);  // neither reads nor sends; connections stay open
  void set_slowdown(double factor) { slowdown_ = factor; }
  void set_cores(int cores) { cores_ = std::max(1, cores), start_waiting(); }
  void set_full(bool on) { full_ = on; }
  void set_load_fails(bool on) { load_fails_ = on; }
  void fail_class(const std::string& name, bool on) {
    on ? void(failing_classes_.insert(name)) : void(failing_classes_.erase(name));
  }
  void discard_instances();  // as after a new release: idle instances go now, busy ones when they finish
  void drain();              // announces the drain on all sessions; accepts nothing new
  void reset_answers(int n) { reset_answers_ = n; }  // the next n answers are cut off halfway
  void duplicate_answers(int n) { duplicate_answers_ = n; }
  void delay_answers(int n, Duration by) { delayed_answers_ = n, answer_delay_ = by; }
  // Adds to each of the next n answers one for an unknown call.
  void send_unknown_answers(int n) { unknown_answers_ = n; }
  // Accepts and runs the next n calls, but resets the connection instead of answering.
  void reset_after_calls(int n) { reset_after_calls_ = n; }
  void set_deduplication_window(Duration window) { key_window_ = window; }

  // ---- worker::SessionEvents ----
  void on_hello(worker::Session& session, const worker::Hello& hello) override;
  void on_message(worker::Session& session, worker::Message message) override;
  void on_end(worker::Session& session) override;

 private:
  // A function's version as this worker read it. Its pin is released with the last user.
  struct Version {
    std::string name;  // of the manifest
    std::uint64_t release = 0;
    std::vector<std::string> layers;  // digests of the bytes that were read
  };
  struct Job {
    worker::Session* session = nullptr;  // null once its connection has ended
    worker::Call call;
    worker::FoundKind found = worker::FoundKind::kNotReported;
    int others_in_flight = 0;
    bool running = false;
    bool cancelled = false;
    std::shared_ptr<const Version> version;  // of the function, from start to finish
    std::unique_ptr<io::Timer> timer;
  };
  struct Order {
    worker::Session* session = nullptr;
    std::uint64_t order = 0;
    int wanted = 0;
  };
  struct Pool {  // the instances of one function
    int ready = 0, loading = 0, running = 0;
    bool stale = false;  // discard the instances once idle
    Time idle_since{};
    std::deque<std::uint64_t> waiting;  // jobs
    std::vector<Order> orders;
    std::shared_ptr<const Version> version;  // of its instances
    bool updating = false;
  };

  void on_call(worker::Session& session, worker::Call call);
  void on_hold(worker::Session& session, const worker::Hold& hold);
  void fetch(const std::string& name, std::function<void(bool success)> done);
  std::shared_ptr<const Version> read(const layers::Snapshot& snapshot, std::string& why);
  void on_releases(const std::vector<layers::ReleaseStatus>& all);
  bool begin_load(const std::string& name, Pool& pool);
  void next_load();
  void loaded(const std::string& name, bool success);
  void settle_orders(const std::string& name, Pool& pool);
  bool make_room(double mb);
  void start_waiting();
  void begin(std::uint64_t id, Job& job);
  void finish(std::uint64_t id);
  void answer(worker::Session* session, worker::Answer answer, const worker::Call& call);
  void send(worker::Session* session, const worker::Message& message);
  worker::Report report() const;
  double warmth() const;
  bool overloaded_by(const FunctionModel& model);
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
  std::shared_ptr<layers::AgentClient> agent_;  // of this incarnation
  std::map<std::string, Pool> pools_;
  std::map<std::uint64_t, Job> jobs_;
  std::deque<std::uint64_t> core_queue_;  // jobs that have a lane and wait for a core
  std::deque<std::string> load_queue_;
  int loads_ = 0, on_core_ = 0;
  std::uint64_t next_job_ = 1, incarnation_ = 0, runs_ = 0;
  std::map<std::string, Time> keys_;  // when each key was first seen: repeats of keyed calls are dropped
  Duration key_window_{};
  std::optional<Time> cold_since_;
  std::deque<std::pair<Time, double>> cold_work_;
  std::vector<std::pair<worker::Session*, worker::Message>> unsent_;
  std::vector<std::function<void()>> unheard_;
  std::vector<std::unique_ptr<io::Timer>> loading_timers_;
  std::unique_ptr<io::Timer> sweep_;
  bool unresponsive_ = false, full_ = false, load_fails_ = false, draining_ = false;
  std::set<std::string> failing_classes_;
  double slowdown_ = 1;
  int cores_ = 2;
  int reset_answers_ = 0, duplicate_answers_ = 0, delayed_answers_ = 0, unknown_answers_ = 0,
      reset_after_calls_ = 0;
  Duration answer_delay_{};
  std::map<std::uint64_t, worker::Session*> delayed_to_;  // sessions that wait for a delayed answer
  std::uint64_t next_delayed_ = 1;
};

}  // namespace laureltide::standin
