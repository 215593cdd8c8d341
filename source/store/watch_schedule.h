// How long each watch of a prefix waits at the store, and when its answer is missed. Free of input
// and output.
//
// The answer to a watch that waits long is missed only when its wait is over, although the request
// or its connection may have been lost at once. Most are lost while there are changes, or the
// faults that cause them. So the first watches after changes are short, and one that gets no answer
// is asked for again before anything else is concluded.
#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "runshelf/common/clock.h"

namespace runshelf::store {

// How long the store may keep a watch waiting for changes, and how much later its answer is given
// up.
struct WatchTimes {
  Duration wait;
  Duration grace;
};

class WatchSchedule {
 public:
  // While off, each watch waits as long as the store client allows.
  void SetConfirming(bool confirming);
  bool confirming() const { return confirming_; }

  // Of the next watch; nullopt: as long as the store client allows.
  std::optional<WatchTimes> NextTimes() const;
  // The next watch is one whose loss is noticed soon.
  bool NextIsShort() const { return confirming_ && without_changes_ == 0; }
  // The store told of changes, or the whole range was read: the next watch is short again.
  void Restart();
  // A watch ended without changes.
  void OnNoChanges();
  // The store gave some answer.
  void OnAnswered() { unanswered_ = false; }
  // A watch got no answer. True: it is to be asked for again from the same revision, since a store
  // that is slow for a moment answers the next one. False: something may be missing.
  bool OnUnanswered();

 private:
  static constexpr std::array<Duration, 2> kWaits{std::chrono::milliseconds(500),
                                                  std::chrono::seconds(4)};
  // Of the first watch; the others are given up as any call to the store.
  static constexpr Duration kShortGrace = std::chrono::milliseconds(300);
  static constexpr Duration kGrace = std::chrono::milliseconds(900);

  bool confirming_ = false;
  bool unanswered_ = false;  // The latest watch.
  size_t without_changes_ = 0;
};

}  // namespace runshelf::store
