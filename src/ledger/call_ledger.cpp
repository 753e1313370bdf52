#include "ledger/call_ledger.h"

#include <algorithm>
#include <utility>

namespace laureltide::ledger {
namespace {

constexpr Duration kSweepInterval = std::chrono::seconds(1);
constexpr Duration kSweepBatchPause = std::chrono::milliseconds(2);
constexpr std::size_t kSweepBatchSize = 200;
constexpr Duration kFlushDelay = std::chrono::milliseconds(20);
constexpr const char* kCoverageKeyPrefix = "\x01tenure";  // front names never begin with \x01

std::string front_of(const std::string& key) { return split_key(key).first; }

}  // namespace

CallLedger::CallLedger(io::Host& host, store::Store& store, CallLedgerOptions options)
    : host_(host),
      store_(store),
      options_(options),
      wall_start_ms_(host.unix_ms()),
      steady_start_(host.now()),
      sweep_(host.timer([this] { sweep(); })),
      flush_timer_(host.timer([this] { flush(); })) {
  store_.serve(this);
  sweep_->start(kSweepInterval);
}
CallLedger::~CallLedger() {
  flush();
  *alive_ = false;
  store_.serve(nullptr);
}

std::int64_t CallLedger::now_ms() const {
  return wall_start_ms_ +
         std::chrono::duration_cast<std::chrono::milliseconds>(host_.now() - steady_start_).count();
}

std::optional<std::string> CallLedger::load() {
  std::optional<std::string> error;
  const std::int64_t keep = std::chrono::duration_cast<std::chrono::milliseconds>(options_.keep).count();
  entries_.reserve(store_.entries());
  std::string last_front;
  Usage* last_usage = nullptr;
  std::string why;
  store_.load([&](std::string_view key, std::string_view value) {
    const std::string_view front = key.substr(0, key.find('\0'));
    if (front == kCoverageKeyPrefix) {
      coverage_complete_[std::string(key.substr(front.size() + 1))] = value == "whole";
      return;
    }
    if (front.empty() || front[0] == '\x01' || error) return;  // entries that are not records
    auto record = parse_record(value, why);
    if (!record) {
      const auto [front_name, name] = split_key(key);
      error = "record of " + front_name + " / " + name + ": " + why;
      return;
    }
    if (!last_usage || front != last_front) last_front = front, last_usage = &usage_[last_front];
    const auto [it, fresh] = entries_.try_emplace(std::string(key));
    Entry& e = it->second;
    e.record = std::move(*record);
    e.stored = true;
    e.usage = last_usage;
    ++e.usage->records;
    update_size(it->first, e);
    // An owed call is kept until this gateway handles it. Any other record is needed only if its message is
    // redelivered or its client retries, so it expires.
    const bool waits = e.record.owed && !e.record.delivered;
    const std::int64_t until =
        e.record.keep_until_ms > 0 ? e.record.keep_until_ms : std::max(e.record.taken_ms, now_ms()) + keep;
    if (!waits) expire_at(it->first, e, until);
  });
  return error;
}

const Record* CallLedger::find(const std::string& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second.record;
}

bool CallLedger::active(const std::string& key) const {
  const auto it = entries_.find(key);
  return it != entries_.end() && it->second.active_here;
}

CallLedger::Entry* CallLedger::entry(const std::string& key) {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second;
}

RecoveryDecision CallLedger::decide(const std::string& front, const std::string& name, const Effect& effect,
                                    bool redelivered) const {
  return decide_on_message(find(key_of(front, name)), effect, redelivered, coverage(front), now_ms());
}

std::vector<std::string> CallLedger::owed(const std::string& front) const {
  std::vector<std::pair<std::int64_t, std::string>> found;
  for (const auto& [key, e] : entries_)
    if (!e.active_here && e.record.owed && !e.record.delivered && front_of(key) == front)
      found.emplace_back(e.record.taken_ms, key);
  std::sort(found.begin(), found.end());  // by the time at which they were accepted
  std::vector<std::string> keys;
  for (auto& [at, key] : found) keys.push_back(std::move(key));
  return keys;
}

// ---- Progress of a call ---------------------------------------------------------------------------------

void CallLedger::update_size(const std::string& key, Entry& e) {
  if (!e.usage) {
    e.usage = &usage_[front_of(key)];
    ++e.usage->records;
  }
  const std::size_t size = e.record.size() + key.size();
  bytes_ += size - e.size;
  e.usage->bytes += size - e.size;
  e.size = size;
}

void CallLedger::write(const std::string& key, Entry& e) {
  update_size(key, e);
  e.stored = true, e.write_pending = false;
  write_record(write_buffer_, e.record);
  store_.put(key, write_buffer_);
}

// Delays a write that no commit waits for, and skips it if the record is removed in the meantime: an answer
// whose message is acknowledged by then needs no record.
void CallLedger::write_behind(const std::string& key, Entry& e) {
  update_size(key, e);
  if (std::exchange(e.write_pending, true)) return;
  if (pending_writes_.empty()) flush_timer_->start(kFlushDelay);
  pending_writes_.push_back(key);
}

void CallLedger::flush() {
  for (const std::string& key : std::exchange(pending_writes_, {}))
    if (Entry* e = entry(key); e && e->write_pending) write(key, *e);
}

void CallLedger::commit(Done done, const char* crash_point_name) {
  ++commits_;
  waiting_commits_.push_back({std::move(done), crash_point_name, false});
  store_.commit();
}

void CallLedger::on_durable(std::size_t commits) {
  const std::shared_ptr<bool> alive = alive_;
  while (commits-- > 0 && !waiting_commits_.empty()) {
    const WaitingCommit next = std::move(waiting_commits_.front());
    waiting_commits_.pop_front();
    if (next.crash_point_name) crash_point(next.crash_point_name);
    if (next.done) next.done();
    if (!*alive) return;
  }
}

void CallLedger::expire_at(const std::string& key, Entry& e, std::int64_t at_ms) {
  e.expires_ms = at_ms;
  expiries_.emplace(at_ms, key);
}

void CallLedger::take(const std::string& key, Record record, Done done) {
  if (const auto existing = entries_.find(key); existing != entries_.end()) remove(existing);
  Entry& e = entries_[key];
  e.record = std::move(record);
  e.active_here = true;
  update_size(key, e);
  if (!e.record.owed) return;
  write(key, e);
  crash_point("take-queued");
  commit(std::move(done), "take-durable");
}

void CallLedger::resume(const std::string& key, bool fresh) {
  Entry* e = entry(key);
  if (!e) return;
  e->active_here = true;
  e->expires_ms = 0;
  if (fresh) e->record.attempts.clear();
}

void CallLedger::add_reply(const std::string& key, ReplyTo to, Done done) {
  Entry* e = entry(key);
  if (!e) return;
  e->record.replies.push_back(std::move(to));
  write(key, *e);
  commit(std::move(done));
}

std::size_t CallLedger::add_attempt(const std::string& key, std::uint32_t worker, Done done) {
  Entry* e = entry(key);
  if (!e) {  // no record to update: the attempt waits for earlier writes only
    commit(std::move(done));
    return 0;
  }
  const std::size_t number = e->record.attempts.size();
  e->record.attempts.push_back({worker, now_ms(), AttemptState::kInFlight});
  write(key, *e);
  crash_point("attempt-queued");
  commit(std::move(done), "attempt-durable");
  return number;
}

void CallLedger::mark_never_ran(const std::string& key, std::size_t number) {
  Entry* e = entry(key);
  if (!e || number >= e->record.attempts.size()) return;
  e->record.attempts[number].state = AttemptState::kNeverRan;
  write_behind(key, *e);
  crash_point("attempt-ended");
}

void CallLedger::answer(const std::string& key, Answer answer, Done done) {
  Entry* e = entry(key);
  if (!e) {
    if (done) done();
    return;
  }
  answer.at_ms = now_ms();
  e->record.answer = std::move(answer);
  // An answer that is sent together with the acknowledgement needs no write, unless the store already holds
  // an older version of the record.
  if (!done && !e->stored) return;
  if (!done) {
    write_behind(key, *e);
    return crash_point("answer-queued");
  }
  write(key, *e);
  crash_point("answer-queued");
  if (!writable()) return done();  // failing writes must not delay answers
  commit(std::move(done), "answer-durable");
  waiting_commits_.back().release_on_write_failure = true;
}

void CallLedger::delivered(const std::string& key, AfterDelivery how, std::int64_t keep_ms) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return;
  if (how == AfterDelivery::kDropRecord) {
    remove(it);
    return crash_point("delivered-queued");
  }
  Entry& e = it->second;
  e.record.delivered = true;
  if (how == AfterDelivery::kKeepWithoutAnswer) {
    e.record.body.clear(), e.record.replies.clear();
    if (e.record.answer) e.record.answer->body.clear();
  }
  const std::int64_t keep =
      keep_ms > 0 ? keep_ms : std::chrono::duration_cast<std::chrono::milliseconds>(options_.keep).count();
  e.record.keep_until_ms = now_ms() + keep;
  e.active_here = false;
  write(key, e);
  expire_at(key, e, e.record.keep_until_ms);
  crash_point("delivered-queued");
}

