#include "tools/sim/event_queue.h"

#include <algorithm>
#include <utility>

namespace runshelf::sim {

bool EventQueue::Later(const Event& left, const Event& right) {
  if (left.time != right.time) {
    return left.time > right.time;
  }
  return left.sequence > right.sequence;
}

void EventQueue::At(TrueTime time, Handler handler) {
  heap_.push_back(Event{std::max(time, now_), next_sequence_, std::move(handler)});
  ++next_sequence_;
  std::push_heap(heap_.begin(), heap_.end(), Later);
}

void EventQueue::RunUntil(TrueTime end) {
  while (!heap_.empty() && heap_.front().time <= end) {
    std::pop_heap(heap_.begin(), heap_.end(), Later);
    Event event = std::move(heap_.back());
    heap_.pop_back();
    now_ = event.time;
    ++handled_;
    event.handler();
  }
  now_ = std::max(now_, end);
}

}  // namespace runshelf::sim
