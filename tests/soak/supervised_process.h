// A sidecar process as the platform keeps it: stopped by SIGTERM and, after the grace period,
// SIGKILL; started again whenever it has ended.
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
  // Each of the two starts it again `down` after it has ended, or after now if that is later.
  void Kill(Instant now, Duration down);
  // Returns false when it is stopping already or does not run.
  bool Terminate(Instant now, Duration down);
  void Pause();
  void Resume();
  void HangUp();

  enum class Event { kNone, kStarted, kEnded, kEndedByItself };
  // Call often: notices an end, kills what outlasts its grace period, starts again what is due.
  Event Watch(Instant now);

  bool running() const { return running_; }
  bool paused() const { return paused_; }
  // Counts the starts.
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
