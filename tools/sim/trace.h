// An optional trace of a simulation on standard error, one line for each event.
#pragma once

#include <string>
#include <string_view>

#include "tools/sim/event_queue.h"

namespace runshelf::sim {

// Traces with the time of `queue` until it is called with nullptr. One simulation at a time.
void EnableTrace(const EventQueue* queue);
bool TraceEnabled();
void Trace(std::string_view event, const std::string& text);

}  // namespace runshelf::sim
