#include "standin/list.h"

namespace laureltide::standin {

class ListService::Client : public io::ConnectionEvents {
 public:
  Client(ListService& service, std::unique_ptr<io::Connection> c)
      : service_(service), connection_(std::move(c)) {}
  std::size_t on_bytes(std::string_view bytes) override {
    std::size_t used = 0;
    for (std::size_t end; (end = bytes.find('\n', used)) != std::string_view::npos; used = end + 1) {
      const auto doc = nlohmann::json::parse(bytes.substr(used, end - used), nullptr, false);
      if (!doc.is_object()) continue;
      if (doc.contains("follow")) name = doc.value("follow", ""), following = true;
      service_.tell(*this, service_.full());
    }
    return bytes.size() - used > 4096 ? bytes.size() : used;
  }
  void on_closed(io::CloseReason) override {
    const auto it = service_.clients_.find(this);
    auto self = std::move(it->second);
    service_.clients_.erase(it);
    service_.dead_.delete_later(std::move(self));
  }
  void write(std::string_view text) { connection_->write(text); }
  std::string name;
  bool following = false;

 private:
  ListService& service_;
  std::unique_ptr<io::Connection> connection_;
};

ListService::ListService(io::Host& host, Tape& tape)
    : host_(host), tape_(tape), dead_(host), epoch_(host.unix_ms()) {}
ListService::~ListService() { clients_.clear(); }

bool ListService::listen(const io::Address& at) {
  listener_ = host_.listen(at, {}, [this](std::unique_ptr<io::Connection> c) -> io::ConnectionEvents* {
    auto fresh = std::make_unique<Client>(*this, std::move(c));
    Client* raw = fresh.get();
    clients_[raw] = std::move(fresh);
    return raw;
  });
  return listener_ != nullptr;
}

members::Update ListService::full() const {
  members::Update u;
  u.epoch = epoch_, u.version = told_version_;
  for (const auto& [id, m] : told_) u.members.push_back(m);
  return u;
}

void ListService::tell(Client& client, const members::Update& update) {
  client.write(members::write_update(update) + "\n");
  // What the controller was told of each worker that it must leave alone: rule 3 counts from here.
  nlohmann::json states = nlohmann::json::object();
  for (const members::Member& m : update.members)
    states[std::to_string(m.id)] = m.state == WorkerState::kReady      ? "ready"
                                   : m.state == WorkerState::kDraining ? "draining"
                                                                       : "gone";
  nlohmann::json starts = nlohmann::json::object();
  for (const members::Member& m : update.members)
    if (m.started_unix_ms) starts[std::to_string(m.id)] = *m.started_unix_ms;
  tape_.note(host_.now(), "told",
             {{"to", client.name}, {"full", update.full}, {"states", states}, {"starts", starts}});
}

void ListService::push(const members::Update& update) {
  auto send = [this, update] {
    if (update.epoch != epoch_) return;
    for (const members::Member& m : update.members) told_[m.id] = m;
    told_version_ = update.version;
    for (auto& [raw, client] : clients_)
      if (client->following) tell(*client, update);
    for (const members::Member& m : update.members)
      if (m.state == WorkerState::kGone) told_.erase(m.id);
  };
  if (lag_ <= Duration(0)) return send();
  late_.push_back(host_.timer(send));
  late_.back()->start(lag_);
}

void ListService::set(const members::Member& member) {
  members_[member.id] = member;
  members::Update u;
  u.full = false, u.epoch = epoch_, u.from = version_, u.version = ++version_;
  u.members = {member};
  push(u);
}

void ListService::remove(std::uint32_t id) {
  const auto it = members_.find(id);
  if (it == members_.end()) return;
  members::Member gone = it->second;
  gone.state = WorkerState::kGone;
  members_.erase(it);
  members::Update u;
  u.full = false, u.epoch = epoch_, u.from = version_, u.version = ++version_;
  u.members = {gone};
  push(u);
}

void ListService::send_outdated_list(std::uint64_t back) {
  members::Update u = full();
  u.version = u.version > back ? u.version - back : 0;
  u.members.clear();  // an old list that knows of nobody
  for (auto& [raw, client] : clients_) client->write(members::write_update(u) + "\n");
}

void ListService::begin_new_epoch() {
  epoch_ = std::max(host_.unix_ms(), epoch_ + 1);
  version_ = told_version_ = 1;
  told_ = members_;
  for (auto& [raw, client] : clients_) tell(*client, full());
}

void ListService::send_raw(std::string_view line) {
  for (auto& [raw, client] : clients_) client->write(line);
}

}  // namespace laureltide::standin
