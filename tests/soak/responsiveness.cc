#include "tests/soak/responsiveness.h"

#include <algorithm>

namespace runshelf::soak {
namespace {

constexpr Duration kInterval = std::chrono::milliseconds(200);
constexpr Duration kTimeout = std::chrono::milliseconds(1000);
// An unloaded process responds within a few milliseconds; the tightest documented time limit is
// 200 ms.
constexpr Duration kSlow = std::chrono::milliseconds(100);

}  // namespace

Responsiveness::Responsiveness(event::EventLoop& loop,
                               const std::vector<std::unique_ptr<SoakNode>>& nodes)
    : loop_(loop), nodes_(nodes), pool_(loop), probes_(nodes.size()) {}

Responsiveness::~Responsiveness() = default;

void Responsiveness::Watch() {
  for (size_t node = 0; node < nodes_.size(); ++node) {
    Probe& probe = probes_[node];
    probe.paused = probe.paused || nodes_[node]->process->paused();
    if (probe.call == nullptr && loop_.Now() - probe.sent_at >= kInterval) SendProbe(node);
  }
}

void Responsiveness::SendProbe(size_t node) {
  Probe& probe = probes_[node];
  probe.sent_at = loop_.Now();
  probe.paused = nodes_[node]->process->paused();
  probe.call = std::make_unique<http::SimpleCall>(
      loop_, pool_, nodes_[node]->readiness,
      "GET /runshelf/readiness HTTP/1.1\r\nHost: h.example\r\n\r\n",
      http::CallOptions(http::AnswerMatch::InOrder(), "readiness"), kTimeout,
      [this, node](const std::optional<http::Response>& response, http::ClientFailure) {
        Probe& asked = probes_[node];
        const auto finished = std::move(asked.call);
        const Duration time = loop_.Now() - asked.sent_at;
        asked.slow = time > kSlow;
        const bool answered = response.has_value() && !asked.paused;
        if (answered) longest_ = std::max(longest_, time);
      });
}

bool Responsiveness::Slow(size_t node) const {
  const Probe& probe = probes_[node];
  return probe.slow || (probe.call != nullptr && loop_.Now() - probe.sent_at > kSlow);
}

}  // namespace runshelf::soak
