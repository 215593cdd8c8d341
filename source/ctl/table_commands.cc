#include "source/ctl/table_commands.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fmt/ostream.h>

#include <variant>

#include "runshelf/table/table_csv.h"
#include "source/ctl/files.h"

namespace runshelf::ctl {
namespace {

using table::EditOutcome;
using table::EditResult;

// Arguments common to all table commands.
struct Context {
  table::TableEditor& editor;
  table::EditOrigin origin;
  Streams streams;
};

int ReportPlatformReadError(const Context& context, const absl::Status& status) {
  fmt::print(
      context.streams.err,
      "runshelfctl: the platform could not be read, nothing was changed: {}; check --platform and "
      "try again\n",
      std::string(status.message()));
  return kExitUnavailable;
}

int ReportUnusableFile(const Context& context, const std::string& file,
                       const absl::Status& status) {
  fmt::print(context.streams.err, "runshelfctl: {}: {}; correct the file, nothing was changed\n",
             file, std::string(status.message()));
  return kExitRefused;
}

void PrintConflict(std::ostream& err, const table::CellConflict& conflict) {
  const std::string current =
      conflict.current.has_value() ? conflict.current->ToString() : "no such cell";
  const std::string author =
      conflict.winner_author.empty() ? "unknown author" : conflict.winner_author;
  const std::string edit = conflict.winner_edit_id.empty() ? "unknown" : conflict.winner_edit_id;
  fmt::print(err, "  {}: now {} (edit {} by {}, revision {})\n", conflict.key.ToString(), current,
             edit, author, conflict.revision);
}

int ReportEdit(const Context& context, const EditResult& result) {
  std::ostream& err = context.streams.err;
  switch (result.outcome) {
    case EditOutcome::kAccepted:
      fmt::print(context.streams.out, "accepted edit={} revision={} cells={}\n", result.edit_id,
                 result.revision, result.changed_cells);
      return kExitOk;
    case EditOutcome::kUnchanged:
      fmt::print(context.streams.out, "unchanged revision={}\n", result.revision);
      return kExitOk;
    case EditOutcome::kConflict:
      fmt::print(err, "runshelfctl: conflict: {}; look at the cells and decide again:\n",
                 result.detail);
      for (const table::CellConflict& conflict : result.conflicts) PrintConflict(err, conflict);
      return kExitRefused;
    case EditOutcome::kRefused:
      fmt::print(err, "runshelfctl: refused: {}\n", result.detail);
      return kExitRefused;
    case EditOutcome::kNotAccepted:
      fmt::print(err, "runshelfctl: {}; try again when it is back\n", result.detail);
      return kExitUnavailable;
    case EditOutcome::kUndetermined:
      fmt::print(err,
                 "runshelfctl: undetermined: {}: run `runshelfctl table history --edit {}` before "
                 "you edit again\n",
                 result.detail, result.edit_id);
      return kExitUndetermined;
  }
  return kExitUndetermined;
}

int Run(const Context& context, const ShowCommand&) {
  const absl::StatusOr<table::Table> table = context.editor.Read();
  if (!table.ok()) return ReportPlatformReadError(context, table.status());
  std::ostream& out = context.streams.out;
  fmt::print(out, "revision {}, {} cells\n", table->revision(), table->cells().size());
  fmt::print(out, "{:<20} {:<20} {:>8} {:>10} {:>10}  {}\n", "service", "class", "weight", "limit",
             "revision", "edit");
  for (const table::Cell& cell : table->cells()) {
    const std::string limit =
        cell.value.limit.has_value() ? fmt::to_string(*cell.value.limit) : "none";
    fmt::print(out, "{:<20} {:<20} {:>8} {:>10} {:>10}  {}\n", cell.key.service,
               cell.key.caller_class, cell.value.weight, limit, cell.mod_revision, cell.edit_id);
  }
  return kExitOk;
}

int Run(const Context& context, const SetCommand& command) {
  const absl::StatusOr<table::Table> table = context.editor.Read();
  if (!table.ok()) return ReportPlatformReadError(context, table.status());
  const table::Cell* const cell = table->Lookup(command.key.service, command.key.caller_class);
  if (cell == nullptr && !command.weight.has_value()) {
    fmt::print(context.streams.err,
               "runshelfctl: refused: cell {} does not exist; a new cell needs --weight\n",
               command.key.ToString());
    return kExitRefused;
  }
  table::CellValue value = cell == nullptr ? table::CellValue() : cell->value;
  value.weight = command.weight.value_or(value.weight);
  if (command.limit.has_value()) value.limit = command.limit;
  if (command.no_limit) value.limit.reset();
  // Omitted fields are copied from the cell as read, so the edit must fail if the cell has changed
  // since.
  std::optional<int64_t> expected_revision;
  if (cell != nullptr) expected_revision = cell->mod_revision;
  return ReportEdit(context,
                    context.editor.SetCell(context.origin, command.key, value, expected_revision));
}

int Run(const Context& context, const DeleteCommand& command) {
  return ReportEdit(context, context.editor.DeleteCell(context.origin, command.key));
}

absl::StatusOr<std::vector<table::CsvCell>> ReadCsvFile(const std::string& file) {
  const absl::StatusOr<std::string> text = ReadFile(file, table::kMaxCsvSize + 1);
  if (!text.ok()) return text.status();
  return table::ParseTableCsv(*text);
}

int Run(const Context& context, const ImportCommand& command) {
  const absl::StatusOr<std::vector<table::CsvCell>> rows = ReadCsvFile(command.file);
  if (!rows.ok()) return ReportUnusableFile(context, command.file, rows.status());
  if (!command.base_file.has_value()) {
    return ReportEdit(context, context.editor.Import(context.origin, *rows));
  }
  const absl::StatusOr<std::vector<table::CsvCell>> base = ReadCsvFile(*command.base_file);
  if (!base.ok()) return ReportUnusableFile(context, *command.base_file, base.status());
  return ReportEdit(context, context.editor.ImportChanges(context.origin, *base, *rows));
}

int Run(const Context& context, const ExportCommand& command) {
  const absl::StatusOr<table::Table> table = context.editor.Read();
  if (!table.ok()) return ReportPlatformReadError(context, table.status());
  const std::string text = table::FormatTableCsv(*table);
  if (command.file == kStandardStream) {
    context.streams.out << text;
    return kExitOk;
  }
  const absl::Status status = WriteFile(command.file, text);
  if (status.ok()) return kExitOk;
  fmt::print(context.streams.err, "runshelfctl: {}: {}\n", command.file,
             std::string(status.message()));
  return kExitRefused;
}

void PrintRecord(std::ostream& out, const table::EditRecord& record) {
  fmt::print(out, "{:%Y-%m-%dT%H:%M:%SZ} revision={} edit={} author={}\n",
             fmt::gmtime(static_cast<std::time_t>(record.unix_seconds)), record.revision,
             record.edit_id, Printable(record.author));
  for (const table::RecordedChange& change : record.changes) {
    const std::string value = change.value.has_value() ? change.value->ToString() : "deleted";
    fmt::print(out, "  {}: {}\n", change.key.ToString(), value);
  }
}

int Run(const Context& context, const HistoryCommand& command) {
  const absl::StatusOr<std::vector<table::EditRecord>> history = context.editor.History();
  if (!history.ok()) return ReportPlatformReadError(context, history.status());
  bool found = false;
  for (const table::EditRecord& record : *history) {
    if (command.edit_id.has_value() && record.edit_id != *command.edit_id) continue;
    PrintRecord(context.streams.out, record);
    found = true;
  }
  if (found || !command.edit_id.has_value()) return kExitOk;
  fmt::print(context.streams.err,
             "runshelfctl: edit {} is not among the accepted edits of the last 24 hours\n",
             *command.edit_id);
  return kExitRefused;
}

// The remaining commands do not use the table; the program dispatches them elsewhere.
int Run(const Context&, const StatusCommand&) { return kExitUsage; }

int Run(const Context&, const ExplainCommand&) { return kExitUsage; }

int Run(const Context&, const QuarantineListCommand&) { return kExitUsage; }

int Run(const Context&, const QuarantineReleaseCommand&) { return kExitUsage; }

}  // namespace

int RunTableCommand(const Invocation& invocation, int64_t unix_seconds, table::TableEditor& editor,
                    const Streams& streams) {
  const Context context{editor, {invocation.author, unix_seconds}, streams};
  return std::visit([&](const auto& command) { return Run(context, command); }, invocation.command);
}

}  // namespace runshelf::ctl
