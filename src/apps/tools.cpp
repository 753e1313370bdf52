#include "apps/tools.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace laureltide::apps {

FileTape::FileTape(const std::string& path) : file_(path.empty() ? nullptr : std::fopen(path.c_str(), "ae")) {
  if (!path.empty() && !file_) throw std::runtime_error("cannot write " + path);
}
FileTape::~FileTape() {
  if (file_) std::fclose(file_);
}
void FileTape::note(Time at, const char* what, nlohmann::json fields) {
  if (!file_) return;
  fields["t"] = at.time_since_epoch().count();
  fields["e"] = what;
  const std::string line = fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  std::fwrite(line.data(), 1, line.size(), file_);
  std::fflush(file_);
}

std::vector<nlohmann::json> read_tape(const std::string& path) {
  std::vector<nlohmann::json> tape;
  std::ifstream in(path);
  for (std::string line; std::getline(in, line);)
    if (auto doc = nlohmann::json::parse(line, nullptr, false); doc.is_object())
      tape.push_back(std::move(doc));
  return tape;
}

ReservedPort::ReservedPort() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  // Bound but not listening: with SO_REUSEADDR on both sockets the child can bind the same port.
  const int enable = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  if (fd_ < 0 || bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("no free port on 127.0.0.1");
  port_ = ntohs(address.sin_port);
}
ReservedPort::~ReservedPort() {
  if (fd_ >= 0) close(fd_);
}
ReservedPort::ReservedPort(ReservedPort&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), port_(other.port_) {}

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& log) {
  int pipes[2];
  if (pipe2(pipes, O_CLOEXEC) != 0) throw std::runtime_error("cannot create a pipe");
  std::vector<char*> argv;
  for (const std::string& argument : command) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("cannot fork");
  if (pid_ == 0) {
    sigset_t no_signals;  // the child must not inherit signals that the parent blocks
    sigemptyset(&no_signals);
    sigprocmask(SIG_SETMASK, &no_signals, nullptr);
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // the child does not outlive this process, however it ends
    if (getppid() != parent) _exit(127);
    dup2(pipes[1], STDOUT_FILENO);
    const int err =
        open(log.empty() ? "/dev/null" : log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (err >= 0) dup2(err, STDERR_FILENO);
    const int in = open("/dev/null", O_RDONLY | O_CLOEXEC);
    if (in >= 0) dup2(in, STDIN_FILENO);
    execv(argv[0], argv.data());
    _exit(127);
  }
  close(pipes[1]);
  output_fd_ = pipes[0];
}

ChildProcess::~ChildProcess() {
  if (running()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
  }
  close(output_fd_);
}

bool ChildProcess::read_line(std::string& line, Duration timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (true) {
    if (const std::size_t end = buffer_.find('\n'); end != std::string::npos) {
      line = buffer_.substr(0, end);
      buffer_.erase(0, end + 1);
      return true;
    }
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    pollfd ready{output_fd_, POLLIN, 0};
    if (remaining.count() <= 0 || poll(&ready, 1, static_cast<int>(remaining.count())) <= 0) return false;
    char bytes[4096];
    const ssize_t n = read(output_fd_, bytes, sizeof bytes);
    if (n <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(n));
  }
}

void ChildProcess::signal(int number) {
  if (running()) kill(pid_, number);
}

bool ChildProcess::running() {
  if (exited_ || pid_ < 0) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == pid_) exited_ = true, status_ = status;
  return !exited_;
}

int ChildProcess::wait(Duration timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (running() && std::chrono::steady_clock::now() < deadline) usleep(5000);
  if (!exited_) return -1;
  return WIFEXITED(status_) ? WEXITSTATUS(status_) : 128 + WTERMSIG(status_);
}

std::string executable_directory() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

std::string create_temp_directory(const std::string& prefix) {
  std::string pattern = (std::filesystem::temp_directory_path() / (prefix + "XXXXXX")).string();
  if (!mkdtemp(pattern.data())) throw std::runtime_error("cannot create the directory " + pattern);
  return pattern;
}

}  // namespace laureltide::apps
