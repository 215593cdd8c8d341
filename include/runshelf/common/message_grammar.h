// Checks the bytes of HTTP/1.1 messages against the grammar of RFC 9110 and RFC 9112, which
// HTTP libraries apply only in part.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace runshelf {

enum class MessageKind { kRequest, kResponse };

// Whether `text` is a token (RFC 9110, 5.6.2), as names of fields are.
bool IsToken(std::string_view text);
// Whether an answer may have this status (RFC 9110, 15).
constexpr bool IsValidStatus(int status) { return status >= 100 && status < 600; }

// Reads heads and chunked bodies. Does not interpret fields: the caller knows from them how a body
// is framed. A line may end with LF alone (RFC 9112, 2.2); lines are not folded (5.2).
class MessageGrammar {
 public:
  explicit MessageGrammar(MessageKind kind) : kind_(kind) {}

  enum class Status {
    kMore,       // All bytes were read.
    kEnd,        // The head, or the chunked body, ends behind the bytes that were read.
    kMalformed,  // The byte behind those that were read is not allowed there.
  };
  struct Result {
    Status status;
    size_t size;  // Bytes read.
  };

  // Reads up to the end of the head or chunked body in progress; a head follows by default.
  Result Check(std::string_view data);
  // A chunked body follows. To be called between kEnd of its head and the next Check().
  void BeginChunkedBody() { state_ = State::kChunkSizeBegin; }

 private:
  enum class State : uint8_t {
    kBegin,  // Blank lines before a message are skipped.
    kVersion,
    kStatusCode,
    kAfterStatusCode,
    kReason,
    kMethod,
    kTarget,
    kFieldBegin,
    kFieldName,
    kFieldValue,
    kChunkSizeBegin,
    kChunkSize,
    kChunkExtension,
    kChunkData,
    kChunkDataEnd,
    kLineEnd,  // Behind a CR.
  };

  // Returns whether the byte is allowed; may change the state.
  bool Accept(unsigned char byte);
  bool AcceptVersion(unsigned char byte);
  bool AcceptStatusCode(unsigned char byte);
  bool AcceptLineEnd(unsigned char byte);
  bool AcceptChunkSize(unsigned char byte);
  // Begins the first line of a message.
  bool BeginMessage(unsigned char byte);
  // The line that `line_` was in is complete.
  bool EndLine();

  MessageKind kind_;
  State state_ = State::kBegin;
  State line_ = State::kBegin;  // The state in which the line end began.
  bool ended_ = false;          // The head or chunked body is complete.
  size_t position_ = 0;         // Within the version or status code.
  uint64_t chunk_left_ = 0;     // Bytes of the chunk that are not read yet, or its size so far.
};

}  // namespace runshelf
