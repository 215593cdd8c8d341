#include "source/http/message.h"

#include <http_parser.h>
#include <strings.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "runshelf/common/status_line.h"

namespace runshelf::http {

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::optional<int64_t> ParseNumber(std::string_view text) {
  int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || number < 0) return std::nullopt;
  return number;
}

std::optional<Duration> ParseTime(std::string_view text, Duration unit) {
  constexpr Duration kLongest = std::chrono::hours(24);
  const std::optional<int64_t> count = ParseNumber(text);
  if (!count.has_value()) return std::nullopt;
  return *count > kLongest / unit ? kLongest : *count * unit;
}

void Headers::Add(std::string_view name, std::string_view value) {
  headers_.push_back({std::string(name), std::string(value)});
}

void Headers::Remove(std::string_view name) {
  std::erase_if(headers_,
                [&](const Header& header) { return EqualsIgnoreCase(header.name, name); });
}

void Headers::Set(std::string_view name, std::string_view value) {
  Remove(name);
  Add(name, value);
}

const std::string* Headers::Find(std::string_view name) const {
  for (const Header& header : headers_) {
    if (EqualsIgnoreCase(header.name, name)) return &header.value;
  }
  return nullptr;
}

size_t Headers::memory() const {
  size_t bytes = headers_.capacity() * sizeof(Header);
  for (const Header& header : headers_) bytes += header.name.size() + header.value.size();
  return bytes;
}

void Headers::RemoveConnectionHeaders() {
  std::vector<std::string> named;
  for (const Header& header : headers_) {
    if (!EqualsIgnoreCase(header.name, "connection")) continue;
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const size_t comma = rest.find(',');
      std::string_view item = rest.substr(0, comma);
      while (!item.empty() && item.front() == ' ') item.remove_prefix(1);
      while (!item.empty() && item.back() == ' ') item.remove_suffix(1);
      if (!item.empty()) named.emplace_back(item);
      rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    }
  }
  static constexpr std::string_view kConnectionHeaders[] = {
      "connection",          "keep-alive", "proxy-connection", "te",     "trailer",
      "transfer-encoding",   "upgrade",    "content-length",   "expect", "proxy-authenticate",
      "proxy-authorization",
  };
  std::erase_if(headers_, [&](const Header& header) {
    const auto same = [&](std::string_view name) { return EqualsIgnoreCase(header.name, name); };
    return std::any_of(std::begin(kConnectionHeaders), std::end(kConnectionHeaders), same) ||
           std::any_of(named.begin(), named.end(), same);
  });
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
#define RUNSHELF_STATUS(number, name, text) \
  case number:                              \
    return #text;
    HTTP_STATUS_MAP(RUNSHELF_STATUS)
#undef RUNSHELF_STATUS
    default:
      return "Unknown";
  }
}

namespace {

// Larger bodies are not copied behind the head, at the price of another write.
constexpr size_t kMaxCopiedBodyBytes = size_t{64} * 1024;
constexpr size_t kUsualHeadBytes = 512;

void AppendHeaders(const Headers& headers, std::string* out) {
  for (const Header& header : headers.all()) {
    out->append(header.name).append(": ").append(header.value).append("\r\n");
  }
}

std::string SerializeRequestHead(const RequestHead& head, size_t body_bytes, size_t capacity) {
  std::string out;
  out.reserve(capacity);
  out.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
  AppendHeaders(head.headers, &out);
  if (body_bytes > 0 || (head.method != "GET" && head.method != "HEAD")) {
    out.append("Content-Length: ").append(std::to_string(body_bytes)).append("\r\n");
  }
  out.append("\r\n");
  return out;
}

}  // namespace

std::string SerializeRequest(const RequestHead& head, std::string_view body) {
  return SerializeRequestHead(head, body.size(), kUsualHeadBytes + body.size()).append(body);
}

SerializedRequest SerializeSharedRequest(const RequestHead& head,
                                         const std::shared_ptr<const Request>& request) {
  const std::string& body = request->body;
  if (body.size() <= kMaxCopiedBodyBytes) return {SerializeRequest(head, body), nullptr};
  return {SerializeRequestHead(head, body.size(), kUsualHeadBytes), request};
}

std::string SerializeResponseHead(int status, const Headers& headers) {
  std::string out;
  out.reserve(384);
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  out.append(ReasonPhrase(status)).append("\r\n");
  AppendHeaders(headers, &out);
  out.append("\r\n");
  return out;
}