void CallLedger::release(const std::string& key) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return;
  if (!it->second.stored) return remove(it);
  it->second.active_here = false;
  expire_at(key, it->second,
            now_ms() + std::chrono::duration_cast<std::chrono::milliseconds>(options_.keep).count());
}

void CallLedger::forget(const std::string& key) {
  if (const auto it = entries_.find(key); it != entries_.end()) remove(it);
}

void CallLedger::remove(Entries::iterator it) {
  const std::string key = it->first;
  bytes_ -= it->second.size;
  it->second.usage->bytes -= it->second.size;
  --it->second.usage->records;
  if (it->second.stored) store_.erase(key);
  entries_.erase(it);
}

void CallLedger::sweep() {
  const std::int64_t now = now_ms();
  std::size_t processed = 0;
  sweep_->start(kSweepInterval);
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    // Limits the work of one turn, so that many expiries at once don't block calls.
    if (++processed > kSweepBatchSize) return sweep_->start(kSweepBatchPause);
    const auto [at, key] = *expiries_.begin();
    expiries_.erase(expiries_.begin());
    const auto it = entries_.find(key);
    if (it == entries_.end() || it->second.expires_ms != at) continue;
    // The message may still be redelivered, so the ledger no longer covers its queue completely.
    const std::string front = front_of(key);
    if (const auto t = coverage_complete_.find(front); t != coverage_complete_.end() && t->second) {
      t->second = false;
      store_.put(key_of(kCoverageKeyPrefix, front), "began");
    }
    remove(it);
  }
}

