// A real sidecar process, started from its executable and a settings file and disturbed only by
// signals.
#pragma once

#include <sys/types.h>

#include <string>

namespace runshelf::soak {

class SidecarProcess {
 public:
  // `settings_path` is read at each start; standard output and error are appended to `log_path`.
  SidecarProcess(std::string program, std::string settings_path, std::string log_path);
  // Kills the process if it is still running.
  ~SidecarProcess();
  SidecarProcess(const SidecarProcess&) = delete;
  SidecarProcess& operator=(const SidecarProcess&) = delete;

  // Returns false when the program could not be started.
  bool Start();
  // No effect while the process does not run.
  void Signal(int signal_number);
  // Reaps the process if it has exited. Returns true while it is running.
  bool Running();
  // Process id; 0 while the process is not running.
  pid_t pid() const { return pid_; }
  // Exit status of the last run, or the negated number of the signal that terminated it.
  int last_exit() const { return last_exit_; }

 private:
  std::string program_;
  std::string settings_path_;
  std::string log_path_;
  pid_t pid_ = 0;  // 0 while the process is not running.
  int last_exit_ = 0;
};

}  // namespace runshelf::soak
