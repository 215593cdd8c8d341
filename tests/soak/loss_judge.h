// Judges whether requests were lost around planned stops and reloads of nodes, from what callers
// and workers saw. Free of input and output; times are given by the caller and belong to one clock.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

enum class WorkEnd {
  kAnswered,   // The worker gave its answer.
  kBrokenOff,  // The worker ended, or broke the connection.
  kCancelled,  // The connection to the worker was closed from the other side.
};

// A worker's work on one request.
struct Work {
  Instant began{};
  std::optional<Instant> ended;  // Absent while it goes on.
  WorkEnd end = WorkEnd::kAnswered;
};

// An attempt that has ended, as its caller saw it: a client, or a worker that makes a call.
struct FinishedAttempt {
  enum class End {
    kAnswered,
    kClosed,  // The connection ended in order: the node had read all that was sent.
    kReset,   // It broke: the node may not have read the request.
  };

  std::string id;
  size_t node = 0;  // That it was sent to.
  Instant sent_at{};
  Instant ended_at{};
  Instant time_up{};       // The caller's deadline or the route's timeout, whichever is earlier.
  bool disturbed = false;  // By unplanned faults, too shortly before it was sent or since.
  bool kept_connection = false;  // It went out on a connection that had served others.
  End end = End::kAnswered;
  bool by_worker = false;  // The answer is a worker's.
  std::vector<Work> work;
};

struct LossBounds {
  Duration grace_period = std::chrono::seconds(6);
  Duration loss_slack = std::chrono::milliseconds(200);
  Duration config_apply = std::chrono::milliseconds(2000);
};

class LossJudge {
 public:
  explicit LossJudge(LossBounds bounds) : bounds_(bounds) {}

  // A node got SIGTERM, or SIGHUP.
  void OnStopAsked(size_t node, Instant at) { stops_[node].push_back(at); }
  void OnReloadAsked(size_t node, Instant at) { reloads_[node].push_back(at); }
  void OnFinished(const FinishedAttempt& attempt);

  // One line for each finding, in the order in which they were seen.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  std::optional<Instant> StopAround(const FinishedAttempt& attempt) const;
  bool ReloadAround(const FinishedAttempt& attempt) const;
  bool IsCut(const FinishedAttempt& attempt) const;
  void OnClosedInPeace(const FinishedAttempt& attempt);

  LossBounds bounds_;
  std::map<size_t, std::vector<Instant>> stops_;
  std::map<size_t, std::vector<Instant>> reloads_;
  std::map<size_t, int> closed_in_peace_;  // By node.
  std::vector<std::string> violations_;
};

}  // namespace runshelf::soak
