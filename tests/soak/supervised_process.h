// A sidecar process under the platform's supervision: stopped by SIGTERM and, after the grace
// period, SIGKILL; restarted whenever it has exited.
#pragma once

#include <optional>
#include <string>

#include "runshelf/common/clock.h"
#include "tests/soak/sidecar_process.h"

namespace runshelf::soak {

class SupervisedProcess {
 public:
  SupervisedProcess(std::string program, std::string settings_path, std::string log_path,
                    Duration grace_period)
      : process_(std::move(program), std::move(settings_path), std::move(log_path)),
        grace_period_(grace_period) {}

  bool Start();
  // Both schedule a restart: Kill `down` after `now`, Terminate `down` after the exit. If both are
  // called, the later time applies.
  void Kill(Instant now, Duration down);
  // Returns false if the process is already stopping or does not run.
  bool Terminate(Instant now, Duration down);
  void Pause();
  void Resume();
  // Sends SIGHUP.
  void HangUp();

  // kEnded: exited after SIGKILL, or cleanly after Terminate. kUnexpectedExit: any other exit.
  enum class Event { kNone, kStarted, kEnded, kUnexpectedExit };
  // Detects an exit, kills a process that outlasts its grace period, and restarts one that is due;
  // must be called at short intervals.
  Event Watch(Instant now);

  bool running() const { return running_; }
  bool paused() const { return paused_; }
  // Number of starts so far.
  int life() const { return life_; }
  bool stopping() const { return terminated_at_.has_value(); }
  pid_t pid() const { return process_.pid(); }
  int last_exit() const { return process_.last_exit(); }

 private:
  SidecarProcess process_;
  Duration grace_period_;
  std::optional<Instant> terminated_at_;
  Instant start_at_{};
  Duration down_{0};
  int life_ = 0;
  bool running_ = false;
  bool killed_ = false;
  bool paused_ = false;
};

}  // namespace runshelf::soak
