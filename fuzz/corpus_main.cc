// Runs a fuzz target over the files of its corpus; links in place of libFuzzer.
//
//   <target> DIRECTORY
//
// Files named accepted-* must still be accepted by the decoder: a corpus that a change of the
// format made worthless is noticed. Exit codes: 0 all inputs were handled, 1 such a file was
// refused, 2 no corpus. A fault ends the process by a signal, after the name of the file.
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

#include "fuzz/fuzz_target.h"

namespace {

constexpr int kExitRefused = 1;
constexpr int kExitNoCorpus = 2;
constexpr std::string_view kAcceptedPrefix = "accepted-";

std::vector<std::filesystem::path> FilesOf(const std::filesystem::path& directory) {
  std::vector<std::filesystem::path> files;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(directory, error)) {
    if (entry.is_regular_file()) files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

// Returns false when the file was to be accepted and was not.
bool RunFile(const std::filesystem::path& path) {
  std::cout << path.filename().string() << std::endl;  // Flushed: the target may end the process.
  std::ifstream file(path, std::ios::binary);
  const std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  const size_t accepted_before = runshelf::fuzz::accepted_inputs;
  LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  const bool accepted = runshelf::fuzz::accepted_inputs > accepted_before;
  return accepted || !path.filename().string().starts_with(kAcceptedPrefix);
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::filesystem::path> files =
      argc == 2 ? FilesOf(argv[1]) : std::vector<std::filesystem::path>();
  if (files.empty()) {
    std::cerr << "usage: " << argv[0] << " DIRECTORY, with at least one file in it\n";
    return kExitNoCorpus;
  }
  for (const auto& file : files) {
    if (RunFile(file)) continue;
    std::cerr << file << " was refused\n";
    return kExitRefused;
  }
  std::cout << files.size() << " inputs handled" << std::endl;
  return 0;
}
