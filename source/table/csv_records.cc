#include "source/table/csv_records.h"

#include <csv.h>
#include <fmt/format.h>

#include <utility>

namespace runshelf::table {
namespace {

// Receives what libcsv finds.
struct RecordCollector {
  std::vector<CsvRecord> records;
  CsvRecord current{.row = 1, .fields = {}};
  bool after_carriage_return = false;
};

void OnField(void* data, size_t size, void* context) {
  auto* collector = static_cast<RecordCollector*>(context);
  collector->after_carriage_return = false;
  collector->current.fields.emplace_back(static_cast<const char*>(data), size);
}

// With CSV_REPALL_NL libcsv reports both bytes of CR LF; the second one ends no row.
void OnRowEnd(int terminator, void* context) {
  auto* collector = static_cast<RecordCollector*>(context);
  const bool is_second_byte = terminator == CSV_LF && collector->after_carriage_return;
  collector->after_carriage_return = terminator == CSV_CR;
  if (is_second_byte) return;
  const size_t next_row = collector->current.row + 1;
  if (!collector->current.fields.empty()) {
    collector->records.push_back(std::move(collector->current));
  }
  collector->current = {.row = next_row, .fields = {}};
}

// Owns libcsv's parser state.
class Parser {
 public:
  Parser() { csv_init(&parser_, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL); }
  ~Parser() { csv_free(&parser_); }
  Parser(const Parser&) = delete;
  Parser& operator=(const Parser&) = delete;

  bool Parse(std::string_view text, RecordCollector& collector) {
    const size_t parsed =
        csv_parse(&parser_, text.data(), text.size(), OnField, OnRowEnd, &collector);
    return parsed == text.size() && csv_fini(&parser_, OnField, OnRowEnd, &collector) == 0;
  }

  const char* error() { return csv_strerror(csv_error(&parser_)); }

 private:
  csv_parser parser_{};
};

}  // namespace

absl::StatusOr<std::vector<CsvRecord>> ReadCsvRecords(std::string_view text) {
  RecordCollector collector;
  Parser parser;
  if (!parser.Parse(text, collector)) {
    return absl::InvalidArgumentError(
        fmt::format("row {}, column {}: misplaced or missing quote ({})", collector.current.row,
                    collector.current.fields.size() + 1, parser.error()));
  }
  return std::move(collector.records);
}

}  // namespace runshelf::table
