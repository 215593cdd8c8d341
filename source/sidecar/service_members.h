// Decides whether a worker whose identity is known only from a response belongs to this node's
// service.
#pragma once

#include <deque>
#include <string>

#include "runshelf/common/clock.h"

namespace runshelf::sidecar {

// A response of a worker states its identity but not its service, and the address of a worker that
// has ended may be given to a worker of another service. A worker belongs to the service if a
// message or record that names the service names the worker, or if it answers so early after a
// worker of the service was running that the address cannot have been given away yet.
// Deterministic; not thread-safe.
class ServiceMembers {
 public:
  // `reuse_after`: shortest time from the end of a worker until its address may go to another
  // service; zero: not known.
  explicit ServiceMembers(Duration reuse_after) : reuse_after_(reuse_after) {}

  void set_reuse_after(Duration reuse_after) { reuse_after_ = reuse_after; }

  // A message or record that names the service names this worker.
  void Add(const std::string& identity);
  // A worker of the service was certainly running at the address at `alive_at`.
  void OnRunning(Instant alive_at);
  // Whether a worker that stated `identity` at the address belongs to the service. `received`: when
  // its response arrived.
  bool Include(const std::string& identity, Instant received) const;
  // The node serves another service from now on.
  void Clear();

 private:
  Duration reuse_after_;
  Instant running_at_{};
  std::deque<std::string> identities_;  // The latest ones, oldest first.
};

}  // namespace runshelf::sidecar
