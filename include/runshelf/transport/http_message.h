// HTTP messages as values, free of any library's types.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace runshelf::transport {

struct HttpHeader {
  std::string name;
  std::string value;
};

// Header fields in the order received. Names compare without regard to case.
class HttpHeaders {
 public:
  // Appends a field, also when one of the same name exists.
  void Add(std::string name, std::string value);

  // Removes all fields named `name` and appends one.
  void Set(const std::string& name, std::string value);

  void Remove(std::string_view name);

  // Returns the first value of `name`.
  std::optional<std::string> Find(std::string_view name) const;

  bool Has(std::string_view name) const { return Find(name).has_value(); }

  const std::vector<HttpHeader>& All() const { return fields_; }

 private:
  std::vector<HttpHeader> fields_;
};

struct HttpRequest {
  std::string method;
  std::string target;  // Path and query as sent.
  HttpHeaders headers;
  std::string body;
  // Server side only: the body exceeded the limit and was discarded.
  bool body_too_large = false;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  // Of a response to HEAD: the length that the body would have.
  std::optional<uint64_t> announced_length;
  // Server side only: close the connection after this response.
  bool close_connection = false;
};

// Whether `name` concerns one connection only and must not be forwarded, or is recomputed for each
// connection (Content-Length, Date).
bool IsConnectionHeader(std::string_view name);

}  // namespace runshelf::transport
