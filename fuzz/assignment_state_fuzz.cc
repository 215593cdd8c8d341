// Snapshots of the ownership log: what was decoded survives another round.
#include "fuzz/fuzz_target.h"
#include "runshelf/ownership/assignment.h"

using runshelf::ownership::AssignmentState;

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const auto state = AssignmentState::Decode(runshelf::fuzz::ToText(data, size));
  if (!state.ok()) return 0;
  runshelf::fuzz::CountAccepted();
  const auto again = AssignmentState::Decode(state->Encode());
  runshelf::fuzz::Require(again.ok() && *again == *state, "a state survives a round");
  AssignmentState behind;
  const absl::Status status = behind.ApplyUpdate(state->UpdateSince(0));
  runshelf::fuzz::Require(status.ok(), "an update from nothing applies");
  runshelf::fuzz::Require(state->version() == 0 || behind == *state,
                          "an update from nothing leads to the state");
  return 0;
}
