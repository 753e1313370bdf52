// The write-ahead ledger of calls: every record that may still be needed, in memory and in a Store.
//
// Steps that need a durable record first (sending an attempt, acknowledging a message early, giving an answer
// that may be given twice) wait for a commit; other changes are written shortly afterwards. docs/ledger.md
// lists them. The ledger decides nothing about a call in progress; ledger/recovery.h decides what a record
// means.
//
// Runs on the host's thread only. Above `most_records` or `most_bytes`, full() tells the fronts to accept no
// more calls that need a record. Times are wall-clock ms, read once at the start and advanced by the steady
// clock, so that a jump of the wall clock neither expires nor prolongs a record while the process runs.
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

// What is kept of a record after its answer was delivered.
enum class AfterDelivery {
  kDropRecord,         // nobody can ask for it again: the record is removed
  kKeepWithoutAnswer,  // the message may be redelivered, only to be acknowledged: kept without the answer
  kKeepAnswer,         // a client may ask again and gets the same answer
};

struct CallLedgerOptions {
  std::size_t most_records = 1'000'000;
  std::size_t most_bytes = 1U << 30;
  // How long a record is kept for a message or a client that may still come; it is removed afterwards.
  Duration keep = std::chrono::hours(24);
};

// Points at which a crash has another outcome than just before; tests end the process there.
constexpr const char* kCrashPoints[] = {"take-queued",  "take-durable",  "attempt-queued", "attempt-durable",
                                        "attempt-sent", "attempt-ended", "answer-queued",  "answer-durable",
                                        "answer-given", "commit-sent",   "commit-known",   "delivered-queued",
                                        "owed-found",   "callback-given"};

class CallLedger : public store::StoreEvents {
 public:
  using Done = std::function<void()>;
  CallLedger(io::Host& host, store::Store& store, CallLedgerOptions options);
  ~CallLedger() override;

  // Reads the store; must be called first. Returns the reason if a record can't be read: the ledger is then
  // unusable.
  std::optional<std::string> load();

  // ---- What a call or message means ----
  const Record* find(const std::string& key) const;
  // Whether this process is running the call: its owner then knows more than the record.
  bool active(const std::string& key) const;
  RecoveryDecision decide(const std::string& front, const std::string& name, const Effect& effect,
                          bool redelivered) const;
  // The keys of a front's calls of earlier processes that no message or client will bring again.
  std::vector<std::string> owed(const std::string& front) const;

  // ---- Progress of a call ----
  // Adds a call. An owed call is durable when `done` is called; any other is written with its first attempt,
  // and `done` isn't called.
  void take(const std::string& key, Record record, Done done = {});
  // Goes on with a call of an earlier process. `fresh`: forgets its attempts.
  void resume(const std::string& key, bool fresh);
  void add_reply(const std::string& key, ReplyTo to, Done done);
  // Records an attempt, which may be sent when `done` is called. Returns its number, which counts from 0.
  std::size_t add_attempt(const std::string& key, std::uint32_t worker, Done done);
  void mark_never_ran(const std::string& key, std::size_t attempt);
  // Records the final answer. With `done`, the answer may be given to the caller only when that is called:
  // once it is durable, or at once if the store fails, because a late answer is of no use.
  void answer(const std::string& key, Answer answer, Done done = {});
  // The caller has the answer. The record is kept for `keep_ms`, or as configured if that is 0.
  void delivered(const std::string& key, AfterDelivery how, std::int64_t keep_ms = 0);
  void forget(const std::string& key);
  // Calls `done` once all changes so far are on disk.
  void when_durable(Done done) { commit(std::move(done)); }
  // This process stops running the call; its record is kept as configured.
  void release(const std::string& key);

  // ---- Coverage of a queue ----
  // Coverage starts when this gateway becomes the only reader, and is complete once no message is left that
  // another reader may have received.
  Coverage coverage(const std::string& front) const;
  void begin_exclusive_reading(const std::string& front);
  void mark_complete(const std::string& front);
  void end_exclusive_reading(const std::string& front);  // others may read it from now on

  // ---- State ----
  bool writable() const { return write_error_.empty(); }
  const std::string& write_error() const { return write_error_; }
  bool full() const { return entries_.size() >= options_.most_records || bytes_ >= options_.most_bytes; }
  // Why calls that need a record must be refused now; empty if they may be accepted.
  std::string refusal_reason() const;
  std::size_t records() const { return entries_.size(); }
  std::size_t bytes() const { return bytes_; }
  struct Usage {
    std::size_t records = 0, bytes = 0;
  };
  Usage usage(const std::string& front) const;
  std::uint64_t commits() const { return commits_; }
  std::int64_t now_ms() const;

  std::function<void(bool well)> on_state;               // writes began to fail or work again
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
    bool active_here = false;     // this process is running the call
    bool stored = false;          // a version of the record was passed to the store
    bool write_pending = false;   // changed since then; a delayed write is scheduled
    std::int64_t expires_ms = 0;  // 0: doesn't expire
    Usage* usage = nullptr;       // totals of its front
  };
  using Entries = std::unordered_map<std::string, Entry>;
  Entry* entry(const std::string& key);
  void write(const std::string& key, Entry& entry);
  void write_behind(const std::string& key, Entry& entry);
  void flush();
  void update_size(const std::string& key, Entry& entry);
  void commit(Done done, const char* crash_point_name = nullptr);
  void expire_at(const std::string& key, Entry& entry, std::int64_t at_ms);
  void remove(Entries::iterator it);
  void sweep();

  io::Host& host_;
  store::Store& store_;
  CallLedgerOptions options_;
  Entries entries_;
  std::map<std::string, Usage> usage_;  // by front; bounded by the configured fronts
  std::multimap<std::int64_t, std::string> expiries_;
  std::map<std::string, bool> coverage_complete_;  // by front that this gateway reads exclusively
  std::size_t bytes_ = 0;
  std::uint64_t commits_ = 0;
  std::string write_error_;
  struct WaitingCommit {
    Done done;
    const char* crash_point_name = nullptr;  // the crash point reached when it is durable
    bool release_on_write_failure = false;   // an answer, which is given at once when writes fail
  };
  std::deque<WaitingCommit> waiting_commits_;  // in the order of their commits
  std::string write_buffer_;
  std::int64_t wall_start_ms_;
  Time steady_start_;
  std::vector<std::string> pending_writes_;
  std::unique_ptr<io::Timer> sweep_, flush_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace laureltide::ledger
