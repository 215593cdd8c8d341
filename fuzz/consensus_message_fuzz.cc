// Messages between replicas: what was decoded survives another round.
#include "fuzz/fuzz_target.h"
#include "runshelf/common/json_reader.h"
#include "runshelf/consensus/message_json.h"

using runshelf::consensus::MessageFromJson;
using runshelf::consensus::ToJson;

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text = runshelf::fuzz::ToText(data, size);
  if (!runshelf::HasBoundedDepth(text)) return 0;
  const auto message = MessageFromJson(nlohmann::json::parse(text, nullptr, false));
  if (!message.ok()) return 0;
  runshelf::fuzz::CountAccepted();
  const auto again = MessageFromJson(nlohmann::json::parse(ToJson(*message).dump()));
  runshelf::fuzz::Require(again.ok() && *again == *message, "a message survives a round");
  return 0;
}
