// JSON forms of tables and deltas, as daemons exchange them.
//
// Decoders accept any bytes: what is not a valid message is refused with kInvalidArgument.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

#include "runshelf/table/table.h"

namespace runshelf::table {

// Longest text that is decoded, in bytes.
constexpr size_t kMaxTableJsonSize = size_t{16} << 20U;

// {"from":N,"to":N,"complete":B,"changes":[{"service":S,"class":S,"revision":N,
//  "weight":N,"limit":N or null,"edit":S}, ...]}; a deleted cell has "deleted":true in place of the
// last three members.
std::string EncodeDelta(const TableDelta& delta);
absl::StatusOr<TableDelta> DecodeDelta(std::string_view text);

// The form of a complete delta; tombstones are left out.
std::string EncodeTable(const Table& table);
absl::StatusOr<Table> DecodeTable(std::string_view text);

}  // namespace runshelf::table
