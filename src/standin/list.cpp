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
      if (doc.contains("follow")) name = doc.value("follow", ""), subscribed = true;
      service_.send_update(*this, service_.full_update());
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
  bool subscribed = false;

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

members::Update ListService::full_update() const {
  members::Update u;
  u.epoch = epoch_, u.version = published_version_;
  for (const auto& [id, m] : published_) u.members.push_back(m);
  return u;
}

void ListService::send_update(Client& client, const members::Update& update) {
  client.write(members::write_update(update) + "\n");
  // The checker counts rule 3 from this record: the states that the controller was notified of.
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
    for (const members::Member& m : update.members) published_[m.id] = m;
    published_version_ = update.version;
    for (auto& [raw, client] : clients_)
      if (client->subscribed) send_update(*client, update);
    for (const members::Member& m : update.members)
      if (m.state == WorkerState::kGone) published_.erase(m.id);
  };
  if (lag_ <= Duration(0)) return send();
  delayed_updates_.push_back(host_.timer(send));
  delayed_updates_.back()->start(lag_);
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
  members::Member removed = it->second;
  removed.state = WorkerState::kGone;
  members_.erase(it);
  members::Update u;
  u.full = false, u.epoch = epoch_, u.from = version_, u.version = ++version_;
  u.members = {removed};
  push(u);
}

void ListService::send_outdated_list(std::uint64_t back) {
  members::Update u = full_update();
  u.version = u.version > back ? u.version - back : 0;
  u.members.clear();  // an outdated list without workers
  for (auto& [raw, client] : clients_) client->write(members::write_update(u) + "\n");
}

void ListService::begin_new_epoch() {
  epoch_ = std::max(host_.unix_ms(), epoch_ + 1);
  version_ = published_version_ = 1;
  published_ = members_;
  for (auto& [raw, client] : clients_) send_update(*client, full_update());
}

void ListService::send_raw(std::string_view line) {
  for (auto& [raw, client] : clients_) client->write(line);
}

}  // namespace laureltide::standin
