// Attempts at workers beside other nodes that broke off, until it shows whether the worker ended.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "runshelf/common/clock.h"
#include "source/sidecar/request_fingerprint.h"

namespace runshelf::sidecar {

// The node beside a worker counts its end. When that node is lost in the same moment, nobody would
// know of the end but those whose attempts broke off; that another worker is beside the node, once
// it is back, tells them that the former one ended.
// Deterministic; not thread-safe. Bounded, however many attempts break off.
class UnresolvedAttempts {
 public:
  struct Attempt {
    std::string node;
    std::string worker_id;  // Of the incarnation.
    RequestFingerprint request;
  };

  // Tells whether two identities may be those of one worker: what is known of one may be less.
  using MayBeSame = std::function<bool(const std::string& worker_id, const std::string& other)>;
  explicit UnresolvedAttempts(MayBeSame may_be_same) : may_be_same_(std::move(may_be_same)) {}

  void Add(Instant now, Attempt attempt);
  // The node says that this worker is beside it; empty: it knows of none.
  void OnWorkerAt(Instant now, const std::string& node, const std::string& worker_id);
  // Those whose worker ended, and whose node had its time to tell of it; forgets them.
  std::vector<Attempt> TakeEnded(Instant now);
  bool empty() const { return attempts_.empty(); }

 private:
  struct Entry {
    Attempt attempt;
    Instant broken_at{};
    Instant replaced_at{};  // Instant{}: the worker may live.
  };

  MayBeSame may_be_same_;
  std::deque<Entry> attempts_;  // By `broken_at`.
};

}  // namespace runshelf::sidecar
