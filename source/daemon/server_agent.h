// Stands between the node and the server beside the daemon: pushes grants and watches its health.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "runshelf/common/clock.h"
#include "runshelf/coordination/node.h"
#include "source/daemon/admission_gate.h"
#include "source/daemon/server_control.h"

namespace runshelf::daemon {

// What the agent reports. Called from the agent's threads.
struct ServerAgentCallbacks {
  std::function<void(coordination::ServerState state)> on_state;
  std::function<void(const coordination::ServerGrant& grant)> on_grant_accepted;
};

// Safe for use by several threads at once.
class ServerAgent {
 public:
  // All references must outlive the agent.
  ServerAgent(const Clock& clock, ServerControl& server, AdmissionGate& admission,
              ServerAgentCallbacks callbacks);
  ~ServerAgent();

  ServerAgent(const ServerAgent&) = delete;
  ServerAgent& operator=(const ServerAgent&) = delete;

  void Start();
  void Stop();

  // Hands `grant` to the server as soon as possible; replaces one that still waits. Never blocks.
  void PushGrant(const coordination::ServerGrant& grant);

 private:
  void GrantLoop();
  void HealthLoop();
  bool Push(const coordination::ServerGrant& grant);
  coordination::ServerState ProbeHealth();
  void NoteHealth(const std::string& body);
  bool Pause(Duration duration);

  const Clock& clock_;
  ServerControl& server_;
  AdmissionGate& admission_;
  const ServerAgentCallbacks callbacks_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<coordination::ServerGrant> waiting_grant_;
  bool stopping_ = false;
  bool cold_ = false;  // Of the health thread only.
  std::thread grant_thread_;
  std::thread health_thread_;
};

}  // namespace runshelf::daemon
