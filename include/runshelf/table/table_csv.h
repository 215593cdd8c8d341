// The table as a spreadsheet reads and writes it: comma-separated values (RFC 4180, by libcsv).
//
// The first row names the columns: service, class, weight and limit, in any order. An empty limit
// means no limit. Rows without any text are skipped, since spreadsheets write them for cleared
// rows.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

#include "runshelf/table/table.h"

namespace runshelf::table {

// Longest file that is read, in bytes.
constexpr size_t kMaxCsvSize = size_t{1} << 20U;

struct CsvCell {
  CellKey key;
  CellValue value;

  bool operator==(const CsvCell&) const = default;
};

// Reads a whole file: UTF-8 with or without a byte order mark, lines ended by LF or CR LF.
// kInvalidArgument: "row 3, column weight: ..." for the first fault; row 1 holds the column names.
absl::StatusOr<std::vector<CsvCell>> ParseTableCsv(std::string_view text);

// Writes all cells, ascending by key, with LF line ends.
std::string FormatTableCsv(const Table& table);

}  // namespace runshelf::table
