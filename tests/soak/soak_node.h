// One machine of the soak: a sidecar process, the worker beside it, and the proxies on its ways.
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
  std::string ip;        // Of the sidecar.
  std::string proxy_ip;  // By which the other nodes know it.
  std::string service;   // Of the worker.
  bool sharded = false;
  event::Endpoint outbound;
  event::Endpoint inbound;
  event::Endpoint readiness;
  event::Endpoint control_plane;
  uint16_t worker_port = 0;
  int worker_life = 0;
  std::string worker_id;        // Of the present or latest worker.
  bool worker_returns = false;  // Its next life has the same identity.
  bool refuses_connections = false;
  Instant worker_down_until{};                           // It is not started again before.
  std::unique_ptr<platform_adapter::FakeWorker> worker;  // Empty while it is down.
  size_t store_entrance = 0;
  std::unique_ptr<FaultProxy> store_proxy;
  std::unique_ptr<FaultProxy> node_proxy;
  std::unique_ptr<FaultProxy> worker_proxy;
  std::unique_ptr<DatagramRelay> datagrams;
  std::unique_ptr<SupervisedProcess> process;
};

}  // namespace runshelf::soak
