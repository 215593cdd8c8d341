#include "source/ctl/files.h"

#include <algorithm>
#include <fstream>
#include <iostream>

namespace runshelf::ctl {
namespace {

absl::StatusOr<std::string> ReadStream(std::istream& stream, size_t max_size) {
  std::string text(max_size, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(max_size));
  if (stream.bad()) return absl::DataLossError("read error");
  text.resize(static_cast<size_t>(stream.gcount()));
  return text;
}

}  // namespace

absl::StatusOr<std::string> ReadFile(const std::string& file, size_t max_size) {
  if (file == kStandardStream) return ReadStream(std::cin, max_size);
  std::ifstream stream(file, std::ios::binary);
  if (!stream) return absl::NotFoundError("the file cannot be opened");
  return ReadStream(stream, max_size);
}

absl::Status WriteFile(const std::string& file, std::string_view text) {
  std::ofstream stream(file, std::ios::binary | std::ios::trunc);
  if (!stream) return absl::PermissionDeniedError("the file cannot be opened for writing");
  stream << text;
  stream.close();
  if (!stream) return absl::DataLossError("write error");
  return absl::OkStatus();
}

std::string Printable(std::string_view text) {
  std::string printable(text);
  std::replace_if(
      printable.begin(), printable.end(),
      [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return byte < ' ' || byte == 0x7f;
      },
      '?');
  return printable;
}

}  // namespace runshelf::ctl
