// Stands between the node and the server beside the daemon: pushes grants and watches its health.
//
// The agent keeps no grant. Each attempt asks the node for the grant, so that a process of the
// server never gets what the node had for an earlier one.
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

// What the agent asks and reports. Called from the agent's threads.
struct ServerAgentCallbacks {
  std::function<void(coordination::ServerState state)> on_state;
  // The grant to send now; nullopt: none.
  std::function<std::optional<coordination::ServerGrant>()> grant_to_push;
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

  // The server should get a grant as soon as possible. Never blocks.
  void PushGrant();

 private:
  void GrantLoop();
  void HealthLoop();
  bool TryPush();
  bool Push(const coordination::ServerGrant& grant);
  coordination::ServerState ProbeHealth();
  void ConfirmStopped();
  void Report(coordination::ServerState state);
  void NoteHealth(const std::string& body);
  bool Pause(Duration duration);

  const Clock& clock_;
  ServerControl& server_;
  AdmissionGate& admission_;
  const ServerAgentCallbacks callbacks_;
  // Held from when a grant is asked for until the server has answered or its connection is given
  // up. Taken before all other locks.
  std::mutex push_mutex_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool push_wanted_ = false;
  bool stopping_ = false;
  // Of the health thread only.
  coordination::ServerState state_ = coordination::ServerState::kUnknown;
  bool cold_ = false;
  std::thread grant_thread_;
  std::thread health_thread_;
};

}  // namespace runshelf::daemon
