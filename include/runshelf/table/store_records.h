// Keys and values of the table in the platform's key-value service.
//
//   /runshelf/table/<service>/<class>  the cell
//   /runshelf/edits/<edit id>          the record of one edit, bound to a lease of 24 hours
//
// The record is written in the same transaction as the cells. It tells an editor whose answer was
// lost what became of its edit, and it is the history that operators see.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "runshelf/infrastructure/key_value_store.h"
#include "runshelf/table/table.h"

namespace runshelf::table {

inline constexpr std::string_view kTablePrefix = "/runshelf/table/";
inline constexpr std::string_view kEditsPrefix = "/runshelf/edits/";

// Longest value of a cell or an edit record that is decoded, in bytes.
constexpr size_t kMaxStoreValueSize = size_t{1} << 20U;
// Longest author kept in an edit record, in bytes.
constexpr size_t kMaxAuthorLength = 128;

// What an edit did to one cell; `value` is absent when the cell was deleted.
struct RecordedChange {
  CellKey key;
  std::optional<CellValue> value;

  bool operator==(const RecordedChange&) const = default;
};

struct EditRecord {
  std::string edit_id;
  std::string author;
  int64_t unix_seconds = 0;  // When the edit was made, by the operator's clock; for people only.
  // Written in place of an edit that was given up while a sending of it might still be under way;
  // its presence keeps that sending from taking effect.
  bool refused = false;
  std::vector<RecordedChange> changes;
  int64_t revision = 0;  // At which the record was written; not part of the stored value.

  bool operator==(const EditRecord&) const = default;
};

// A cell of the store that is no valid cell; somebody else than an editor wrote it.
struct MalformedRecord {
  std::string store_key;
  int64_t mod_revision = 0;
  std::string reason;
};

struct DecodedCells {
  std::vector<Cell> cells;
  std::vector<MalformedRecord> malformed;
};

std::string StoreKey(const CellKey& key);
std::string EditRecordKey(std::string_view edit_id);

// The inverse of StoreKey; kInvalidArgument for keys that StoreKey does not return.
absl::StatusOr<CellKey> CellKeyOfStoreKey(std::string_view store_key);

// {"weight":N,"limit":N or null,"edit":S}
std::string EncodeStoredCell(const CellValue& value, std::string_view edit_id);
absl::StatusOr<Cell> DecodeStoredCell(const infrastructure::KeyValue& key_value);

// Decodes a range of kTablePrefix.
DecodedCells DecodeStoredCells(const infrastructure::RangeResult& range);

// {"edit":S,"author":S,"time":N,"refused":B,"changes":[{"service":S,"class":S,"weight":N,
//  "limit":N or null} or {"service":S,"class":S,"deleted":true}, ...]}
std::string EncodeEditRecord(const EditRecord& record);
absl::StatusOr<EditRecord> DecodeEditRecord(const infrastructure::KeyValue& key_value);

}  // namespace runshelf::table
