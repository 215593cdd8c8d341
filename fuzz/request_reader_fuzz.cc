// Bytes of a client that sends several requests in a row: the requests are the same in whatever
// pieces the bytes come, and every byte is counted once.
#include <string>
#include <string_view>
#include <vector>

#include "fuzz/fuzz_target.h"
#include "source/http/request_reader.h"

using namespace runshelf::http;
using runshelf::fuzz::Require;

namespace {

constexpr size_t kMaxHeadBytes = 512;
constexpr size_t kMaxBodyBytes = 64;
// Longer inputs are cut at fewer places.
constexpr size_t kMaxBytesForAllCuts = 512;

struct Requests {
  std::vector<std::string> texts;
  int refusal = 0;

  bool operator==(const Requests&) const = default;
};

std::string ToText(const ReadRequest& read) {
  std::string text = read.request.head.method + " " + read.request.head.target + "\n";
  for (const Header& header : read.request.head.headers.all()) {
    text += header.name + ": " + header.value + "\n";
  }
  return text + "\n" + read.request.body + (read.keep_alive ? "\n" : "\nlast\n");
}

void ReadAll(RequestReader* reader, Requests* requests, size_t* bytes) {
  while (requests->refusal == 0 && reader->has_input()) {
    switch (reader->ReadNext(kMaxHeadBytes, kMaxBodyBytes)) {
      case ReadStatus::kIncomplete:
        Require(!reader->has_input(), "incomplete input is read whole");
        break;
      case ReadStatus::kRefused:
        requests->refusal = reader->refusal();
        Require(requests->refusal >= 400, "a refusal has a status");
        break;
      case ReadStatus::kRequest: {
        const ReadRequest read = reader->TakeRequest();
        Require(read.bytes > 0, "a request takes bytes");
        Require(read.request.body.size() <= kMaxBodyBytes, "bodies are bounded");
        *bytes += read.bytes;
        requests->texts.push_back(ToText(read));
        break;
      }
    }
  }
}

Requests Read(const std::vector<std::string_view>& pieces) {
  Requests requests;
  RequestReader reader;
  size_t given = 0;
  size_t taken = 0;
  for (const std::string_view piece : pieces) {
    if (requests.refusal != 0) break;
    given += piece.size();
    reader.Append(piece);
    ReadAll(&reader, &requests, &taken);
  }
  Require(taken + reader.buffered_bytes() == given, "every byte is counted once");
  return requests;
}

std::vector<std::string_view> SingleBytes(std::string_view bytes) {
  std::vector<std::string_view> pieces;
  for (size_t index = 0; index < bytes.size(); ++index) pieces.push_back(bytes.substr(index, 1));
  return pieces;
}

}  // namespace

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text = runshelf::fuzz::ToText(data, size);
  const std::string_view bytes = text;
  const Requests whole = Read({bytes});
  if (whole.texts.size() > 1 && whole.refusal == 0) runshelf::fuzz::CountAccepted();
  Require(Read(SingleBytes(bytes)) == whole, "requests are the same byte by byte");
  const size_t step = 1 + bytes.size() / kMaxBytesForAllCuts;
  for (size_t cut = 1; cut < bytes.size(); cut += step) {
    Require(Read({bytes.substr(0, cut), bytes.substr(cut)}) == whole, "requests are the same cut");
  }
  return 0;
}