struct Parser::Implementation {
  // Returned to http_parser at the end of a head.
  static constexpr int kWithoutBody = 1;
  static constexpr int kStopParsing = -1;
  // Size of a head with neither reason phrase nor headers: "HTTP/1.1 100 \r\n\r\n".
  static constexpr size_t kMinHeadBytes = 17;

  http_parser parser{};
  Parser* owner = nullptr;
  std::string target;
  std::string reason;
  Headers headers;
  std::string field;
  std::string value;
  bool reading_value = false;
  bool too_large = false;

  static Implementation& Of(http_parser* parser) {
    return *static_cast<Implementation*>(parser->data);
  }

  void FinishHeader() {
    if (field.empty()) return;
    headers.Add(field, value);
    field.clear();
    value.clear();
    reading_value = false;
  }

  bool CountHeadBytes(size_t count) {
    if (owner->head_complete_) return true;
    owner->head_bytes_ += count;
    too_large = owner->head_bytes_ > owner->max_head_bytes_;
    return !too_large;
  }

  static int OnBegin(http_parser* parser) {
    Implementation& self = Of(parser);
    self.target.clear();
    self.reason.clear();
    self.headers = Headers();
    self.field.clear();
    self.value.clear();
    self.reading_value = false;
    if (!std::exchange(self.owner->after_interim_, false)) self.owner->head_bytes_ = 0;
    self.owner->in_message_ = true;
    self.owner->head_complete_ = false;
    return 0;
  }

  static int OnUrl(http_parser* parser, const char* data, size_t size) {
    Implementation& self = Of(parser);
    self.target.append(data, size);
    return self.CountHeadBytes(size) ? 0 : -1;
  }

  static int OnStatus(http_parser* parser, const char* data, size_t size) {
    Implementation& self = Of(parser);
    self.reason.append(data, size);
    return self.CountHeadBytes(size) ? 0 : -1;
  }

  static int OnField(http_parser* parser, const char* data, size_t size) {
    Implementation& self = Of(parser);
    if (self.owner->head_complete_) return 0;  // Trailers are dropped.
    if (self.reading_value) self.FinishHeader();
    self.field.append(data, size);
    return self.CountHeadBytes(size + 4) ? 0 : -1;
  }

  static int OnValue(http_parser* parser, const char* data, size_t size) {
    Implementation& self = Of(parser);
    if (self.owner->head_complete_) return 0;
    self.reading_value = true;
    self.value.append(data, size);
    return self.CountHeadBytes(size) ? 0 : -1;
  }

  // Whether the answer was truncated within its head and is followed by another one.
  bool ContainsSecondResponse() const {
    const auto contains = [](const Header& header) { return ContainsStatusLine(header.value); };
    return ContainsStatusLine(reason) ||
           std::any_of(headers.all().begin(), headers.all().end(), contains);
  }

  static int OnHeadersComplete(http_parser* parser) {
    Implementation& self = Of(parser);
    self.FinishHeader();
    self.owner->head_complete_ = true;
    if (self.owner->kind_ == ParserKind::kRequest) {
      RequestHead head;
      head.method = http_method_str(static_cast<http_method>(parser->method));
      head.target = std::move(self.target);
      head.headers = std::move(self.headers);
      self.owner->observer_->OnRequestHead(std::move(head));
      return 0;
    }
    if (self.ContainsSecondResponse()) return kStopParsing;
    // An interim (1xx) response has no body, and its completion is not reported.
    if (parser->status_code / 100 == 1) {
      self.owner->after_interim_ = true;
      self.owner->head_bytes_ += kMinHeadBytes;
      self.too_large = self.owner->head_bytes_ > self.owner->max_head_bytes_;
      return self.too_large ? kStopParsing : kWithoutBody;
    }
    ResponseHead head;
    head.status = static_cast<int>(parser->status_code);
    head.headers = std::move(self.headers);
    const bool chunked = (parser->flags & F_CHUNKED) != 0;
    if ((parser->flags & F_CONTENTLENGTH) != 0 && !chunked) {
      head.content_length = parser->content_length;
    }
    const bool no_body = self.owner->response_to_head_ || head.status == 204 || head.status == 304;
    if (no_body) head.content_length = 0;
    self.owner->observer_->OnResponseHead(std::move(head));
    return no_body ? kWithoutBody : 0;
  }

  static int OnBody(http_parser* parser, const char* data, size_t size) {
    Of(parser).owner->observer_->OnBody({data, size});
    return 0;
  }

