#include "runshelf/table/table_json.h"

#include <nlohmann/json.hpp>

#include "source/table/json_fields.h"

namespace runshelf::table {
namespace {

nlohmann::json ChangeToJson(const CellChange& change) {
  nlohmann::json object;
  SetCellKeyFields(change.key, object);
  SetOptionalValueFields(change.value, object);
  object["revision"] = change.mod_revision;
  if (change.value.has_value()) object["edit"] = change.edit_id;
  return object;
}

absl::StatusOr<CellChange> ChangeFromJson(const nlohmann::json& object) {
  CellChange change;
  absl::StatusOr<CellKey> key = CellKeyFields(object);
  if (!key.ok()) return key.status();
  change.key = *std::move(key);
  const absl::StatusOr<std::optional<CellValue>> value = OptionalValueFields(object);
  if (!value.ok()) return value.status();
  change.value = *value;
  const absl::StatusOr<int64_t> revision = IntegerField(object, "revision");
  if (!revision.ok()) return revision.status();
  change.mod_revision = *revision;
  if (!change.value.has_value()) return change;
  absl::StatusOr<std::string> edit_id = StringField(object, "edit");
  if (!edit_id.ok()) return edit_id.status();
  if (!IsValidEditId(*edit_id)) return absl::InvalidArgumentError("member edit is no edit id");
  change.edit_id = *std::move(edit_id);
  return change;
}

}  // namespace

std::string EncodeDelta(const TableDelta& delta) {
  nlohmann::json object = {{"from", delta.from_revision}, {"to", delta.to_revision}};
  object["complete"] = delta.complete;
  nlohmann::json& changes = object["changes"] = nlohmann::json::array();
  for (const CellChange& change : delta.changes) changes.push_back(ChangeToJson(change));
  return object.dump();
}

absl::StatusOr<TableDelta> DecodeDelta(std::string_view text) {
  const absl::StatusOr<nlohmann::json> object = ParseObject(text, kMaxTableJsonSize);
  if (!object.ok()) return object.status();
  TableDelta delta;
  const absl::StatusOr<int64_t> from = IntegerField(*object, "from");
  if (!from.ok()) return from.status();
  delta.from_revision = *from;
  const absl::StatusOr<int64_t> to = IntegerField(*object, "to");
  if (!to.ok()) return to.status();
  delta.to_revision = *to;
  const absl::StatusOr<bool> complete = BooleanField(*object, "complete");
  if (!complete.ok()) return complete.status();
  delta.complete = *complete;
  const auto changes = object->find("changes");
  if (changes == object->end() || !changes->is_array()) {
    return absl::InvalidArgumentError("member changes must be an array");
  }
  for (const nlohmann::json& element : *changes) {
    absl::StatusOr<CellChange> change = ChangeFromJson(element);
    if (!change.ok()) return change.status();
    delta.changes.push_back(*std::move(change));
  }
  return delta;
}

std::string EncodeTable(const Table& table) { return EncodeDelta(table.ToCompleteDelta()); }

absl::StatusOr<Table> DecodeTable(std::string_view text) {
  const absl::StatusOr<TableDelta> delta = DecodeDelta(text);
  if (!delta.ok()) return delta.status();
  if (!delta->complete) return absl::InvalidArgumentError("not a complete table");
  return Table().Apply(*delta);
}

}  // namespace runshelf::table
