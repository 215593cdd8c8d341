// A real sidecar process: started from its program and a settings file, disturbed by signals only.
#pragma once

#include <sys/types.h>

#include <string>

namespace runshelf::soak {

class SidecarProcess {
 public:
  // `settings_path` is read at each start; standard output and error are appended to `log_path`.
  SidecarProcess(std::string program, std::string settings_path, std::string log_path);
  // Kills the process if it still runs.
  ~SidecarProcess();
  SidecarProcess(const SidecarProcess&) = delete;
  SidecarProcess& operator=(const SidecarProcess&) = delete;

  // Returns false when the program could not be started.
  bool Start();
  // No effect while the process does not run.
  void Signal(int signal_number);
  // Notices an end; true while the process runs.
  bool Running();
  // Zero while it does not run.
  pid_t pid() const { return pid_; }
  // Of the latest end: the exit status, or the negative number of the signal that ended it.
  int last_exit() const { return last_exit_; }

 private:
  std::string program_;
  std::string settings_path_;
  std::string log_path_;
  pid_t pid_ = 0;  // Zero while it does not run.
  int last_exit_ = 0;
};

}  // namespace runshelf::soak
