// The operators' table as CSV: what was read can be written and read again.
#include <set>

#include "fuzz/fuzz_target.h"
#include "runshelf/table/table_csv.h"

using namespace runshelf::table;

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const auto cells = ParseTableCsv(runshelf::fuzz::ToText(data, size));
  if (!cells.ok()) return 0;
  runshelf::fuzz::CountAccepted();
  std::vector<Cell> table_cells;
  std::set<CellKey> keys;
  for (const CsvCell& cell : *cells) {
    table_cells.push_back({cell.key, cell.value, 1, "edit"});
    runshelf::fuzz::Require(keys.insert(cell.key).second, "every cell is there once");
  }
  const Table table(1, table_cells);
  const auto again = ParseTableCsv(FormatTableCsv(table));
  runshelf::fuzz::Require(again.ok(), "a written table reads");
  runshelf::fuzz::Require(again->size() == cells->size(), "no cell is lost");
  for (const CsvCell& cell : *again) {
    const Cell* expected = table.Lookup(cell.key.service, cell.key.caller_class);
    runshelf::fuzz::Require(expected != nullptr && expected->value == cell.value,
                            "a cell survives a round");
  }
  return 0;
}
