#include "runshelf/table/store_records.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "source/table/json_fields.h"

namespace runshelf::table {
namespace {

absl::StatusOr<std::string> EditIdField(const nlohmann::json& object) {
  absl::StatusOr<std::string> edit_id = StringField(object, "edit");
  if (!edit_id.ok()) return edit_id.status();
  if (!IsValidEditId(*edit_id)) return absl::InvalidArgumentError("member edit is no edit id");
  return edit_id;
}

absl::StatusOr<RecordedChange> RecordedChangeFromJson(const nlohmann::json& object) {
  absl::StatusOr<CellKey> key = CellKeyFields(object);
  if (!key.ok()) return key.status();
  const absl::StatusOr<std::optional<CellValue>> value = OptionalValueFields(object);
  if (!value.ok()) return value.status();
  return RecordedChange{*std::move(key), *value};
}

absl::StatusOr<std::vector<RecordedChange>> ChangesField(const nlohmann::json& object) {
  const auto changes = object.find("changes");
  if (changes == object.end() || !changes->is_array()) {
    return absl::InvalidArgumentError("member changes must be an array");
  }
  std::vector<RecordedChange> result;
  for (const nlohmann::json& element : *changes) {
    absl::StatusOr<RecordedChange> change = RecordedChangeFromJson(element);
    if (!change.ok()) return change.status();
    result.push_back(*std::move(change));
  }
  return result;
}

// Replaces bytes that are not UTF-8, which would otherwise make dump() throw.
std::string Dump(const nlohmann::json& object) {
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

std::string StoreKey(const CellKey& key) {
  return fmt::format("{}{}/{}", kTablePrefix, key.service, key.caller_class);
}

std::string EditRecordKey(std::string_view edit_id) {
  return fmt::format("{}{}", kEditsPrefix, edit_id);
}

absl::StatusOr<CellKey> CellKeyOfStoreKey(std::string_view store_key) {
  if (!store_key.starts_with(kTablePrefix)) {
    return absl::InvalidArgumentError("the key is not of the table");
  }
  store_key.remove_prefix(kTablePrefix.size());
  const size_t separator = store_key.find('/');
  if (separator == std::string_view::npos) {
    return absl::InvalidArgumentError("the key names no class");
  }
  CellKey key{std::string(store_key.substr(0, separator)),
              std::string(store_key.substr(separator + 1))};
  const absl::Status status = Validate(key);
  if (!status.ok()) return status;
  return key;
}

std::string EncodeStoredCell(const CellValue& value, std::string_view edit_id) {
  nlohmann::json object;
  SetCellValueFields(value, object);
  object["edit"] = std::string(edit_id);
  return Dump(object);
}

absl::StatusOr<Cell> DecodeStoredCell(const infrastructure::KeyValue& key_value) {
  absl::StatusOr<CellKey> key = CellKeyOfStoreKey(key_value.key);
  if (!key.ok()) return key.status();
  const absl::StatusOr<nlohmann::json> object = ParseObject(key_value.value, kMaxStoreValueSize);
  if (!object.ok()) return object.status();
  const absl::StatusOr<CellValue> value = CellValueFields(*object);
  if (!value.ok()) return value.status();
  absl::StatusOr<std::string> edit_id = EditIdField(*object);
  if (!edit_id.ok()) return edit_id.status();
  return Cell{*std::move(key), *value, key_value.mod_revision, *std::move(edit_id)};
}

DecodedCells DecodeStoredCells(const infrastructure::RangeResult& range) {
  DecodedCells decoded;
  for (const infrastructure::KeyValue& key_value : range.key_values) {
    absl::StatusOr<Cell> cell = DecodeStoredCell(key_value);
    if (cell.ok()) {
      decoded.cells.push_back(*std::move(cell));
    } else {
      decoded.malformed.push_back(
          {key_value.key, key_value.mod_revision, std::string(cell.status().message())});
    }
  }
  return decoded;
}

std::string EncodeEditRecord(const EditRecord& record) {
  nlohmann::json object = {{"edit", record.edit_id}, {"time", record.unix_seconds}};
  object["author"] = record.author.substr(0, kMaxAuthorLength);
  object["refused"] = record.refused;
  nlohmann::json& changes = object["changes"] = nlohmann::json::array();
  for (const RecordedChange& change : record.changes) {
    nlohmann::json element;
    SetCellKeyFields(change.key, element);
    SetOptionalValueFields(change.value, element);
    changes.push_back(std::move(element));
  }
  return Dump(object);
}

absl::StatusOr<EditRecord> DecodeEditRecord(const infrastructure::KeyValue& key_value) {
  const absl::StatusOr<nlohmann::json> object = ParseObject(key_value.value, kMaxStoreValueSize);
  if (!object.ok()) return object.status();
  EditRecord record;
  absl::StatusOr<std::string> edit_id = EditIdField(*object);
  if (!edit_id.ok()) return edit_id.status();
  record.edit_id = *std::move(edit_id);
  absl::StatusOr<std::string> author = StringField(*object, "author");
  if (!author.ok()) return author.status();
  record.author = *std::move(author);
  const absl::StatusOr<int64_t> unix_seconds = IntegerField(*object, "time");
  if (!unix_seconds.ok()) return unix_seconds.status();
  record.unix_seconds = *unix_seconds;
  const absl::StatusOr<bool> refused = BooleanField(*object, "refused");
  if (!refused.ok()) return refused.status();
  record.refused = *refused;
  absl::StatusOr<std::vector<RecordedChange>> changes = ChangesField(*object);
  if (!changes.ok()) return changes.status();
  record.changes = *std::move(changes);
  record.revision = key_value.mod_revision;
  return record;
}

}  // namespace runshelf::table
