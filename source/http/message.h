// HTTP/1.1 messages and an incremental parser, based on http_parser, that does no I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/message_grammar.h"
#include "source/http/memory_budget.h"

namespace runshelf::http {

struct Header {
  std::string name;
  std::string value;
};

// The headers of one message, in order. Names are case-insensitive.
class Headers {
 public:
  void Add(std::string_view name, std::string_view value);
  // Removes every header of this name.
  void Remove(std::string_view name);
  // Replaces every header of this name by one.
  void Set(std::string_view name, std::string_view value);
  // The first value; nullptr when there is none.
  const std::string* Find(std::string_view name) const;
  bool Has(std::string_view name) const { return Find(name) != nullptr; }
  const std::vector<Header>& all() const { return headers_; }
  std::vector<Header>& all() { return headers_; }

  // Bytes of memory that they take.
  size_t memory() const;

  // Removes hop-by-hop headers, including those listed in Connection, and Content-Length and
  // Expect.
  void RemoveConnectionHeaders();

 private:
  std::vector<Header> headers_;
};

bool EqualsIgnoreCase(std::string_view left, std::string_view right);

// Parses a non-negative integer; nullopt when `text` has another form.
std::optional<int64_t> ParseNumber(std::string_view text);

// Parses a non-negative number of time units, each `unit` long. Times beyond a day count as a day,
// so that sums of times stay in range. nullopt when `text` has another form.
std::optional<Duration> ParseTime(std::string_view text, Duration unit);

struct RequestHead {
  std::string method;
  std::string target;
  Headers headers;
};

struct ResponseHead {
  int status = 0;
  Headers headers;
  // Length of the body; absent when it is chunked or ends with the connection.
  std::optional<uint64_t> content_length;
};

struct Request {
  RequestHead head;
  std::string body;
  // The memory of a request that was received, as long as any copy of it exists; may be null.
  std::shared_ptr<const MemoryCharge> memory;
};

struct Response {
  int status = 0;
  Headers headers;
  std::string body;
};

std::string_view ReasonPhrase(int status);

// Serializes a request with Content-Length, which is omitted for GET and HEAD without a body.
std::string SerializeRequest(const RequestHead& head, std::string_view body);

// A request to be sent, whose body is not copied if it is large.
struct SerializedRequest {
  std::string bytes;                       // The head, and the body unless it is in `body_of`.
  std::shared_ptr<const Request> body_of;  // Its body follows `bytes`; null: nothing follows.

  size_t size() const { return bytes.size() + (body_of == nullptr ? 0 : body_of->body.size()); }
};

// Serializes the body of `request` behind `head`, as SerializeRequest() does.
SerializedRequest SerializeSharedRequest(const RequestHead& head,
                                         const std::shared_ptr<const Request>& request);

// Serializes the head of a response. The caller must have set the framing headers.
std::string SerializeResponseHead(int status, const Headers& headers);

using ParserKind = MessageKind;

// Receives the parts of messages as they are parsed.
class ParserObserver {
 public:
  virtual ~ParserObserver() = default;
  virtual void OnRequestHead(RequestHead&&) {}
  virtual void OnResponseHead(ResponseHead&&) {}
  virtual void OnBody(std::string_view data) = 0;
  // `keep_alive`: whether the head allows another message on the connection.
  virtual void OnMessageComplete(bool keep_alive) = 0;
};

enum class ParseStatus {
  kOk,            // Everything was consumed.
  kPaused,        // Stopped after a complete message; the rest was not consumed.
  kMalformed,     // The bytes are not a valid message.
  kHeadTooLarge,  // The head exceeds the limit.
};

struct ParseResult {
  ParseStatus status = ParseStatus::kOk;
  size_t consumed = 0;
};

// Parses a sequence of messages and pauses after each complete one.
class Parser {
 public:
  // `observer` must outlive the parser.
  Parser(ParserKind kind, ParserObserver* observer);
  ~Parser();
  Parser(const Parser&) = delete;
  Parser& operator=(const Parser&) = delete;

  // The limit includes the interim answers, or blank lines, before a message.
  void set_max_head_bytes(size_t bytes) { max_head_bytes_ = bytes; }
  // Whether the next response answers a HEAD request and so has no body.
  void set_response_to_head(bool value) { response_to_head_ = value; }
  ParseResult Feed(std::string_view data);
  // The connection was closed in order: completes a body that is delimited by the close. Returns
  // false when the message is incomplete.
  bool Finish();
  // True while a message has begun and is not complete.
  bool in_message() const { return in_message_; }
  bool head_complete() const { return head_complete_; }
  // The announced length of the body of the message in progress; absent when none was announced.
  std::optional<uint64_t> content_length() const;
  // Bytes of memory that the incomplete head takes.
  size_t head_memory() const;
  // Frees the memory of the message in progress, after which nothing more may be parsed.
  void Clear();

 private:
  struct Implementation;
  friend struct Implementation;
  // The part of `data` that may be parsed next; nullopt if it is malformed.
  std::optional<std::string_view> NextPart(std::string_view data);
  ParseResult Execute(std::string_view part);
  bool InChunkedBody() const;
  bool CountUnclaimed(size_t consumed);

  std::unique_ptr<Implementation> implementation_;
  ParserObserver* observer_;
  ParserKind kind_;
  MessageGrammar grammar_;
  size_t max_head_bytes_ = size_t{64} * 1024;
  size_t head_bytes_ = 0;       // Of the head in progress, and of the interim answers before it.
  size_t unclaimed_bytes_ = 0;  // Received since the last message, before the next one began.
  bool after_interim_ = false;  // The last message was an interim (1xx) answer.
  bool response_to_head_ = false;
  bool in_message_ = false;
  bool head_complete_ = false;
};

}  // namespace runshelf::http
