// A stand-in list service: pushes the fleet's changes to its followers, late, and at will stale, backwards or
// with gaps. docs/list.md has its lines.
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

  // What is true from now on; followers hear of it `lag` later.
  void set(const members::Member& member);
  void remove(std::uint32_t id);
  void set_lag(Duration lag) { lag_ = lag; }
  void skip_version() { ++version_; }           // the next change builds on one that nobody was sent
  void send_outdated_list(std::uint64_t back);  // a full list of an earlier version
  void begin_new_epoch();                       // a new life of the service that counts from 1
  void send_raw(std::string_view line);

 private:
  class Client;
  void push(const members::Update& update);
  void tell(Client& client, const members::Update& update);
  members::Update full() const;

  io::Host& host_;
  Tape& tape_;
  std::unique_ptr<io::Listener> listener_;
  std::map<Client*, std::unique_ptr<Client>> clients_;
  io::DeferredDeleter<Client> dead_;
  std::map<std::uint32_t, members::Member> members_;
  std::map<std::uint32_t, members::Member> told_;  // as of the last push, which lags behind
  std::int64_t epoch_;
  std::uint64_t version_ = 1, told_version_ = 1;
  Duration lag_{};
  std::vector<std::unique_ptr<io::Timer>> late_;
};

}  // namespace laureltide::standin
