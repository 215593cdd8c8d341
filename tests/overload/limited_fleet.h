// Two sidecar processes with low limits of memory and descriptors, their workers and the store.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "source/event/event_loop.h"
#include "source/http/client.h"
#include "tests/overload/slow_relay.h"
#include "tests/platform_adapter/fake_store.h"
#include "tests/platform_adapter/fake_worker.h"
#include "tests/soak/sidecar_process.h"

namespace runshelf::overload {

// Limits of each process, as its settings state them, and of requests, as the configuration does.
struct Limits {
  uint64_t memory_mb = 96;
  uint64_t file_descriptors = 600;
  uint64_t max_body_bytes = uint64_t{8} * 1024 * 1024;
};

// The clients' node is number 0, with a worker of the service "front"; number 1 has one of the
// service "back". Paths begin with the name of the service. A worker answers a request with its id
// and the size of the body, and leaves bodies above 64 KiB unanswered while it holds them.
class LimitedFleet {
 public:
  struct Node {
    event::Endpoint outbound;
    event::Endpoint inbound;
    event::Endpoint readiness;
    event::Endpoint control_plane;
    std::unique_ptr<platform_adapter::FakeWorker> worker;
    std::unique_ptr<SlowRelay> relay;  // In front of the worker.
    std::unique_ptr<soak::SidecarProcess> process;
  };

  // Starts everything and returns once requests are served.
  explicit LimitedFleet(Limits limits = {});
  ~LimitedFleet();

  // Whether the workers leave requests with large bodies unanswered.
  void set_holds_large_bodies(bool value) { holds_large_bodies_ = value; }

  struct Answer {
    int status = 0;
    std::string body;
  };
  // Sends a request to the clients' node; nullopt when the connection ended without an answer.
  // `chunked`: without a length.
  std::optional<Answer> Request(const std::string& service, size_t body_bytes,
                                bool chunked = false);

  // Checks that both processes live, and that neither has ever used more memory or descriptors than
  // its limits.
  void CheckLimits();
  // Checks that requests of an ordinary size are answered by each worker.
  void CheckOrdinaryRequests();
  // Waits until the clients' node has closed the connections of clients that have left.
  void AwaitCalm();

  std::vector<Node>& nodes() { return nodes_; }
  event::EventLoop& loop() { return loop_; }

 private:
  void MakeNode(size_t index);
  void AwaitService(const char* service);
  void Behave(const http::ExchangePtr& exchange, const std::string& id);
  void MeasureDescriptors();

  event::EventLoop loop_;
  Limits limits_;
  std::string directory_;
  platform_adapter::FakeStore store_{loop_};
  http::ConnectionPool pool_{loop_};
  std::vector<Node> nodes_;
  std::vector<http::ExchangePtr> held_;
  std::vector<size_t> most_descriptors_;
  event::Timer measure_;
  uint64_t next_id_ = 1;
  bool holds_large_bodies_ = false;
};

}  // namespace runshelf::overload
