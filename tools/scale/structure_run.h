// Size and cost of the single data structures, up to the sizes of a whole fleet. No network, no
// nodes: what one process would have to hold and do.
#pragma once

#include <cstdint>
#include <vector>

namespace runshelf::scale {

// The assignment of slots that every daemon of a group holds and every newcomer receives.
struct AssignmentFigures {
  uint64_t nodes = 0;
  uint64_t slots = 0;  // Of all services.
  double memory_bytes = 0;
  double encoded_bytes = 0;
  double encode_milliseconds = 0;
  double decode_milliseconds = 0;
  double move_microseconds = 0;  // To apply the move of one slot.
  double move_update_bytes = 0;  // What a holder of the version before it receives.
};
AssignmentFigures MeasureAssignment(uint64_t nodes, uint64_t services, uint64_t slots_per_service);

// The operators' table that every daemon holds.
struct TableFigures {
  uint64_t cells = 0;
  double memory_bytes = 0;
  double complete_delta_bytes = 0;
  double edit_delta_bytes = 0;
  double edit_microseconds = 0;  // To make and encode the delta of one edit, decode and apply it.
  double lookup_nanoseconds = 0;
};
TableFigures MeasureTable(uint64_t cells);

// The decisions on the path of one request, without input and output.
struct RequestFigures {
  uint64_t targets = 0;
  double by_owner_microseconds = 0;  // Routing of a request that is answered at the first attempt.
  double by_load_microseconds = 0;
  double admission_microseconds = 0;  // Offer and completion at the owner; the same for all sizes.
};
RequestFigures MeasureRequests(uint64_t targets);

// Load of the servers when every client spreads its requests evenly over a subset of them.
struct SubsetFigures {
  uint64_t clients = 0;
  uint64_t servers = 0;
  uint64_t subset = 0;
  double random_imbalance = 0;         // Largest load over mean, subsets drawn at random.
  double random_idle_servers = 0;      // Servers that no client chose.
  double deterministic_imbalance = 0;  // Subsets are slices of a ring, with parts of servers.
};
SubsetFigures MeasureSubsets(uint64_t clients, uint64_t servers, uint64_t subset, uint64_t seed);

}  // namespace runshelf::scale
