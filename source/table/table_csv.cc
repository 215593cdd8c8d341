#include "runshelf/table/table_csv.h"

#include <Poco/UTF8Encoding.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <map>
#include <optional>

#include "source/table/csv_records.h"

namespace runshelf::table {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::array<std::string_view, 4> kColumns = {"service", "class", "weight", "limit"};

// Positions of the columns in a row, in the order of kColumns.
using ColumnOrder = std::array<size_t, kColumns.size()>;

absl::Status Fault(size_t row, std::string_view column, std::string_view reason) {
  return absl::InvalidArgumentError(fmt::format("row {}, column {}: {}", row, column, reason));
}

absl::Status RowFault(size_t row, std::string_view reason) {
  return absl::InvalidArgumentError(fmt::format("row {}: {}", row, reason));
}

bool IsUtf8(const std::string& text) {
  const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
  size_t position = 0;
  while (position < text.size()) {
    const unsigned char first = bytes[position];
    if (first < 0x80) {
      ++position;
      continue;
    }
    const size_t length = first >= 0xF0 ? 4 : (first >= 0xE0 ? 3 : 2);
    if (position + length > text.size()) return false;
    if (!Poco::UTF8Encoding::isLegal(bytes + position, static_cast<int>(length))) return false;
    position += length;
  }
  return true;
}

// Returns `text` for a message: at most a few characters, and none that disturb a terminal.
std::string Shown(std::string_view text) {
  constexpr size_t kShownLength = 32;
  std::string shown(text.substr(0, kShownLength));
  std::replace_if(
      shown.begin(), shown.end(),
      [](char character) { return character < ' ' || character == '\x7f'; }, '?');
  if (text.size() > kShownLength) shown += "...";
  return fmt::format("'{}'", shown);
}

absl::Status CheckEncoding(const CsvRecord& record) {
  for (size_t field = 0; field < record.fields.size(); ++field) {
    if (IsUtf8(record.fields[field])) continue;
    return Fault(record.row, fmt::to_string(field + 1), "not valid UTF-8");
  }
  return absl::OkStatus();
}

absl::StatusOr<ColumnOrder> ReadHeader(const CsvRecord& header) {
  std::map<std::string_view, size_t> positions;
  for (size_t field = 0; field < header.fields.size(); ++field) {
    const std::string& name = header.fields[field];
    if (std::find(kColumns.begin(), kColumns.end(), name) == kColumns.end()) {
      return Fault(header.row, Shown(name),
                   "unknown column; the columns are service, class, weight and limit");
    }
    if (!positions.emplace(name, field).second) {
      return Fault(header.row, name, "the column appears twice");
    }
  }
  ColumnOrder order{};
  for (size_t column = 0; column < kColumns.size(); ++column) {
    const auto found = positions.find(kColumns[column]);
    if (found == positions.end()) {
      return Fault(header.row, kColumns[column], "the column is missing");
    }
    order[column] = found->second;
  }
  return order;
}

absl::StatusOr<int64_t> ReadNumber(size_t row, std::string_view column, const std::string& text,
                                   int64_t lowest, int64_t highest) {
  int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, number);
  const bool is_number = error != std::errc::invalid_argument && last == end;
  if (!is_number) return Fault(row, column, fmt::format("{} is not a whole number", Shown(text)));
  if (error != std::errc() || number < lowest || number > highest) {
    return Fault(row, column,
                 fmt::format("{} is out of range {} to {}", Shown(text), lowest, highest));
  }
  return number;
}

absl::StatusOr<std::string> ReadName(size_t row, std::string_view column, const std::string& text) {
  if (IsValidName(text)) return text;
  return Fault(
      row, column,
      fmt::format("{} is not 1 to {} characters of a-z, 0-9 and '-'", Shown(text), kMaxNameLength));
}

absl::StatusOr<CsvCell> ReadCell(const ColumnOrder& order, const CsvRecord& record) {
  CsvCell cell;
  absl::StatusOr<std::string> service = ReadName(record.row, "service", record.fields[order[0]]);
  if (!service.ok()) return service.status();
  absl::StatusOr<std::string> caller_class = ReadName(record.row, "class", record.fields[order[1]]);
  if (!caller_class.ok()) return caller_class.status();
  cell.key = {*std::move(service), *std::move(caller_class)};
  const absl::StatusOr<int64_t> weight =
      ReadNumber(record.row, "weight", record.fields[order[2]], kMinWeight, kMaxWeight);
  if (!weight.ok()) return weight.status();
  cell.value.weight = *weight;
  const std::string& limit_text = record.fields[order[3]];
  if (limit_text.empty()) return cell;
  const absl::StatusOr<int64_t> limit =
      ReadNumber(record.row, "limit", limit_text, kMinLimit, kMaxLimit);
  if (!limit.ok()) return limit.status();
  cell.value.limit = *limit;
  return cell;
}

bool IsBlank(const CsvRecord& record) {
  return std::all_of(record.fields.begin(), record.fields.end(),
                     [](const std::string& field) { return field.empty(); });
}

absl::StatusOr<std::vector<CsvCell>> ReadCells(const std::vector<CsvRecord>& records) {
  const absl::StatusOr<ColumnOrder> order = ReadHeader(records.front());
  if (!order.ok()) return order.status();
  std::vector<CsvCell> cells;
  std::map<CellKey, size_t> row_of_cell;
  for (auto record = records.begin() + 1; record != records.end(); ++record) {
    if (IsBlank(*record)) continue;
    if (record->fields.size() != kColumns.size()) {
      return RowFault(record->row, fmt::format("{} fields in place of {}", record->fields.size(),
                                               kColumns.size()));
    }
    absl::StatusOr<CsvCell> cell = ReadCell(*order, *record);
    if (!cell.ok()) return cell.status();
    const auto [earlier, is_new] = row_of_cell.emplace(cell->key, record->row);
    if (!is_new) {
      return Fault(
          record->row, "service, class",
          fmt::format("{} stands in row {} already", cell->key.ToString(), earlier->second));
    }
    cells.push_back(*std::move(cell));
  }
  return cells;
}

}  // namespace

absl::StatusOr<std::vector<CsvCell>> ParseTableCsv(std::string_view text) {
  if (text.size() > kMaxCsvSize) {
    return absl::InvalidArgumentError(
        fmt::format("the file has {} bytes; at most {} are read", text.size(), kMaxCsvSize));
  }
  if (text.starts_with(kByteOrderMark)) text.remove_prefix(kByteOrderMark.size());
  const absl::StatusOr<std::vector<CsvRecord>> records = ReadCsvRecords(text);
  if (!records.ok()) return records.status();
  for (const CsvRecord& record : *records) {
    const absl::Status status = CheckEncoding(record);
    if (!status.ok()) return status;
  }
  if (records->empty()) return RowFault(1, "the file is empty; it must start with column names");
  return ReadCells(*records);
}

std::string FormatTableCsv(const Table& table) {
  std::string text = "service,class,weight,limit\n";
  for (const Cell& cell : table.cells()) {
    const std::string limit =
        cell.value.limit.has_value() ? fmt::to_string(*cell.value.limit) : std::string();
    // Names hold no character that needs quoting.
    text += fmt::format("{},{},{},{}\n", cell.key.service, cell.key.caller_class, cell.value.weight,
                        limit);
  }
  return text;
}

}  // namespace runshelf::table
