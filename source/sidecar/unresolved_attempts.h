// Broken-off attempts at workers of other nodes, kept until it is known whether the worker's
// process ended.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "runshelf/common/clock.h"
#include "source/sidecar/request_fingerprint.h"

namespace runshelf::sidecar {

// The end of a worker is normally reported by the node next to it. If that node fails at the same
// time, only the nodes whose attempts broke off can report the end. They infer it once the node is
// back and announces a different worker.
// Deterministic; not thread-safe. Holds a bounded number of attempts.
class UnresolvedAttempts {
 public:
  // An attempt that broke off after the request may have been run.
  struct Attempt {
    std::string node;       // The node next to the worker.
    std::string worker_id;  // Identity of the worker, with its incarnation if known.
    RequestFingerprint request;
  };

  // Returns whether two identities may belong to the same worker. One of them may be known only in
  // part, for instance without its incarnation.
  using MayBeSame = std::function<bool(const std::string& worker_id, const std::string& other)>;
  explicit UnresolvedAttempts(MayBeSame may_be_same) : may_be_same_(std::move(may_be_same)) {}

  // Records an attempt that broke off at `now`. Drops the oldest one when full.
  void Add(Instant now, Attempt attempt);
  // The node announces this worker as its own; an empty `worker_id` means that it knows of none.
  void OnWorkerAt(Instant now, const std::string& node, const std::string& worker_id);
  // Removes and returns the attempts whose worker ended and whose node has had time to report the
  // end itself.
  std::vector<Attempt> TakeEnded(Instant now);
  bool empty() const { return attempts_.empty(); }

 private:
  struct Entry {
    Attempt attempt;
    Instant broken_at{};
    Instant replaced_at{};  // When another worker was announced; Instant{}: not yet.
  };

  MayBeSame may_be_same_;
  std::deque<Entry> attempts_;  // Ordered by `broken_at`.
};

}  // namespace runshelf::sidecar
