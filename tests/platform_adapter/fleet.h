// A few sidecars with their workers and one store, all on the test's event loop.
#pragma once

#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/store_codec.h"
#include "platform/wire_format.h"
#include "runshelf/common/random.h"
#include "source/event/event_loop.h"
#include "source/http/client.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/sidecar.h"
#include "tests/event/loop_runner.h"
#include "tests/platform_adapter/fake_store.h"
#include "tests/platform_adapter/fake_worker.h"
#include "tests/platform_adapter/fixtures.h"

namespace runshelf::platform_adapter {

class Fleet {
 public:
  struct Node {
    sidecar::Settings settings;
    std::unique_ptr<FakeWorker> worker;
    std::unique_ptr<sidecar::Sidecar> sidecar;
  };

  // One node for each name of `services`; "keyed" is divided by key.
  explicit Fleet(const std::vector<std::string>& services,
                 routes::GrantDelivery grant_delivery = routes::GrantDelivery::kCalls);
  ~Fleet();

  // All workers tell when they were born: at `born`. To be called before the start.
  void SetBorn(int64_t born);
  // Starts all nodes and waits for nothing but their listening.
  void Launch();
  // Starts all nodes and waits until they are ready and every service is served; fails the test
  // when they are not.
  void Start();
  // A node process ends without a word; its worker lives on.
  void Kill(size_t node);
  // A node process starts again beside the same worker.
  void Restart(size_t node);
  // The worker beside a node ends, and the next one starts at its address `down` later. `born`: see
  // FakeWorker::set_born.
  void ReplaceWorker(size_t node, const std::string& id, int64_t born = 0,
                     Duration down = std::chrono::milliseconds(5));

  struct Answer {
    int status = 0;
    std::string body;
    http::Headers headers;
  };
  // Sends a request to the node's outbound address; nullopt when no answer came in time.
  std::optional<Answer> Request(size_t node, const std::string& method, const std::string& target,
                                const std::string& body, const http::Headers& headers = {},
                                Duration limit = std::chrono::seconds(3));
  // A request that has not been waited for. Destroying it closes its connection.
  struct PendingRequest {
    bool over = false;
    std::optional<Answer> answer;
    std::unique_ptr<http::SimpleCall> call;
  };
  std::unique_ptr<PendingRequest> Begin(size_t node, const std::string& method,
                                        const std::string& target, const std::string& body,
                                        const http::Headers& headers = {},
                                        Duration limit = std::chrono::seconds(3));
  std::optional<Answer> Keyed(size_t node, uint32_t key);
  std::optional<int> Readiness(size_t node);
  // Lines that the nodes have written so far; a bounded number of each event in a second.
  std::string Log();
  // What the node tells of itself; its settings name an address for it.
  std::string Metrics(size_t node);
  // A heartbeat that somebody sends in the name of a worker; nullopt when no answer came.
  std::optional<Answer> Heartbeat(size_t node, const std::string& worker_id,
                                  const std::string& body);
  // Says in the name of a worker that it leaves.
  std::optional<Answer> Leave(size_t node, const std::string& worker_id,
                              const std::string& body = "");
  // An order to a worker that somebody sent earlier arrives now; returns the status of its answer.
  int LateOrder(size_t node, const std::string& target, const std::string& body);

  // How many workers hold the key now.
  int HoldersOf(uint32_t key) const;
  // Node whose worker holds the key; nullopt when there is none.
  std::optional<size_t> HolderOf(uint32_t key) const;
  bool EveryKeyHeld() const;

  event::EventLoop loop;
  FakeStore store{loop};
  std::vector<Node> nodes;

 private:
  std::optional<Answer> CallControlPlane(size_t node, const std::string& target,
                                         const std::string& body);
  void StartNode(Node* node);
  bool KnowsAllWorkers(const sidecar::Sidecar& node) const;

  PlatformWireFormat wire_;
  PlatformStoreCodec codec_;
  SeededRandom random_{7};
  std::FILE* log_file_;
  sidecar::LogWriter log_;
  http::ConnectionPool pool_{loop};
  uint64_t next_request_ = 1;
};

}  // namespace runshelf::platform_adapter
