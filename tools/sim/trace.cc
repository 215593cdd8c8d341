#include "tools/sim/trace.h"

#include <fmt/format.h>

#include <cstdio>

namespace runshelf::sim {
namespace {

const EventQueue* traced_queue = nullptr;

}  // namespace

void EnableTrace(const EventQueue* queue) { traced_queue = queue; }

bool TraceEnabled() { return traced_queue != nullptr; }

void Trace(std::string_view event, const std::string& text) {
  if (traced_queue != nullptr) {
    fmt::print(stderr, "at_us={} event={} {}\n", ToMicroseconds(traced_queue->Now()), event, text);
  }
}

}  // namespace runshelf::sim
