// Commands of the ownership log: what was decoded survives another round and can be applied.
#include "fuzz/fuzz_target.h"
#include "runshelf/ownership/assignment.h"

using runshelf::ownership::AssignmentState;
using runshelf::ownership::DecodeCommand;
using runshelf::ownership::EncodeCommand;

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const auto command = DecodeCommand(runshelf::fuzz::ToText(data, size));
  if (!command.ok()) return 0;
  runshelf::fuzz::CountAccepted();
  const auto again = DecodeCommand(EncodeCommand(*command));
  runshelf::fuzz::Require(again.ok() && *again == *command, "a command survives a round");
  AssignmentState state;
  state.Apply(1, *command);
  const auto restored = AssignmentState::Decode(state.Encode());
  runshelf::fuzz::Require(restored.ok() && *restored == state, "a state survives a round");
  return 0;
}
