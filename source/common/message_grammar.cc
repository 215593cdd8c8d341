#include "runshelf/common/message_grammar.h"

#include <algorithm>
#include <array>

namespace runshelf {
namespace {

constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr size_t kStatusDigits = 3;
constexpr unsigned char kMinStatusClass = '1';
constexpr unsigned char kMaxStatusClass = '5';
constexpr unsigned kHexBits = 4;
constexpr uint64_t kMaxChunkBytes = uint64_t{1} << 60U;

using Bytes = std::array<bool, 256>;

// RFC 9110, 5.6.2: tchar.
constexpr Bytes kTokenBytes = [] {
  Bytes allowed{};
  for (int byte = '0'; byte <= '9'; ++byte) allowed[byte] = true;
  for (int byte = 'A'; byte <= 'Z'; ++byte) allowed[byte] = true;
  for (int byte = 'a'; byte <= 'z'; ++byte) allowed[byte] = true;
  for (const char byte : std::string_view("!#$%&'*+-.^_`|~")) {
    allowed[static_cast<unsigned char>(byte)] = true;
  }
  return allowed;
}();

// RFC 9110, 5.5: field-vchar, SP and HTAB; also what a reason phrase and a chunk extension hold.
constexpr Bytes kTextBytes = [] {
  Bytes allowed{};
  for (size_t byte = 0x20; byte < allowed.size(); ++byte) allowed[byte] = byte != 0x7f;
  allowed['\t'] = true;
  return allowed;
}();

bool IsDigit(unsigned char byte) { return byte >= '0' && byte <= '9'; }
bool IsLineEnd(unsigned char byte) { return byte == '\r' || byte == '\n'; }

// The value of a hexadecimal digit; -1 for another byte.
int HexValue(unsigned char byte) {
  if (IsDigit(byte)) return byte - '0';
  if (byte >= 'a' && byte <= 'f') return byte - 'a' + 10;
  if (byte >= 'A' && byte <= 'F') return byte - 'A' + 10;
  return -1;
}

}  // namespace

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char byte) {
    return kTokenBytes[static_cast<unsigned char>(byte)];
  });
}

MessageGrammar::Result MessageGrammar::Check(std::string_view data) {
  size_t index = 0;
  while (index < data.size()) {
    if (state_ == State::kChunkData) {
      const size_t count = std::min<uint64_t>(chunk_left_, data.size() - index);
      chunk_left_ -= count;
      index += count;
      if (chunk_left_ == 0) state_ = State::kChunkDataEnd;
      continue;
    }
    if (!Accept(static_cast<unsigned char>(data[index]))) return {Status::kMalformed, index};
    ++index;
    if (ended_) {
      ended_ = false;
      return {Status::kEnd, index};
    }
  }
  return {Status::kMore, index};
}

bool MessageGrammar::Accept(unsigned char byte) {
  if (state_ == State::kLineEnd || IsLineEnd(byte)) return AcceptLineEnd(byte);
  switch (state_) {
    case State::kBegin:
      return BeginMessage(byte);
    case State::kVersion:
      return AcceptVersion(byte);
    case State::kStatusCode:
      return AcceptStatusCode(byte);
    case State::kAfterStatusCode:
      state_ = State::kReason;
      return byte == ' ';
    case State::kMethod:
      if (byte == ' ') state_ = State::kTarget;
      return byte == ' ' || kTokenBytes[byte];
    case State::kTarget:
      if (byte == ' ' && position_ > 0) {
        state_ = State::kVersion;
        position_ = 0;
        return true;
      }
      ++position_;
      return byte > ' ' && byte != 0x7f;
    case State::kFieldBegin:
      state_ = State::kFieldName;
      return kTokenBytes[byte];
    case State::kFieldName:
      if (byte == ':') state_ = State::kFieldValue;
      return byte == ':' || kTokenBytes[byte];
    case State::kReason:
    case State::kFieldValue:
    case State::kChunkExtension:
      return kTextBytes[byte];
    case State::kChunkSizeBegin:
    case State::kChunkSize:
      return AcceptChunkSize(byte);
    case State::kChunkData:
    case State::kChunkDataEnd:
    case State::kLineEnd:
      return false;
  }
  return false;
}

bool MessageGrammar::BeginMessage(unsigned char byte) {
  position_ = 0;
  if (kind_ == MessageKind::kRequest) {
    state_ = State::kMethod;
    return kTokenBytes[byte];
  }
  state_ = State::kVersion;
  return AcceptVersion(byte);
}

bool MessageGrammar::AcceptVersion(unsigned char byte) {
  if (position_ < kVersionPrefix.size()) {
    return byte == static_cast<unsigned char>(kVersionPrefix[position_++]);
  }
  if (position_ == kVersionPrefix.size()) {
    ++position_;
    return IsDigit(byte);
  }
  // Only a status follows on the same line.
  position_ = 0;
  state_ = State::kStatusCode;
  return kind_ == MessageKind::kResponse && byte == ' ';
}

// RFC 9110, 15: values outside of 100 to 599 are invalid.
bool MessageGrammar::AcceptStatusCode(unsigned char byte) {
  const bool valid =
      position_ == 0 ? byte >= kMinStatusClass && byte <= kMaxStatusClass : IsDigit(byte);
  if (++position_ == kStatusDigits) state_ = State::kAfterStatusCode;
  return valid;
}

bool MessageGrammar::AcceptChunkSize(unsigned char byte) {
  const int value = HexValue(byte);
  if (state_ == State::kChunkSizeBegin) {
    chunk_left_ = 0;
    state_ = State::kChunkSize;
    if (value < 0) return false;
  }
  if (value >= 0) {
    chunk_left_ = (chunk_left_ << kHexBits) + static_cast<uint64_t>(value);
    return chunk_left_ <= kMaxChunkBytes;
  }
  state_ = State::kChunkExtension;
  return byte == ';' || byte == ' ' || byte == '\t';
}

bool MessageGrammar::AcceptLineEnd(unsigned char byte) {
  if (state_ == State::kLineEnd) return byte == '\n' && EndLine();
  line_ = state_;
  state_ = State::kLineEnd;
  return byte == '\r' || EndLine();
}

bool MessageGrammar::EndLine() {
  switch (line_) {
    case State::kBegin:
      state_ = State::kBegin;
      return true;
    case State::kVersion:
      state_ = State::kFieldBegin;
      return kind_ == MessageKind::kRequest && position_ == kVersionPrefix.size() + 1;
    case State::kAfterStatusCode:
    case State::kReason:
    case State::kFieldValue:
      state_ = State::kFieldBegin;
      return true;
    case State::kFieldBegin:
      state_ = State::kBegin;
      ended_ = true;
      return true;
    case State::kChunkSize:
    case State::kChunkExtension:
      // Trailers follow the last chunk.
      state_ = chunk_left_ == 0 ? State::kFieldBegin : State::kChunkData;
      return true;
    case State::kChunkDataEnd:
      state_ = State::kChunkSizeBegin;
      return true;
    case State::kStatusCode:
    case State::kMethod:
    case State::kTarget:
    case State::kFieldName:
    case State::kChunkSizeBegin:
    case State::kChunkData:
    case State::kLineEnd:
      return false;
  }
  return false;
}

}  // namespace runshelf