CallLedger::Usage CallLedger::usage(const std::string& front) const {
  const auto it = usage_.find(front);
  return it == usage_.end() ? Usage{} : it->second;
}

// ---- Coverage -------------------------------------------------------------------------------------------

Coverage CallLedger::coverage(const std::string& front) const {
  const auto it = coverage_complete_.find(front);
  return it != coverage_complete_.end() && it->second ? Coverage::kComplete : Coverage::kNone;
}

void CallLedger::begin_exclusive_reading(const std::string& front) {
  if (coverage_complete_.emplace(front, false).second) store_.put(key_of(kCoverageKeyPrefix, front), "began");
}

void CallLedger::mark_complete(const std::string& front) {
  const auto it = coverage_complete_.find(front);
  if (it == coverage_complete_.end() || it->second) return;
  it->second = true;
  store_.put(key_of(kCoverageKeyPrefix, front), "whole");
}

void CallLedger::end_exclusive_reading(const std::string& front) {
  if (coverage_complete_.erase(front) > 0) store_.erase(key_of(kCoverageKeyPrefix, front));
}

// ---- Write failures -------------------------------------------------------------------------------------

std::string CallLedger::refusal_reason() const {
  if (!writable()) return "the ledger cannot be written: " + write_error_;
  if (full()) return "the ledger holds as much as it may (" + std::to_string(entries_.size()) + " records)";
  return {};
}

void CallLedger::on_write_failed(const std::string& why, bool permanent) {
  const bool first_failure = write_error_.empty();
  write_error_ = why + (permanent ? "; the gateway must be restarted" : "");
  // Give waiting answers now instead of delaying them; after a crash they may be given a second time.
  std::vector<Done> waiting_answers;
  for (WaitingCommit& w : waiting_commits_)
    if (std::exchange(w.release_on_write_failure, false))
      waiting_answers.push_back(std::exchange(w.done, nullptr)), w.crash_point_name = nullptr;
  for (const Done& done : waiting_answers) done();
  if (first_failure && on_state) on_state(false);
}

void CallLedger::on_write_recovered() {
  if (write_error_.empty()) return;
  write_error_.clear();
  if (on_state) on_state(true);
}

}  // namespace laureltide::ledger
