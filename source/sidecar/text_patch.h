// The difference between two versions of a text that is made of many short rows, such as a shard
// map: what follows the store sends only the rows that changed.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace runshelf::sidecar {

// Leads from `base` to `text`. Rows end with ']'; rows of `text` that are in `base` are named by
// their place there. May be longer than `text`.
std::string MakeTextPatch(std::string_view base, std::string_view text);

// nullopt when `patch` is none, does not fit `base`, or gives more than kMaxPatchedBytes.
std::optional<std::string> ApplyTextPatch(std::string_view base, std::string_view patch);

constexpr size_t kMaxPatchedBytes = size_t{8} << 20U;

}  // namespace runshelf::sidecar
