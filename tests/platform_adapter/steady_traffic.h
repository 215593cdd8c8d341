// Background traffic for tests: clients that send at a constant rate, and workers that make nested
// calls while executing a request.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "tests/platform_adapter/fleet.h"

namespace runshelf::platform_adapter {

// The request's Attempt-Id, which must be present.
std::string RequestId(const http::Request& request);

// Makes the worker of a node send one nested call through that node for each request it executes. A
// request fails with 500 when its call fails. From the next heartbeat on the worker reports enough
// slots for the nested calls. The fleet must outlive this object.
class CallingWorker {
 public:
  CallingWorker(Fleet& fleet, size_t node);

  // Nested calls sent.
  size_t calls_made() const { return calls_made_; }
  // Nested calls that ended without a response.
  size_t calls_cut() const { return calls_cut_; }
  // When the latest request began to execute, nested calls excluded.
  Instant last_begun() const { return last_begun_; }

 private:
  struct Run {
    http::ExchangePtr exchange;
    std::string id;
    Instant began;
    std::unique_ptr<Fleet::PendingRequest> call;
    bool over = false;
  };

  void Begin(const http::ExchangePtr& exchange);
  void Step();
  void Continue(Run* run);
  void Call(Run* run);
  static void End(Run* run, int status);

  Fleet& fleet_;
  size_t node_;
  event::Timer step_;
  std::list<Run> runs_;
  size_t calls_made_ = 0;
  size_t calls_cut_ = 0;
  Instant last_begun_{};
};

// Clients that send non-idempotent requests through one node at a constant rate. The fleet must
// outlive this object.
class SteadyClients {
 public:
  SteadyClients(Fleet& fleet, size_t node);

  // Sends a burst of requests, as after a stall of the machine.
  void SendAtOnce(size_t count);
  // Stops sending and waits until all requests have completed; fails the test on a timeout.
  void Finish();

  // Number of completed requests sent in [from, until) whose response had the status; zero counts
  // those without a response.
  size_t Count(int status, Instant from = {}, Instant until = Instant::max()) const;
  size_t sent() const { return requests_.size(); }
  // Lists each request without a 200 response with its send time in milliseconds since the first
  // request, status and body; for failure messages.
  std::string NotServed() const;

 private:
  struct Sent {
    Instant at;
    std::unique_ptr<Fleet::PendingRequest> pending;
  };

  void Send();

  Fleet& fleet_;
  size_t node_;
  event::Timer timer_;
  std::vector<Sent> requests_;
};

}  // namespace runshelf::platform_adapter
