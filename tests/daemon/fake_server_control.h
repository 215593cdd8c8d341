// The control protocol of a server for tests: its process can be ended and started again, and
// grants can be held on their way.
#pragma once

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

#include "source/daemon/server_control.h"

namespace runshelf::daemon {

// A process of the server runs at first. Safe for use by several threads at once.
class FakeServerControl : public ServerControl {
 public:
  void EndProcess();
  // Another process; it has accepted nothing.
  void StartProcess();

  // Grants wait before they are sent. They reach whichever process runs when they go on.
  void HoldGrants();
  void LetGrantsGo();
  // Waits until a grant is held; false when none is for very long, as in the next.
  bool AwaitHeldGrant();

  // The connection of the next grant is lost before the server has read it.
  void LoseNextGrant();

  // Waits until so many more health checks have ended.
  bool AwaitHealthChecks(int count);

  // How many grants the process that was started last has accepted.
  int accepted() const;

  transport::HttpResult Control(const std::string& method, const std::string& target,
                                const std::string& body, Instant deadline) override;

 private:
  transport::HttpResult ExchangeLocked() const;
  transport::HttpResult TakeGrant();

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool running_ = true;
  bool hold_grants_ = false;
  bool lose_next_grant_ = false;
  int held_grants_ = 0;
  int health_checks_ = 0;
  int accepted_ = 0;
};

}  // namespace runshelf::daemon
