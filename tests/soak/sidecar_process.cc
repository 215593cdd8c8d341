#include "tests/soak/sidecar_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <utility>

namespace runshelf::soak {
namespace {

constexpr int kLogMode = 0644;

}  // namespace

SidecarProcess::SidecarProcess(std::string program, std::string settings_path, std::string log_path)
    : program_(std::move(program)),
      settings_path_(std::move(settings_path)),
      log_path_(std::move(log_path)) {}

SidecarProcess::~SidecarProcess() {
  if (!Running()) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

bool SidecarProcess::Start() {
  if (Running()) return true;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   kLogMode);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  std::string option = "--settings";
  char* arguments[] = {program_.data(), option.data(), settings_path_.data(), nullptr};
  char* environment[] = {nullptr};
  const int error = posix_spawn(&pid_, program_.c_str(), &actions, nullptr, arguments, environment);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) pid_ = 0;
  return error == 0;
}

void SidecarProcess::Signal(int signal_number) {
  if (Running()) kill(pid_, signal_number);
}

bool SidecarProcess::Running() {
  if (pid_ == 0) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  pid_ = 0;
  last_exit_ = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
  return false;
}

}  // namespace runshelf::soak
