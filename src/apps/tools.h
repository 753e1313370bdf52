// What the stand-ins' and the player's programs share: tapes on disk, child processes, free ports.
#pragma once

#include <sys/types.h>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "base/io.h"
#include "standin/tape.h"

namespace laureltide::apps {

// Lines of JSON, flushed at each note: a process that is killed loses none.
class FileTape : public standin::Tape {
 public:
  explicit FileTape(const std::string& path);
  ~FileTape() override;
  void note(Time at, const char* what, nlohmann::json fields) override;

 private:
  std::FILE* file_ = nullptr;
};
std::vector<nlohmann::json> read_tape(const std::string& path);

// A port of 127.0.0.1 that no other program is given while this object lives; a child may listen on it.
class ReservedPort {
 public:
  ReservedPort();
  ~ReservedPort();
  ReservedPort(ReservedPort&& other) noexcept;
  std::uint16_t port() const { return port_; }

 private:
  int fd_ = -1;
  std::uint16_t port_ = 0;
};

// A child process that dies with this one. Its standard output comes here a line at a time.
class ChildProcess {
 public:
  ChildProcess(const std::vector<std::string>& command, const std::string& log);
  ~ChildProcess();  // kills it, if it still runs, and waits
  ChildProcess(const ChildProcess&) = delete;
  // Reads a line of its output; false if it ended, or said nothing for so long.
  bool read_line(std::string& line, Duration most);
  void signal(int number);
  bool running();
  // Waits for its end; the exit status, or -1 after `most`.
  int wait(Duration most);
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int out_ = -1;
  std::string buffer_;
  bool ended_ = false;
  int status_ = -1;
};

std::string executable_directory();  // of this program's file
std::string create_temp_directory(const std::string& prefix);

}  // namespace laureltide::apps
