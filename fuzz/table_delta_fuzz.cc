// Changes of the table as daemons exchange them: what was decoded survives another round, and
// applying it leads to its revision or is refused.
#include "fuzz/fuzz_target.h"
#include "runshelf/table/table_json.h"

using namespace runshelf::table;

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text = runshelf::fuzz::ToText(data, size);
  if (const auto table = DecodeTable(text); table.ok()) {
    const auto again = DecodeTable(EncodeTable(*table));
    runshelf::fuzz::Require(again.ok() && again->cells() == table->cells(),
                            "a table survives a round");
  }
  const auto delta = DecodeDelta(text);
  if (!delta.ok()) return 0;
  runshelf::fuzz::CountAccepted();
  const auto again = DecodeDelta(EncodeDelta(*delta));
  runshelf::fuzz::Require(again.ok() && *again == *delta, "a delta survives a round");
  const auto after = Table().Apply(*delta);
  if (after.ok() && delta->to_revision > 0) {
    runshelf::fuzz::Require(after->revision() == delta->to_revision,
                            "an applied delta leads to its revision");
  }
  return 0;
}
