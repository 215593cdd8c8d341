// Test helpers: workers that crash when they execute certain requests and restart after a delay,
// and a client that repeats such a request.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/platform_adapter/fleet.h"

namespace runshelf::platform_adapter {

// Controls all workers of a fleet except those of the service "other". A request whose target
// contains "fatal" crashes the worker that executes it; other requests get a response. The fleet
// must outlive this object.
class CrashingWorkers {
 public:
  explicit CrashingWorkers(Fleet& fleet);

  // Time between a worker's crash and its restart.
  void set_down(Duration down) { down_ = down; }
  // Execution time of a request; for a fatal one, the time until its worker crashes.
  void set_run_time(Duration run_time) { run_time_ = run_time; }

  // Crashes a worker independently of any request.
  void End(size_t node);
  // Times at which workers began to execute requests with this target.
  const std::vector<Instant>& Begun(const std::string& target) { return begun_[target]; }
  // Node whose worker was the last to begin a request with this target.
  size_t LastNode(const std::string& target) { return last_node_[target]; }
  // Number of requests with this target that began more than `after` after the third one's
  // execution time had passed; zero when fewer than three began.
  size_t BegunAfterThird(const std::string& target, Duration after);
  // Number of fatal requests with this target that began on the first worker to crash while it was
  // already executing a fatal request.
  size_t BegunBesideFirst(const std::string& target) { return beside_first_[target]; }
  // Number of worker crashes so far.
  size_t ends() const { return ends_; }
  // Whether every node has a running worker.
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
  std::set<size_t> crashing_nodes_;  // Nodes whose worker is executing a fatal request.
  size_t ends_ = 0;
};

// Sends the same request at a fixed interval through the given nodes in turn. The fleet must
// outlive this object.
class RepeatingCaller {
 public:
  struct Message {
    std::string method = "GET";
    std::string target;
    std::string body;
    http::Headers headers;
  };
  RepeatingCaller(Fleet& fleet, std::vector<size_t> nodes, Message message, Duration interval);

  // Stops sending and waits until all requests have completed.
  void Finish();
  size_t sent() const { return requests_.size(); }
  // Number of responses with the status; zero counts requests without a response.
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
