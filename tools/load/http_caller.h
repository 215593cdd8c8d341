// Sends one attempt of a call over HTTP, at most once, and checks the answer.
#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "tools/load/attempt_record.h"
#include "tools/load/call_generator.h"

namespace runshelf::load {

// Where calls are sent.
struct Endpoint {
  std::string address;  // "ip:port"
  std::string service;  // The only service served there; empty for a daemon, which serves all.
};

// Safe to call from any thread. Keeps idle connections per endpoint and reuses the newest.
class HttpCaller {
 public:
  // With `direct`, the endpoints are servers themselves and no daemon stands between.
  HttpCaller(std::vector<Endpoint> endpoints, bool direct, Duration deadline, const Clock& clock);
  ~HttpCaller();

  // Sends attempt number `attempt` and fills the record, except `scheduled_at`. An endpoint that
  // refuses the connection is passed over for another one, since nothing was sent to it.
  AttemptRecord Send(const PlannedCall& call, uint32_t attempt);

 private:
  class Session;
  struct Pool;

  std::vector<size_t> EndpointOrder(const PlannedCall& call, uint32_t attempt) const;
  std::unique_ptr<Session> Connect(size_t endpoint);
  void GiveBack(size_t endpoint, std::unique_ptr<Session> session);
  void Exchange(const PlannedCall& call, Session& session, AttemptRecord& record, bool& reusable);

  const std::vector<Endpoint> endpoints_;
  const bool direct_;
  const Duration deadline_;
  const Clock& clock_;
  std::vector<std::unique_ptr<Pool>> pools_;  // By endpoint.
};

}  // namespace runshelf::load
