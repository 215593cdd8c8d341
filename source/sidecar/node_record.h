// What each node announces of itself and of the worker beside it, in an item under its lease.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "source/event/tcp_stream.h"

namespace runshelf::sidecar {

// Whether the worker beside a node takes new work.
enum class WorkerState {
  kAbsent,  // None is known, or it stopped answering.
  kReady,
  kDraining,  // Leaving: it finishes what it has.
};

struct NodeRecord {
  std::string node;
  uint64_t incarnation = 0;  // Drawn when the process started.
  event::Endpoint inbound;   // Takes requests of other nodes.
  std::string zone;
  std::string service;  // Of the worker.
  std::string worker_id;
  uint32_t slots = 0;
  WorkerState worker_state = WorkerState::kAbsent;
  // Of the machine, as its settings say; zero: not known. The stronger ones lead the state feed.
  uint32_t processor_percent = 0;  // Of one core.
  uint32_t link_megabits = 0;      // A second.
  bool stopping = false;           // The node is about to end.
  bool takes_keys = true;  // The worker can be given keys; false while its heartbeats are cut off.

  bool operator==(const NodeRecord&) const = default;

  // The worker takes new requests through this node.
  bool accepting() const { return worker_state == WorkerState::kReady && !stopping; }

  // The worker may become the owner of keys.
  bool accepts_keys() const { return accepting() && takes_keys; }

  std::string Serialize() const;
  // nullopt when `text` is no record.
  static std::optional<NodeRecord> Parse(const std::string& text);
};

}  // namespace runshelf::sidecar
