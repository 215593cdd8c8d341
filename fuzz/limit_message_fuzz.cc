// Messages by which the table's limits are shared out: what was decoded survives another round.
#include "fuzz/fuzz_target.h"
#include "source/daemon/limit_messages.h"

using namespace runshelf::daemon;

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text = runshelf::fuzz::ToText(data, size);
  (void)IsLimitMessage(text);
  const auto message = DecodeLimitMessage(text);
  if (!message.ok()) return 0;
  runshelf::fuzz::CountAccepted();
  const std::string encoded = EncodeLimitMessage(*message);
  const auto again = DecodeLimitMessage(encoded);
  runshelf::fuzz::Require(again.ok(), "an encoded message decodes");
  runshelf::fuzz::Require(again->group == message->group && again->body == message->body,
                          "a message survives a round");
  return 0;
}
