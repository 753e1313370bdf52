// Runs `laureltide node` as a process for tests, with its configuration file, log and port.
#pragma once

#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <utility>

#include "apps/tools.h"
#include "node/configuration.h"

namespace laureltide::apps {

class NodeProcess {
 public:
  NodeProcess(std::string name, const std::string& dir, nlohmann::json doc)
      : dir_(dir + "/" + name), doc_(std::move(doc)) {
    std::filesystem::create_directories(dir_);
    doc_["name"] = name;
    doc_["listen"] = address().text();
  }
  void start(const std::string& known) {
    doc_["known"] = nlohmann::json::parse(known);
    std::ofstream(dir_ + "/config.json") << doc_.dump();
    setenv("ROUTER_CONFIG", (dir_ + "/config.json").c_str(), 1);
    child_ = std::make_unique<ChildProcess>(
        std::vector<std::string>{std::string(LAURELTIDE_BIN) + "/laureltide", "node"}, dir_ + "/log");
  }
  void signal(int number) { child_->signal(number); }
  int wait() { return child_->wait(std::chrono::seconds(10)); }
  io::Address address() const { return {"127.0.0.1", port_.port()}; }
  std::string log() const {
    std::ifstream in(dir_ + "/log");
    return {std::istreambuf_iterator<char>(in), {}};
  }

 private:
  ReservedPort port_;
  std::string dir_;
  nlohmann::json doc_;
  std::unique_ptr<ChildProcess> child_;
};

}  // namespace laureltide::apps
