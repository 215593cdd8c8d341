#include "runshelf/common/text.h"

#include <cstdint>

namespace runshelf {
namespace {

constexpr uint32_t kFirstPrintable = 0x20;
constexpr uint32_t kDelete = 0x7f;
constexpr uint32_t kFirstSurrogate = 0xd800;
constexpr uint32_t kLastSurrogate = 0xdfff;
constexpr uint32_t kLastCodePoint = 0x10ffff;
constexpr uint32_t kContinuationBits = 6;
constexpr uint32_t kContinuationMask = 0x3f;

// Number of bytes of the sequence that begins with `lead`; zero if none does.
size_t SequenceLength(uint8_t lead) {
  if (lead < 0x80) return 1;
  if (lead < 0xc0) return 0;
  if (lead < 0xe0) return 2;
  if (lead < 0xf0) return 3;
  return lead < 0xf8 ? 4 : 0;
}

// The smallest code point that needs a sequence of this length.
uint32_t FirstOfLength(size_t length) {
  constexpr uint32_t kFirst[] = {0, 0, 0x80, 0x800, 0x10000};
  return kFirst[length];
}

bool IsContinuation(uint8_t byte) { return (byte & 0xc0U) == 0x80U; }

bool IsPlainCharacter(uint32_t code_point) {
  if (code_point < kFirstPrintable || code_point == kDelete) return false;
  const bool surrogate = code_point >= kFirstSurrogate && code_point <= kLastSurrogate;
  return !surrogate && code_point <= kLastCodePoint;
}

}  // namespace

bool IsPlainText(std::string_view text) {
  while (!text.empty()) {
    const auto lead = static_cast<uint8_t>(text.front());
    const size_t length = SequenceLength(lead);
    if (length == 0 || length > text.size()) return false;
    // The lead byte of a sequence of n bytes has n + 1 bits of length.
    uint32_t code_point = length == 1 ? lead : lead & (0x7fU >> length);
    for (const char character : text.substr(1, length - 1)) {
      const auto byte = static_cast<uint8_t>(character);
      if (!IsContinuation(byte)) return false;
      code_point = (code_point << kContinuationBits) | (byte & kContinuationMask);
    }
    if (code_point < FirstOfLength(length) || !IsPlainCharacter(code_point)) return false;
    text.remove_prefix(length);
  }
  return true;
}

}  // namespace runshelf
