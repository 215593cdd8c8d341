#include "source/sidecar/text_patch.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <vector>

namespace runshelf::sidecar {
namespace {

using nlohmann::json;

constexpr char kRowEnd = ']';

// A part of the new text: a range of the base, or a literal.
struct Part {
  size_t offset = 0;
  size_t length = 0;
  std::string literal;  // When `length` is zero.
};

std::string_view NextRow(std::string_view text, size_t start) {
  const size_t end = text.find(kRowEnd, start);
  return text.substr(start, end == std::string_view::npos ? end : end - start + 1);
}

std::unordered_map<std::string_view, size_t> OffsetsOfRows(std::string_view text) {
  std::unordered_map<std::string_view, size_t> offsets;
  for (size_t start = 0; start < text.size();) {
    const std::string_view row = NextRow(text, start);
    offsets.emplace(row, start);
    start += row.size();
  }
  return offsets;
}

}  // namespace

std::string MakeTextPatch(std::string_view base, std::string_view text) {
  const auto offsets = OffsetsOfRows(base);
  std::vector<Part> parts;
  for (size_t start = 0; start < text.size();) {
    const std::string_view row = NextRow(text, start);
    start += row.size();
    Part* last = parts.empty() ? nullptr : &parts.back();
    if (last != nullptr && last->length > 0 &&
        base.substr(last->offset + last->length).starts_with(row)) {
      last->length += row.size();
    } else if (const auto found = offsets.find(row); found != offsets.end()) {
      parts.push_back({found->second, row.size(), ""});
    } else if (last != nullptr && last->length == 0) {
      last->literal.append(row);
    } else {
      parts.push_back({0, 0, std::string(row)});
    }
  }
  json patch = json::array();
  for (const Part& part : parts) {
    if (part.length > 0) {
      patch.push_back({part.offset, part.length});
    } else {
      patch.push_back(json::binary({part.literal.begin(), part.literal.end()}));
    }
  }
  const std::vector<uint8_t> bytes = json::to_cbor(patch);
  return {bytes.begin(), bytes.end()};
}

std::optional<std::string> ApplyTextPatch(std::string_view base, std::string_view patch) {
  const json parts = json::from_cbor(patch.begin(), patch.end(), /*strict=*/true,
                                     /*allow_exceptions=*/false);
  if (!parts.is_array()) return std::nullopt;
  std::string text;
  for (const json& part : parts) {
    if (part.is_binary()) {
      const auto& bytes = part.get_binary();
      text.append(bytes.begin(), bytes.end());
    } else if (part.is_array() && part.size() == 2 && part[0].is_number_unsigned() &&
               part[1].is_number_unsigned()) {
      const auto offset = part[0].get<size_t>();
      const auto length = part[1].get<size_t>();
      if (offset > base.size() || length > base.size() - offset) return std::nullopt;
      text.append(base.substr(offset, length));
    } else {
      return std::nullopt;
    }
    if (text.size() > kMaxPatchedBytes) return std::nullopt;
  }
  return text;
}

}  // namespace runshelf::sidecar
