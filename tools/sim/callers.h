// Simulated callers of several classes: lookups that may be repeated, sends under an idempotency
// key, and sends without one. They time out, repeat what they may repeat, and sometimes go away.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "tools/sim/deployment.h"
#include "tools/sim/fleet.h"

namespace runshelf::sim {

struct CallerConfig {
  double requests_per_second = 400;  // First sendings of all callers together.
  uint32_t keys = 500;
  double hot_key_share = 0.05;  // Of the keyed requests go to one key.
  uint32_t sendings_max = 3;    // Of one operation.
  double gone_share = 0.02;     // Of callers who close the connection before the answer.
};

class Callers {
 public:
  Callers(EventQueue& queue, Network& network, Judge& judge, Fleet& fleet, Random& random,
          const Deployment& deployment, const CallerConfig& config);

  void Start();
  void Stop() { running_ = false; }
  // The hot key is another one from now on.
  void ShiftHotKey() { ++hot_key_; }

  HostIndex host() const { return host_; }

 private:
  struct Operation;
  struct Sending;
  using OperationPointer = std::shared_ptr<Operation>;
  using SendingPointer = std::shared_ptr<Sending>;

  void ScheduleNext();
  void BeginOperation();
  CallerRequest DrawRequest();
  const ServiceLayout& DrawService();
  std::string DrawKey();
  void Send(const OperationPointer& operation);
  void SendTo(const SendingPointer& sending, uint32_t tries_left);
  void Arrive(const SendingPointer& sending, Machine& machine, uint32_t tries_left);
  void OnAnswer(const SendingPointer& sending, const CallerAnswer& answer);
  void OnTimeout(const SendingPointer& sending);
  void GoAway(const SendingPointer& sending);
  void Close(const SendingPointer& sending);
  void Repeat(const OperationPointer& operation, Duration delay);
  bool Chance(double probability);

  EventQueue& queue_;
  Network& network_;
  Judge& judge_;
  Fleet& fleet_;
  Random& random_;
  Deployment deployment_;
  CallerConfig config_;
  HostIndex host_;
  bool running_ = false;
  uint64_t next_operation_ = 1;
  uint64_t hot_key_ = 0;
};

}  // namespace runshelf::sim
