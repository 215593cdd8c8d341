// Traffic that goes on while a test does something to a fleet: clients that send at a steady rate,
// and workers whose runs make calls of their own.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "tests/platform_adapter/fleet.h"

namespace runshelf::platform_adapter {

std::string RequestId(const http::Request& request);

// The worker beside a node makes one call through it during each run, and its runs fail when their
// calls do. It says from its next heartbeat on that it has many slots. Outlived by the fleet.
class CallingWorker {
 public:
  CallingWorker(Fleet& fleet, size_t node);

  size_t calls_made() const { return calls_made_; }
  // Calls whose connection closed without an answer.
  size_t calls_cut() const { return calls_cut_; }
  // The latest run that began, calls of other runs left out.
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

// Clients of one node that keep sending requests that must not run twice. Outlived by the fleet.
class SteadyClients {
 public:
  SteadyClients(Fleet& fleet, size_t node);

  // Sends so many at once, as when the machine has held the traffic back for a while.
  void SendAtOnce(size_t count);
  // Sends nothing more and waits for all answers.
  void Finish();

  // Answers with `status` to requests that were sent between two moments; zero: no answer.
  size_t Count(int status, Instant from = {}, Instant until = Instant::max()) const;
  size_t sent() const { return requests_.size(); }
  // When each request that was not served was sent, counted from the first one, and how it ended;
  // for the text of a failed check.
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
