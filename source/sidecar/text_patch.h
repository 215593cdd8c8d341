// Binary patches between versions of a text that consists of many short rows, such as a shard map,
// so that only the changed rows are sent between nodes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace runshelf::sidecar {

// Returns a patch that turns `base` into `text`. Rows end with ']'; rows of `text` that occur in
// `base` are encoded by their offset and length there. The patch may be longer than `text`.
std::string MakeTextPatch(std::string_view base, std::string_view text);

// Returns the patched text; nullopt when `patch` is malformed, refers to bytes beyond the end of
// `base`, or yields more than kMaxPatchedBytes.
std::optional<std::string> ApplyTextPatch(std::string_view base, std::string_view patch);

constexpr size_t kMaxPatchedBytes = size_t{8} << 20U;

}  // namespace runshelf::sidecar
