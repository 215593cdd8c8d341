// Test fixture: several sidecars with their fake workers and one fake store, all on the test's
// event loop.
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

// A group of nodes, each a sidecar and its worker, that share one store.
class Fleet {
 public:
  struct Node {
    sidecar::Settings settings;
    std::unique_ptr<FakeWorker> worker;
    std::unique_ptr<sidecar::Sidecar> sidecar;
  };

  // Creates one node per element of `services`, which names the worker's service. The service
  // "keyed" is sharded by key.
  explicit Fleet(const std::vector<std::string>& services,
                 routes::GrantDelivery grant_delivery = routes::GrantDelivery::kCalls);
  ~Fleet();

  // Sets the process start time that all workers report, see FakeWorker::set_born. Must be called
  // before Launch() or Start().
  void SetBorn(int64_t born);
  // Starts all nodes and returns once they listen.
  void Launch();
  // Starts all nodes and waits until they are ready, know all workers and, in a sharded service,
  // every key is held. Fails the test after 8 s.
  void Start();
  // Terminates a sidecar without a graceful stop; its worker keeps running.
  void Kill(size_t node);
  // Restarts a sidecar with the same worker.
  void Restart(size_t node);
  // Destroys a node's worker and starts a new one at the same address after `down`. For `born` see
  // FakeWorker::set_born. The new worker is cold for `cold` from its start.
  void ReplaceWorker(size_t node, const std::string& id, int64_t born = 0,
                     Duration down = std::chrono::milliseconds(5), Duration cold = Duration(0));

  struct Answer {
    int status = 0;
    std::string body;
    http::Headers headers;
  };
  // Sends a request to the node's outbound address and waits for the response; nullopt when none
  // arrived within `limit`.
  std::optional<Answer> Request(size_t node, const std::string& method, const std::string& target,
                                const std::string& body, const http::Headers& headers = {},
                                Duration limit = std::chrono::seconds(3));
  // A request in flight. Its destruction closes the connection.
  struct PendingRequest {
    bool over = false;
    std::optional<Answer> answer;
    std::unique_ptr<http::SimpleCall> call;
  };
  // Sends a request to the node's outbound address and returns at once.
  std::unique_ptr<PendingRequest> Begin(size_t node, const std::string& method,
                                        const std::string& target, const std::string& body,
                                        const http::Headers& headers = {},
                                        Duration limit = std::chrono::seconds(3));
  // Sends a request of the service "keyed" for the key.
  std::optional<Answer> Keyed(size_t node, uint32_t key);
  // HTTP status of the node's readiness endpoint; nullopt when it does not respond.
  std::optional<int> Readiness(size_t node);
  // The log lines written by all nodes so far. Lines are rate-limited per event.
  std::string Log();
  // The node's metrics page; the node's settings must have a metrics address.
  std::string Metrics(size_t node);
  // Sends a heartbeat on behalf of a worker; nullopt when there is no response.
  std::optional<Answer> Heartbeat(size_t node, const std::string& worker_id,
                                  const std::string& body);
  // Deregisters a worker on its behalf; nullopt when there is no response.
  std::optional<Answer> Leave(size_t node, const std::string& worker_id,
                              const std::string& body = "");
  // Delivers a grant or release to a node's worker, as if it had been delayed in transit. Returns
  // the HTTP status of the response; -1 when there is none.
  int LateOrder(size_t node, const std::string& target, const std::string& body);

  // Number of workers that hold the key.
  int HoldersOf(uint32_t key) const;
  // Index of the first node whose worker holds the key; nullopt when there is none.
  std::optional<size_t> HolderOf(uint32_t key) const;
  // Whether each key of a sample (every 512th) has exactly one holder.
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
