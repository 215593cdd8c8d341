// Workers whose process ends when they begin certain requests, and that start again after a while.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/platform_adapter/fleet.h"

namespace runshelf::platform_adapter {

// Every worker of a fleet but those of the service "other". A request whose target contains "fatal"
// ends the worker that begins it; others are answered. Outlived by the fleet.
class CrashingWorkers {
 public:
  explicit CrashingWorkers(Fleet& fleet);

  // Between the end of a worker and the start of its next life.
  void set_down(Duration down) { down_ = down; }
  // How long a request runs; of a fatal one, until its worker ends.
  void set_run_time(Duration run_time) { run_time_ = run_time; }

  // Ends a worker for a reason of its own.
  void End(size_t node);
  // Requests with this target that workers began, and when.
  const std::vector<Instant>& Begun(const std::string& target) { return begun_[target]; }
  // Node whose worker began a request with this target last.
  size_t LastNode(const std::string& target) { return last_node_[target]; }
  // How many of them began later than `after` the third; zero when there were fewer.
  size_t BegunAfterThird(const std::string& target, Duration after);
  // How many began in the first worker that was to end, beside the one that ended it.
  size_t BegunBesideFirst(const std::string& target) { return beside_first_[target]; }
  // Ends of workers so far.
  size_t ends() const { return ends_; }
  bool AllUp() const;

 private:
  void Attach(size_t node);
  void StartNext(size_t node);
  void Later(Duration delay, std::function<void()> action);

  Fleet& fleet_;
  Duration down_ = std::chrono::milliseconds(700);
  Duration run_time_ = std::chrono::milliseconds(20);
  std::vector<int64_t> born_;
  std::vector<uint16_t> ports_;
  std::vector<std::unique_ptr<event::Timer>> later_;
  std::map<std::string, std::vector<Instant>> begun_;
  std::map<std::string, size_t> last_node_;
  std::map<std::string, size_t> beside_first_;
  std::set<size_t> doomed_;  // Nodes whose worker runs a fatal request.
  size_t ends_ = 0;
};

// Sends one request again and again, from the given nodes in turn. Outlived by the fleet.
class RepeatingCaller {
 public:
  struct Message {
    std::string method = "GET";
    std::string target;
    std::string body;
    http::Headers headers;
  };
  RepeatingCaller(Fleet& fleet, std::vector<size_t> nodes, Message message, Duration interval);

  // Sends nothing more and waits for all answers.
  void Finish();
  size_t sent() const { return requests_.size(); }
  size_t Count(int status) const;

 private:
  void Send();

  Fleet& fleet_;
  std::vector<size_t> nodes_;
  Message message_;
  event::Timer timer_;
  std::vector<std::unique_ptr<Fleet::PendingRequest>> requests_;
};

}  // namespace runshelf::platform_adapter
