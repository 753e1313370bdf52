// Helpers of the stand-in and day runner programs: event logs (tapes) on disk, child processes, free ports.
#pragma once

#include <sys/types.h>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "base/io.h"
#include "standin/tape.h"

namespace laureltide::apps {

// Writes each event as a line of JSON and flushes it, so that a killed process loses no event.
class FileTape : public standin::Tape {
 public:
  explicit FileTape(const std::string& path);
  ~FileTape() override;
  void note(Time at, const char* what, nlohmann::json fields) override;

 private:
  std::FILE* file_ = nullptr;
};
// Reads the events of a tape file; lines that are not JSON objects are skipped.
std::vector<nlohmann::json> read_tape(const std::string& path);

// A free port of 127.0.0.1. The system gives it to no other program while this object exists; a child process
// may listen on it.
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

// A child process, killed when this process ends. Its standard output is read line by line.
class ChildProcess {
 public:
  ChildProcess(const std::vector<std::string>& command, const std::string& log);
  ~ChildProcess();  // kills the process if it still runs, and reaps it
  ChildProcess(const ChildProcess&) = delete;
  // Reads a line of its output; false if the output ended or no line came within `timeout`.
  bool read_line(std::string& line, Duration timeout);
  void signal(int number);
  bool running();
  // Waits for the process to exit; returns its exit status (128 + signal if killed), or -1 after `timeout`.
  int wait(Duration timeout);
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int output_fd_ = -1;
  std::string buffer_;
  bool exited_ = false;
  int status_ = -1;
};

// The directory of the running executable.
std::string executable_directory();
// Creates a new directory for temporary files whose name begins with `prefix`.
std::string create_temp_directory(const std::string& prefix);

}  // namespace laureltide::apps
