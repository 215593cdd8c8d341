// The short texts of headers: what was parsed survives another round.
#include "fuzz/fuzz_target.h"
#include "runshelf/common/instance_id.h"
#include "runshelf/common/slot.h"
#include "runshelf/routing/target_load.h"

using runshelf::FencingToken;
using runshelf::InstanceId;
using runshelf::fuzz::Require;
using runshelf::routing::TargetLoad;

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text = runshelf::fuzz::ToText(data, size);
  FencingToken token;
  if (FencingToken::Parse(text, token)) {
    runshelf::fuzz::CountAccepted();
    FencingToken again;
    Require(FencingToken::Parse(token.ToString(), again) && again == token,
            "a token survives a round");
  }
  const InstanceId instance = InstanceId::Parse(text);
  if (!instance.empty()) {
    runshelf::fuzz::CountAccepted();
    Require(InstanceId::Parse(instance.ToString()) == instance, "an instance survives a round");
  }
  if (const auto load = TargetLoad::Parse(text)) {
    runshelf::fuzz::CountAccepted();
    Require(TargetLoad::Parse(load->ToString()) == load, "a load survives a round");
  }
  return 0;
}
