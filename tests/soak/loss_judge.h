// Checks, from the observations of callers and workers, that planned stops and reloads of nodes
// lose no requests. Performs no I/O; the caller supplies all timestamps, taken from one clock.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

// How a worker's processing of a request ended.
enum class WorkEnd {
  kAnswered,   // The worker sent its response.
  kBrokenOff,  // The worker exited or closed the connection.
  kCancelled,  // The node closed the connection to the worker.
};

// The processing of one request by a worker.
struct Work {
  Instant began{};
  std::optional<Instant> ended;  // Absent while in progress.
  WorkEnd end = WorkEnd::kAnswered;
};

// A completed attempt as observed by its caller, which is a client or a calling worker.
struct FinishedAttempt {
  enum class End {
    kAnswered,
    kClosed,  // Orderly close: the node had read everything that was sent.
    kReset,   // Connection reset: the node may not have read the request.
  };

  std::string id;
  size_t node = 0;  // Node that received the attempt.
  Instant sent_at{};
  Instant ended_at{};
  Instant time_up{};             // The earlier of the caller's deadline and the route's time-out.
  bool disturbed = false;        // An unplanned fault occurred shortly before it was sent or since.
  bool kept_connection = false;  // Sent on a reused keep-alive connection.
  End end = End::kAnswered;
  bool by_worker = false;  // The response came from a worker, not the node.
  std::vector<Work> work;
};

// `grace_period`: time a node has to shut down after SIGTERM. `loss_slack`: a connection closed
// sooner than this is not counted as a lost request. `config_apply`: time a reload may take.
struct LossBounds {
  Duration grace_period = std::chrono::seconds(6);
  Duration loss_slack = std::chrono::milliseconds(200);
  Duration config_apply = std::chrono::milliseconds(2000);
};

// Collects stops, reloads and completed attempts, and reports lost requests.
class LossJudge {
 public:
  explicit LossJudge(LossBounds bounds) : bounds_(bounds) {}

  // A node received SIGTERM or SIGHUP, respectively.
  void OnStopAsked(size_t node, Instant at) { stops_[node].push_back(at); }
  void OnReloadAsked(size_t node, Instant at) { reloads_[node].push_back(at); }
  void OnFinished(const FinishedAttempt& attempt);

  // One line per violation, in the order of detection.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  std::optional<Instant> StopAround(const FinishedAttempt& attempt) const;
  bool ReloadAround(const FinishedAttempt& attempt) const;
  bool IsDropped(const FinishedAttempt& attempt) const;
  void OnClosedOutsideStops(const FinishedAttempt& attempt);

  LossBounds bounds_;
  std::map<size_t, std::vector<Instant>> stops_;
  std::map<size_t, std::vector<Instant>> reloads_;
  std::map<size_t, int> closed_outside_stops_;  // Count by node.
  std::vector<std::string> violations_;
};

}  // namespace runshelf::soak
