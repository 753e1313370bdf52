// The ledger's state: every record that may still be needed, in memory, with its image in a Store.
//
// What must be on disk before something is done (an attempt's bytes leave, a message is acknowledged early,
// an answer that may be given twice) waits for a commit; the rest is written behind. docs/ledger.md tells
// which. The book decides nothing about a call in progress; what a record means is ruled in
// ledger/recovery.h.
//
// One thread, the host's. Bounds: `most_records` and `most_bytes`, over which full() tells the fronts to take
// nothing more that needs a record. Times are wall-clock ms, counted on from the start by the steady clock,
// so that a clock that jumps neither forgets nor prolongs anything within a life.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

#include "base/io.h"
#include "ledger/record.h"
#include "ledger/recovery.h"
#include "store/store.h"

namespace laureltide::ledger {

// How a caller has its answer.
enum class AfterDelivery {
  kDropRecord,         // nothing can ask for it again: the record goes
  kKeepWithoutAnswer,  // its message may come once more, to be acknowledged: that is remembered, without the
                       // answer
  kKeepAnswer,         // it may be asked for again, and is answered the same
};

struct CallLedgerOptions {
  std::size_t most_records = 1'000'000;
  std::size_t most_bytes = 1U << 30;
  // How long a record is kept for a message or a client that may still come; then it goes.
  Duration keep = std::chrono::hours(24);
};

// Named moments at which a crash means something else than a moment before; tests end the process there.
constexpr const char* kCrashPoints[] = {"take-queued",  "take-durable",  "attempt-queued", "attempt-durable",
                                        "attempt-sent", "attempt-ended", "answer-queued",  "answer-durable",
                                        "answer-given", "commit-sent",   "commit-known",   "delivered-queued",
                                        "owed-found",   "callback-given"};

class CallLedger : public store::StoreEvents {
 public:
  using Done = std::function<void()>;
  CallLedger(io::Host& host, store::Store& store, CallLedgerOptions options);
  ~CallLedger() override;

  // Reads the store. Nothing is served before; a reason if a record cannot be read, and then nothing may be.
  std::optional<std::string> load();

  // ---- What a call or message means ----
  const Record* find(const std::string& key) const;
  // Taken in this life: whoever took it knows more than the record.
  bool active(const std::string& key) const;
  RecoveryDecision decide(const std::string& front, const std::string& name, const Effect& effect,
                          bool redelivered) const;
  // Calls of earlier lives that nobody will bring again, by front.
  std::vector<std::string> owed(const std::string& front) const;

  // ---- A call's life ----
  // An owed one is durable when `done` comes; another is written with its first attempt, and `done` is not
  // called.
  void take(const std::string& key, Record record, Done done = {});
  // An earlier life's call is run here. `fresh`: as if nothing had been sent for it.
  void resume(const std::string& key, bool fresh);
  void add_reply(const std::string& key, ReplyTo to, Done done);
  // Before an attempt's bytes leave; they may when `done` comes. Its number is the count before.
  std::size_t add_attempt(const std::string& key, std::uint32_t worker, Done done);
  void mark_never_ran(const std::string& key, std::size_t attempt);
  // The final answer. With `done`, it may be given to the caller only then: when it is durable, or cannot be
  // made so now and would come too late.
  void answer(const std::string& key, Answer answer, Done done = {});
  // The caller has it. What stays does so for `keep_ms`, or as the settings say.
  void delivered(const std::string& key, AfterDelivery how, std::int64_t keep_ms = 0);
  void forget(const std::string& key);
  // When all that the book was told so far is on disk.
  void when_durable(Done done) { commit(std::move(done)); }
  // This life no longer follows the call; its record stays for whoever comes, as the settings say.
  void release(const std::string& key);

  // ---- Coverage of a queue ----
  // From now on this gateway alone reads it. Whole once every message that others may have had is gone.
  Coverage coverage(const std::string& front) const;
  void begin_exclusive_reading(const std::string& front);
  void mark_complete(const std::string& front);
  void end_exclusive_reading(const std::string& front);  // others may read it from now on

  // ---- State ----
  bool writable() const { return trouble_.empty(); }
  const std::string& write_error() const { return trouble_; }
  bool full() const { return entries_.size() >= options_.most_records || bytes_ >= options_.most_bytes; }
  // Why nothing that needs a record may be taken now; empty if it may.
  std::string refusal_reason() const;
  std::size_t records() const { return entries_.size(); }
  std::size_t bytes() const { return bytes_; }
  struct Usage {
    std::size_t records = 0, bytes = 0;
  };
  Usage usage(const std::string& front) const;
  std::uint64_t commits() const { return commits_; }
  std::int64_t now_ms() const;

  std::function<void(bool well)> on_state;               // trouble began or ended
  std::function<void(const char* step)> on_crash_point;  // see kCrashPoints
  void crash_point(const char* name) const {
    if (on_crash_point) on_crash_point(name);
  }

  // ---- StoreEvents ----
  void on_write_failed(const std::string& why, bool permanent) override;
  void on_write_recovered() override;
  void on_durable(std::size_t commits) override;

 private:
  struct Entry {
    Record record;
    std::size_t size = 0;
    bool held = false;            // of this life
    bool stored = false;          // the store has been given some state of it
    bool behind = false;          // it has changed since, and is written soon
    std::int64_t expires_ms = 0;  // 0: not while it is open here
    Usage* usage = nullptr;       // of its front
  };
  using Entries = std::unordered_map<std::string, Entry>;
  Entry* entry(const std::string& key);
  void write(const std::string& key, Entry& entry);
  void write_behind(const std::string& key, Entry& entry);
  void flush();
  void weigh(const std::string& key, Entry& entry);
  void commit(Done done, const char* then = nullptr);
  void expire_at(const std::string& key, Entry& entry, std::int64_t at_ms);
  void remove(Entries::iterator it);
  void sweep();

  io::Host& host_;
  store::Store& store_;
  CallLedgerOptions options_;
  Entries entries_;
  std::map<std::string, Usage> usage_;  // by front: as many as the settings name
  std::multimap<std::int64_t, std::string> expiries_;
  std::map<std::string, bool> tenures_;  // front to whether it is whole
  std::size_t bytes_ = 0;
  std::uint64_t commits_ = 0;
  std::string trouble_;
  struct Waiting {
    Done done;
    const char* then = nullptr;  // the step that it is
    bool impatient = false;      // an answer, which may not wait long
  };
  std::deque<Waiting> waiting_;  // for commits, in order
  std::string scratch_;
  std::int64_t wall_start_ms_;
  Time start_;
  std::vector<std::string> behind_;
  std::unique_ptr<io::Timer> sweep_, behind_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace laureltide::ledger
