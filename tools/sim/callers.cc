#include "tools/sim/callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace runshelf::sim {
namespace {

constexpr uint64_t kChanceResolution = 1'000'000;
constexpr uint32_t kConnectTries = 4;
constexpr Duration kShortestTimeLimit = std::chrono::milliseconds(300);
constexpr Duration kLongestTimeLimit = std::chrono::milliseconds(3000);
constexpr Duration kTimeoutSlack = std::chrono::milliseconds(100);
constexpr double kRepeatableShare = 0.5;
constexpr double kIdempotencyKeyShare = 0.6;  // Of requests that are not repeatable.

}  // namespace

struct Callers::Operation {
  CallerRequest request;
};

struct Callers::Sending {
  OperationPointer operation;
  CallerRequest request;
  bool ended = false;
  Machine* machine = nullptr;  // Which took the request.
  uint64_t daemon_run = 0;
  uint64_t handle = 0;
};

Callers::Callers(EventQueue& queue, Network& network, Judge& judge, Fleet& fleet, Random& random,
                 const Deployment& deployment, const CallerConfig& config)
    : queue_(queue),
      network_(network),
      judge_(judge),
      fleet_(fleet),
      random_(random),
      deployment_(deployment),
      config_(config),
      host_(network.AddHost(kClientZone)) {}

void Callers::Start() {
  running_ = true;
  ScheduleNext();
}

// Exponential gaps between arrivals.
void Callers::ScheduleNext() {
  const double draw = static_cast<double>(random_.Below(kChanceResolution) + 1) /
                      static_cast<double>(kChanceResolution);
  const double seconds = -std::log(draw) / config_.requests_per_second;
  queue_.After(Duration(static_cast<int64_t>(seconds * 1e6)), [this] {
    if (running_) {
      BeginOperation();
      ScheduleNext();
    }
  });
}

void Callers::BeginOperation() {
  auto operation = std::make_shared<Operation>();
  operation->request = DrawRequest();
  judge_.requests().OnOperation(operation->request.operation, operation->request.repeatable);
  Send(operation);
}

CallerRequest Callers::DrawRequest() {
  const ServiceLayout& service = DrawService();
  CallerRequest request;
  request.operation = next_operation_++;
  request.sending = 0;
  request.service = service.name;
  request.caller_class =
      deployment_.caller_classes[random_.Below(deployment_.caller_classes.size())];
  if (service.keyed) {
    request.key = DrawKey();
  }
  request.repeatable = Chance(kRepeatableShare);
  if (!request.repeatable && Chance(kIdempotencyKeyShare)) {
    request.idempotency_key = fmt::format("once-{}", request.operation);
  }
  request.time_limit = random_.Between(kShortestTimeLimit, kLongestTimeLimit);
  return request;
}

const ServiceLayout& Callers::DrawService() {
  double draw = static_cast<double>(random_.Below(kChanceResolution)) /
                static_cast<double>(kChanceResolution);
  for (const ServiceLayout& service : deployment_.services) {
    if (draw < service.load_share) {
      return service;
    }
    draw -= service.load_share;
  }
  return deployment_.services.back();
}

std::string Callers::DrawKey() {
  const uint64_t number = Chance(config_.hot_key_share) ? hot_key_ : random_.Below(config_.keys);
  return fmt::format("key-{}", number);
}

void Callers::Send(const OperationPointer& operation) {
  ++operation->request.sending;
  auto sending = std::make_shared<Sending>();
  sending->operation = operation;
  sending->request = operation->request;
  judge_.requests().OnSent(sending->request.operation);
  queue_.After(sending->request.time_limit + kTimeoutSlack,
               [this, sending] { OnTimeout(sending); });
  if (Chance(config_.gone_share)) {
    queue_.After(random_.Between(Duration(0), kShortestTimeLimit / 4),
                 [this, sending] { GoAway(sending); });
  }
  SendTo(sending, kConnectTries);
}

void Callers::SendTo(const SendingPointer& sending, uint32_t tries_left) {
  if (sending->ended || tries_left == 0) {
    return;
  }
  const auto& machines = fleet_.machines();
  Machine& machine = *machines[random_.Below(machines.size())];
  network_.SendStream(host_, machine.host(), [this, sending, &machine, tries_left] {
    Arrive(sending, machine, tries_left);
  });
}

// A machine that is down does not answer; a dead process' port refuses, and the caller tries
// another machine.
void Callers::Arrive(const SendingPointer& sending, Machine& machine, uint32_t tries_left) {
  Daemon& daemon = machine.daemon();
  if (!daemon.host_up()) {
    return;
  }
  if (!daemon.alive()) {
    network_.SendStream(machine.host(), host_,
                        [this, sending, tries_left] { SendTo(sending, tries_left - 1); });
    return;
  }
  const auto reply = [this, sending, &machine](const CallerAnswer& answer) {
    network_.SendStream(machine.host(), host_,
                        [this, sending, answer] { OnAnswer(sending, answer); });
  };
  daemon.TakeRequest(sending->request, reply, [sending, &machine, &daemon](uint64_t handle) {
    sending->machine = &machine;
    sending->daemon_run = daemon.run();
    sending->handle = handle;
    if (sending->ended) {  // Delivered late: the end of the stream follows at once.
      daemon.CallerGone(handle);
    }
  });
}

void Callers::OnAnswer(const SendingPointer& sending, const CallerAnswer& answer) {
  if (sending->ended) {
    return;
  }
  sending->ended = true;
  ToldRecord told;
  told.at = queue_.Now();
  told.operation = sending->request.operation;
  told.sending = sending->request.sending;
  told.verdict = answer.verdict;
  told.answered_operation = answer.answered_operation;
  judge_.requests().OnTold(told);
  const CallerRequest& request = sending->request;
  const bool may_repeat =
      request.repeatable || request.idempotency_key || answer.verdict == Verdict::kNotRun;
  if (answer.verdict != Verdict::kRan && may_repeat) {
    Repeat(sending->operation, answer.retry_after);
  }
}

void Callers::OnTimeout(const SendingPointer& sending) {
  if (sending->ended) {
    return;
  }
  Close(sending);
  if (sending->request.repeatable || sending->request.idempotency_key) {
    Repeat(sending->operation, Duration(0));
  }
}

void Callers::GoAway(const SendingPointer& sending) {
  if (!sending->ended) {
    Close(sending);
  }
}

void Callers::Close(const SendingPointer& sending) {
  sending->ended = true;
  if (sending->machine == nullptr) {
    return;
  }
  network_.SendStream(host_, sending->machine->host(), [sending] {
    Daemon& daemon = sending->machine->daemon();
    if (daemon.run() == sending->daemon_run) {
      daemon.CallerGone(sending->handle);
    }
  });
}

void Callers::Repeat(const OperationPointer& operation, Duration delay) {
  if (running_ && operation->request.sending < config_.sendings_max) {
    queue_.After(delay, [this, operation] { Send(operation); });
  }
}

bool Callers::Chance(double probability) {
  return static_cast<double>(random_.Below(kChanceResolution)) <
         probability * static_cast<double>(kChanceResolution);
}

}  // namespace runshelf::sim
