// One simulated machine of the soak test: a sidecar process, its worker, and the fault-injecting
// proxies on its connections.
#pragma once

#include <memory>
#include <string>

#include "source/event/tcp_stream.h"
#include "tests/platform_adapter/fake_worker.h"
#include "tests/soak/datagram_relay.h"
#include "tests/soak/fault_proxy.h"
#include "tests/soak/supervised_process.h"

namespace runshelf::soak {

struct SoakNode {
  size_t index = 0;
  std::string name;
  std::string ip;        // Address of the sidecar.
  std::string proxy_ip;  // Address under which the other nodes reach it.
  std::string zone;
  std::string service;  // Service that the worker runs.
  bool sharded = false;
  event::Endpoint outbound;
  event::Endpoint inbound;
  event::Endpoint readiness;
  event::Endpoint control_plane;
  uint16_t worker_port = 0;
  int worker_life = 0;
  std::string worker_id;        // Of the current or most recent worker.
  bool worker_returns = false;  // The next worker reuses the same id.
  bool refuses_connections = false;
  double stated_limit = 0;      // Requests per second that the worker states; zero: none.
  Instant worker_down_until{};  // Earliest time of the next restart.
  std::unique_ptr<platform_adapter::FakeWorker> worker;  // Null while the worker is down.
  size_t store_entrance = 0;
  std::unique_ptr<FaultProxy> store_proxy;
  std::unique_ptr<FaultProxy> node_proxy;
  std::unique_ptr<FaultProxy> worker_proxy;
  std::unique_ptr<DatagramRelay> datagrams;
  std::unique_ptr<SupervisedProcess> process;
};

}  // namespace runshelf::soak
