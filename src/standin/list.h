// A stand-in for the discovery service: pushes changes of the worker list to its subscribers after a delay.
// On request it sends outdated lists, skips versions or begins a new epoch. docs/list.md has the line format.
#pragma once

#include <map>
#include <memory>

#include "base/io.h"
#include "members/list.h"
#include "standin/tape.h"

namespace laureltide::standin {

class ListService {
 public:
  ListService(io::Host& host, Tape& tape);
  ~ListService();
  bool listen(const io::Address& at);
  io::Address address() const { return listener_->address(); }

  // Changes the list now; subscribers are notified after the lag.
  void set(const members::Member& member);
  void remove(std::uint32_t id);
  void set_lag(Duration lag) { lag_ = lag; }
  void skip_version() { ++version_; }           // the next change follows a version that was never sent
  void send_outdated_list(std::uint64_t back);  // a full list of an earlier version
  void begin_new_epoch();                       // restarts versions at 1, as a restarted service does
  void send_raw(std::string_view line);

 private:
  class Client;
  void push(const members::Update& update);
  void send_update(Client& client, const members::Update& update);
  members::Update full_update() const;

  io::Host& host_;
  Tape& tape_;
  std::unique_ptr<io::Listener> listener_;
  std::map<Client*, std::unique_ptr<Client>> clients_;
  io::DeferredDeleter<Client> dead_;
  std::map<std::uint32_t, members::Member> members_;
  std::map<std::uint32_t, members::Member> published_;  // as last sent; lags behind members_
  std::int64_t epoch_;
  std::uint64_t version_ = 1, published_version_ = 1;
  Duration lag_{};
  std::vector<std::unique_ptr<io::Timer>> delayed_updates_;
};

}  // namespace laureltide::standin
