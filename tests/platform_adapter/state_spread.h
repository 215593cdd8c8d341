// Nodes that spread one part of the state over simulated links: the state feed of each, its copy,
// and its way to the store. What a change costs a machine's processor is simulated too. All of it
// runs in slow motion, so that what the test itself costs counts little; times given and returned
// are those without.
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

// A machine of the fleet.
struct MachineKind {
  uint32_t processor_percent = 10;  // Of one core.
  uint32_t link_megabits = 13;      // A second.
};

class StateSpread {
 public:
  StateSpread();
  ~StateSpread();

  void AddNode(const std::string& name, const std::string& zone, const MachineKind& kind);
  // Starts all nodes and waits until each has the item as it is.
  void Start();
  // Until `until` the node's processor is taken, and what arrives waits.
  void KeepBusy(const std::string& node, Duration time);
  // Writes the item.
  void Write(const std::string& value);
  // Waits until all nodes have the item as it was written last, or `limit` has passed since then.
  // Returns the longest time that any of the values written took until all nodes had it or a later
  // one; `limit` at least when one of them did not come so far.
  Duration AwaitLatest(Duration limit);
  std::vector<std::string> NodesWithoutLatest() const;
  size_t BytesSent(const std::string& node) const { return links_.BytesSent(node); }
  // How long a node's answers to health checks have waited for its link, at most.
  Duration LongestWait() const;
  size_t size() const { return nodes_.size(); }
  // How many of so many requests for its copy, all at once, a node grants.
  size_t CopiesGranted(const std::string& node, size_t requests);
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
    std::optional<Duration> took;  // Until all nodes had it or a later one.
  };

  Node* NodeAt(const event::Endpoint& inbound) const;
  // Place among the values written of the one that a node has taken over; nullopt: none.
  std::optional<size_t> PlaceOf(const Node& node) const;
  void NoteProgress();

  SimulatedLinks links_{loop};
  PlatformStoreCodec codec_;
  std::FILE* log_file_;
  sidecar::LogWriter log_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::vector<WrittenValue> written_;
};

}  // namespace runshelf::platform_adapter
