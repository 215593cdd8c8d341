#include "source/daemon/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>

namespace runshelf::daemon {
namespace {

const prometheus::Histogram::BucketBoundaries kLatencySeconds = {
    0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64};

}  // namespace

struct Metrics::Families {
  explicit Families(prometheus::Registry& registry)
      : requests(prometheus::BuildCounter()
                     .Name("runshelf_requests_total")
                     .Help("Answers to callers by service, class, status and verdict.")
                     .Register(registry)),
        latencies(prometheus::BuildHistogram()
                      .Name("runshelf_request_duration_seconds")
                      .Help("Time from a caller's request to its answer.")
                      .Register(registry)),
        attempts(prometheus::BuildCounter()
                     .Name("runshelf_forward_attempts_total")
                     .Help("Attempts to forward a request by outcome.")
                     .Register(registry)),
        egress(prometheus::BuildCounter()
                   .Name("runshelf_egress_requests_total")
                   .Help("Requests handled for the server beside this daemon by result.")
                   .Register(registry)),
        gauges(prometheus::BuildGauge()
                   .Name("runshelf_state")
                   .Help("Present values of this daemon by name.")
                   .Register(registry)) {}

  prometheus::Family<prometheus::Counter>& requests;
  prometheus::Family<prometheus::Histogram>& latencies;
  prometheus::Family<prometheus::Counter>& attempts;
  prometheus::Family<prometheus::Counter>& egress;
  prometheus::Family<prometheus::Gauge>& gauges;
};

Metrics::Metrics()
    : registry_(std::make_unique<prometheus::Registry>()),
      families_(std::make_unique<Families>(*registry_)) {}

Metrics::~Metrics() = default;

void Metrics::OnAnswer(const std::string& service, const std::string& caller_class, int status,
                       Verdict verdict, Duration latency) {
  families_->requests
      .Add({{"service", service},
            {"class", caller_class},
            {"status", std::to_string(status)},
            {"verdict", std::string(VerdictName(verdict))}})
      .Increment();
  families_->latencies.Add({{"service", service}, {"class", caller_class}}, kLatencySeconds)
      .Observe(std::chrono::duration<double>(latency).count());
}

void Metrics::OnAttempt(const std::string& outcome) {
  families_->attempts.Add({{"outcome", outcome}}).Increment();
}

void Metrics::OnEgress(const std::string& result) {
  families_->egress.Add({{"result", result}}).Increment();
}

void Metrics::SetGauge(const std::string& name, double value) {
  families_->gauges.Add({{"name", name}}).Set(value);
}

std::string Metrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace runshelf::daemon
