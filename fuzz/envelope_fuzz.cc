// Messages between daemons, in each encoding: what was decoded survives another round.
#include "fuzz/fuzz_target.h"
#include "runshelf/coordination/message_json.h"

using runshelf::coordination::DecodeEnvelope;
using runshelf::coordination::EncodeEnvelope;
using runshelf::coordination::Encoding;

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string bytes = runshelf::fuzz::ToText(data, size);
  const auto envelope = DecodeEnvelope(bytes);
  if (envelope.ok()) {
    runshelf::fuzz::CountAccepted();
    const std::string encoded = EncodeEnvelope(*envelope);
    const auto again = DecodeEnvelope(encoded);
    runshelf::fuzz::Require(again.ok(), "an encoded envelope decodes");
    runshelf::fuzz::Require(EncodeEnvelope(*again) == encoded, "an envelope survives a round");
  }
  (void)DecodeEnvelope(bytes, Encoding::kCbor);
  (void)DecodeEnvelope(bytes, Encoding::kMessagePack);
  return 0;
}
