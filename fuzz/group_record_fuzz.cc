// The record of a replica group in the platform: what was decoded survives another round.
#include "fuzz/fuzz_target.h"
#include "runshelf/coordination/message_json.h"

using runshelf::coordination::DecodeGroupRecord;
using runshelf::coordination::EncodeGroupRecord;

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const auto record = DecodeGroupRecord(runshelf::fuzz::ToText(data, size));
  if (!record.ok()) return 0;
  runshelf::fuzz::CountAccepted();
  const auto again = DecodeGroupRecord(EncodeGroupRecord(*record));
  runshelf::fuzz::Require(again.ok() && *again == *record, "a group record survives a round");
  return 0;
}
