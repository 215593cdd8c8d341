// Measures the share of requests that the local worker refuses although it has free slots.
#pragma once

#include <cstdint>

namespace runshelf::sidecar {

// Smooths over the latest answers of one worker. A share below a threshold counts as none: a worker
// that has just become full may still state a free slot. Deterministic; not thread-safe.
class RefusalMeter {
 public:
  // The worker answered a request, or refused it with free slots. Returns whether refuses_share()
  // changed.
  bool OnAnswer(bool refused_with_room);
  // Another worker took the place of the one that was measured.
  void Forget() { *this = RefusalMeter(); }

  // Whether the worker refuses a share that senders should know of.
  bool refuses_share() const { return refuses_share_; }
  // That share in percent, at least 1; zero unless refuses_share().
  uint32_t percent() const;

 private:
  double share_ = 0;
  bool refuses_share_ = false;
};

}  // namespace runshelf::sidecar
