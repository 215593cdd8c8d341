// Record in which each node announces itself and its worker; stored as an item bound to the node's
// lease.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "source/event/tcp_stream.h"

namespace runshelf::sidecar {

// Whether the worker of a node accepts new requests.
enum class WorkerState {
  kAbsent,  // No worker is known, or it stopped responding.
  kReady,
  kDraining,  // Leaving: it finishes the requests it has.
};

// Announcement of one node, serialized as a JSON object.
struct NodeRecord {
  std::string node;
  uint64_t incarnation = 0;  // Random number drawn at the start of the process.
  event::Endpoint inbound;   // Receives requests of other nodes.
  std::string zone;
  std::string service;  // Service of the worker.
  std::string worker_id;
  uint32_t slots = 0;
  WorkerState worker_state = WorkerState::kAbsent;
  // Resources of the machine from its settings; zero: unknown. Nodes with more resources are
  // preferred as leaders of the state feed.
  uint32_t processor_percent = 0;  // 100 is one core.
  uint32_t link_megabits = 0;      // Mbit/s.
  bool stopping = false;           // The node is shutting down.
  bool takes_keys = true;  // The worker can be granted keys; false if its heartbeats are missing.

  bool operator==(const NodeRecord&) const = default;

  // The worker accepts new requests through this node.
  bool accepting() const { return worker_state == WorkerState::kReady && !stopping; }

  // The worker may become the owner of keys.
  bool accepts_keys() const { return accepting() && takes_keys; }

  // Returns the record as JSON text.
  std::string Serialize() const;
  // nullopt if `text` is not a valid record.
  static std::optional<NodeRecord> Parse(const std::string& text);
};

}  // namespace runshelf::sidecar