  static int OnComplete(http_parser* parser) {
    Implementation& self = Of(parser);
    self.owner->in_message_ = false;
    if (self.owner->kind_ == ParserKind::kResponse && parser->status_code / 100 == 1) return 0;
    const bool keep_alive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    self.owner->observer_->OnMessageComplete(keep_alive);
    return 0;
  }

  static const http_parser_settings& Settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings made{};
      made.on_message_begin = &OnBegin;
      made.on_url = &OnUrl;
      made.on_status = &OnStatus;
      made.on_header_field = &OnField;
      made.on_header_value = &OnValue;
      made.on_headers_complete = &OnHeadersComplete;
      made.on_body = &OnBody;
      made.on_message_complete = &OnComplete;
      return made;
    }();
    return settings;
  }
};

Parser::Parser(ParserKind kind, ParserObserver* observer)
    : implementation_(std::make_unique<Implementation>()),
      observer_(observer),
      kind_(kind),
      grammar_(kind) {
  http_parser_init(&implementation_->parser,
                   kind == ParserKind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  implementation_->parser.data = implementation_.get();
  implementation_->owner = this;
}

Parser::~Parser() = default;

ParseResult Parser::Feed(std::string_view data) {
  size_t consumed = 0;
  while (consumed < data.size()) {
    const bool in_head = !in_message_ || !head_complete_;
    const auto part = NextPart(data.substr(consumed));
    if (!part.has_value()) return {ParseStatus::kMalformed, consumed};
    const ParseResult result = Execute(*part);
    consumed += result.consumed;
    if (result.status != ParseStatus::kOk) return {result.status, consumed};
    if (in_head && in_message_ && InChunkedBody()) grammar_.BeginChunkedBody();
  }
  return {ParseStatus::kOk, consumed};
}

bool Parser::InChunkedBody() const {
  return head_complete_ && (implementation_->parser.flags & F_CHUNKED) != 0;
}

std::optional<std::string_view> Parser::NextPart(std::string_view data) {
  if (in_message_ && head_complete_ && !InChunkedBody()) return data;
  const MessageGrammar::Result result = grammar_.Check(data);
  if (result.status == MessageGrammar::Status::kMalformed) return std::nullopt;
  return data.substr(0, result.size);
}

ParseResult Parser::Execute(std::string_view part) {
  http_parser& parser = implementation_->parser;
  if (HTTP_PARSER_ERRNO(&parser) == HPE_PAUSED) http_parser_pause(&parser, 0);
  size_t consumed =
      http_parser_execute(&parser, &Implementation::Settings(), part.data(), part.size());
  switch (HTTP_PARSER_ERRNO(&parser)) {
    case HPE_OK:
      if (!CountUnclaimed(consumed)) return {ParseStatus::kHeadTooLarge, consumed};
      // Upgrades are not supported: the bytes after such a head are not HTTP.
      if (parser.upgrade != 0) return {ParseStatus::kMalformed, consumed};
      return {ParseStatus::kOk, consumed};
    case HPE_PAUSED:
      unclaimed_bytes_ = 0;
      if (parser.upgrade != 0) return {ParseStatus::kMalformed, consumed};
      return {ParseStatus::kPaused, consumed};
    default:
      return {implementation_->too_large ? ParseStatus::kHeadTooLarge : ParseStatus::kMalformed,
              consumed};
  }
}

// Counts the bytes that belong to no message. Returns false if there are too many.
bool Parser::CountUnclaimed(size_t consumed) {
  unclaimed_bytes_ = in_message_ ? 0 : unclaimed_bytes_ + consumed;
  return unclaimed_bytes_ <= max_head_bytes_;
}

std::optional<uint64_t> Parser::content_length() const {
  const http_parser& parser = implementation_->parser;
  const bool announced = (parser.flags & F_CONTENTLENGTH) != 0 && (parser.flags & F_CHUNKED) == 0;
  if (!announced) return std::nullopt;
  return parser.content_length;
}

size_t Parser::head_memory() const {
  const Implementation& head = *implementation_;
  return head.target.size() + head.headers.memory() + head.field.size() + head.value.size();
}

void Parser::Clear() {
  Implementation& head = *implementation_;
  // The assignment of an empty string would keep the capacity.
  for (std::string* text : {&head.target, &head.reason, &head.field, &head.value}) {
    std::string().swap(*text);
  }
  head.headers = Headers();
}

bool Parser::Finish() {
  if (!in_message_) return true;
  http_parser& parser = implementation_->parser;
  http_parser_execute(&parser, &Implementation::Settings(), nullptr, 0);
  return !in_message_;
}

}  // namespace runshelf::http
