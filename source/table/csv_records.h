// Splits comma-separated values into records, by libcsv.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace runshelf::table {

struct CsvRecord {
  size_t row = 0;  // Counted from 1 as a spreadsheet does; empty lines count.
  std::vector<std::string> fields;
};

// Returns the records that have fields. kInvalidArgument names the row where quotes are misplaced.
absl::StatusOr<std::vector<CsvRecord>> ReadCsvRecords(std::string_view text);

}  // namespace runshelf::table
