// Decides the wait time and the timeout of each long-poll watch of a prefix. Performs no I/O.
//
// The loss of a watch request or of its connection is detected only when the watch times out, so a
// watch with a long wait hides a loss for that long. Most losses happen around changes, or around
// the faults that cause the changes. Therefore the first watches after a change have short waits,
// and a watch that gets no response is sent once more before changes are assumed to be missing.
#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "runshelf/common/clock.h"

namespace runshelf::store {

// `wait`: how long the store may hold a watch while there are no changes. `grace`: additional time
// after which the watch counts as unanswered.
struct WatchTimes {
  Duration wait;
  Duration grace;
};

class WatchSchedule {
 public:
  // Enables short watches after changes. While disabled, each watch uses the maximum wait of the
  // store client.
  void SetConfirming(bool confirming);
  bool confirming() const { return confirming_; }

  // Times for the next watch; nullopt: the defaults of the store client.
  std::optional<WatchTimes> NextTimes() const;
  // The next watch has the shortest wait, so that its loss is detected soon.
  bool NextIsShort() const { return confirming_ && without_changes_ == 0; }
  // To be called after changes were received or the whole range was read: the next watch is short
  // again.
  void Restart();
  // To be called when a watch ended without changes.
  void OnNoChanges();
  // To be called when the store answered a watch.
  void OnAnswered() { unanswered_ = false; }
  // To be called when a watch got no response. Returns true if the watch is to be sent again from
  // the same revision, because a store that was slow for a moment answers the next one; false if
  // changes may be missing.
  bool OnUnanswered();

 private:
  static constexpr std::array<Duration, 2> kWaits{std::chrono::milliseconds(500),
                                                  std::chrono::seconds(4)};
  // Grace of the first watch. The others use the timeout of any call to the store.
  static constexpr Duration kShortGrace = std::chrono::milliseconds(300);
  static constexpr Duration kGrace = std::chrono::milliseconds(900);

  bool confirming_ = false;
  bool unanswered_ = false;  // The latest watch got no response.
  size_t without_changes_ = 0;
};

}  // namespace runshelf::store
