// Test fixture: nodes that distribute one item of the shared state over simulated links. Each node
// has its state feed, its snapshot and its connection to the store. The processor time needed to
// apply a change is simulated too. Everything runs in slow motion, so that the overhead of the test
// process itself is negligible; durations passed in and returned are not scaled.
#pragma once

#include <cstdio>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/store_codec.h"
#include "source/event/event_loop.h"
#include "source/http/client.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/peer_directory.h"
#include "source/sidecar/state_feed.h"
#include "source/store/prefix_watcher.h"
#include "source/store/store_client.h"
#include "tests/platform_adapter/fake_store.h"
#include "tests/platform_adapter/simulated_links.h"

namespace runshelf::platform_adapter {

// Capacity of the machine that a node runs on.
struct MachineKind {
  uint32_t processor_percent = 10;  // Percent of one core.
  uint32_t link_megabits = 13;      // Mbit/s in each direction.
};

// Measures how long a change of the item takes to be in force on all nodes.
class StateSpread {
 public:
  StateSpread();
  ~StateSpread();

  void AddNode(const std::string& name, const std::string& zone, const MachineKind& kind);
  // Starts all nodes and waits until each has the current value of the item. Fails the test after
  // 10 s. The item must have been written before.
  void Start();
  // Occupies the node's processor for `time`; messages that arrive meanwhile are queued.
  void KeepBusy(const std::string& node, Duration time);
  // Writes the item to the store.
  void Write(const std::string& value);
  // Waits until the last written value is in force on all nodes, at most `limit` from when it was
  // written. Returns the longest time that any written value took until it or a later one was in
  // force on all nodes; at least `limit` if the last value did not get there.
  Duration AwaitLatest(Duration limit);
  // Names of the nodes on which the last written value is not in force.
  std::vector<std::string> NodesWithoutLatest() const;
  size_t BytesSent(const std::string& node) const { return links_.BytesSent(node); }
  // Longest time that any packet waited for a node's uplink, which is the delay that health check
  // responses would have had.
  Duration LongestWait() const;
  size_t size() const { return nodes_.size(); }
  // Requests a node's snapshot `requests` times at once; returns how many requests it grants.
  size_t SnapshotsGranted(const std::string& node, size_t requests);
  std::string Log();

  event::EventLoop loop;
  FakeStore store{loop};

 private:
  class Node;
  class Transport;
  class StoreConnection;

  struct WrittenValue {
    std::string value;
    Instant written_at{};
    std::optional<Duration> took;  // Until it or a later value was in force on all nodes.
  };

  Node* NodeAt(const event::Endpoint& inbound) const;
  // Index in written_ of the value in force on a node; nullopt when there is none.
  std::optional<size_t> IndexOfValueInForce(const Node& node) const;
  // Records the time of each value that has come into force on all nodes.
  void RecordProgress();

  SimulatedLinks links_{loop};
  PlatformStoreCodec codec_;
  std::FILE* log_file_;
  sidecar::LogWriter log_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::vector<WrittenValue> written_;
};

}  // namespace runshelf::platform_adapter
