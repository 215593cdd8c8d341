// Keys and values of the table in the platform's key-value service, which anybody may write.
#include "fuzz/fuzz_target.h"
#include "runshelf/table/store_records.h"

using namespace runshelf::table;
using runshelf::infrastructure::KeyValue;

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text = runshelf::fuzz::ToText(data, size);
  if (const auto key = CellKeyOfStoreKey(text); key.ok()) {
    runshelf::fuzz::CountAccepted();
    runshelf::fuzz::Require(StoreKey(*key) == text, "a store key survives a round");
  }
  KeyValue cell;
  cell.key = StoreKey({"feedread", "newsroom"});
  cell.value = text;
  cell.mod_revision = 1;
  if (const auto decoded = DecodeStoredCell(cell); decoded.ok()) {
    runshelf::fuzz::CountAccepted();
    cell.value = EncodeStoredCell(decoded->value, decoded->edit_id);
    const auto again = DecodeStoredCell(cell);
    runshelf::fuzz::Require(again.ok() && *again == *decoded, "a cell survives a round");
  }
  KeyValue edit;
  edit.key = EditRecordKey("0123456789abcdef0123456789abcdef");
  edit.value = text;
  edit.mod_revision = 1;
  if (const auto decoded = DecodeEditRecord(edit); decoded.ok()) {
    runshelf::fuzz::CountAccepted();
    edit.value = EncodeEditRecord(*decoded);
    const auto again = DecodeEditRecord(edit);
    runshelf::fuzz::Require(again.ok() && *again == *decoded, "an edit record survives a round");
  }
  return 0;
}
