// runshelf-load: an open-loop load of several caller classes over HTTP.

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <atomic>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include "runshelf/common/log.h"
#include "tools/load/load_runner.h"

namespace {

using runshelf::load::ClassMix;
using runshelf::load::Endpoint;
using runshelf::load::LoadConfig;
using runshelf::load::ServiceMix;

std::atomic<bool> stop_requested = false;
static_assert(std::atomic<bool>::is_always_lock_free);

void RequestStop(int) { stop_requested = true; }

constexpr int kExitUsage = 2;
constexpr int kExitFailure = 1;

struct Options {
  LoadConfig load;
  std::string result_file;
};

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  size_t start = 0;
  for (size_t end = text.find(separator); end != std::string::npos;
       end = text.find(separator, start)) {
    parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  parts.push_back(text.substr(start));
  return parts;
}

double ParseNumber(const std::string& text, const std::string& flag) {
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || value < 0) {
    throw TCLAP::ArgException(fmt::format("\"{}\" is not a number of at least 0", text), flag);
  }
  return value;
}

ServiceMix ParseService(const std::string& text) {
  const std::vector<std::string> parts = Split(text, ':');
  if (parts.size() != 4 || (parts[1] != "keyed" && parts[1] != "any")) {
    throw TCLAP::ArgException(fmt::format("\"{}\" is not NAME:keyed|any:WRITES:WEIGHT", text),
                              "--service");
  }
  return {parts[0], parts[1] == "keyed", ParseNumber(parts[2], "--service"),
          ParseNumber(parts[3], "--service")};
}

ClassMix ParseClass(const std::string& text) {
  const std::vector<std::string> parts = Split(text, ':');
  if (parts.size() != 2) {
    throw TCLAP::ArgException(fmt::format("\"{}\" is not NAME:WEIGHT", text), "--class");
  }
  return {parts[0], ParseNumber(parts[1], "--class")};
}

Endpoint ParseEndpoint(const std::string& text) {
  const std::vector<std::string> parts = Split(text, '=');
  if (parts.size() == 1) return {parts[0], ""};
  return {parts[1], parts[0]};
}

Options ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine command(
      "Sends an open-loop load to daemons and writes what callers saw. SIGTERM ends the load "
      "early. Example: runshelf-load --endpoint 127.0.0.1:8001 --service feedread:keyed:0.2:1 "
      "--class newsroom:1 --seconds 10 --result load.jsonl",
      ' ', RUNSHELF_VERSION);
  TCLAP::MultiArg<std::string> endpoints("", "endpoint",
                                         "Daemon to send to; for servers, the service in front",
                                         true, "[SERVICE=]IP:PORT", command);
  TCLAP::MultiArg<std::string> services(
      "", "service", "Service, whether it is divided by key, share of writes, share of the load",
      true, "NAME:keyed|any:WRITES:WEIGHT", command);
  TCLAP::MultiArg<std::string> classes("", "class", "Caller class and its share of the load", true,
                                       "NAME:WEIGHT", command);
  TCLAP::ValueArg<std::string> result("", "result", "File for the result, one attempt a line", true,
                                      "", "FILE", command);
  TCLAP::ValueArg<std::string> name("", "name", "Prefix of call names, unique in a report", false,
                                    "run", "NAME", command);
  TCLAP::ValueArg<double> rate("", "rate", "Calls a second, over all services", false, 100, "N",
                               command);
  TCLAP::ValueArg<uint32_t> seconds("", "seconds", "Length of the load", false, 10, "N", command);
  TCLAP::ValueArg<uint32_t> deadline("", "deadline-ms", "Time that callers wait", false, 2000, "MS",
                                     command);
  TCLAP::ValueArg<uint32_t> threads("", "threads", "Calls under way at the same time", false, 64,
                                    "N", command);
  TCLAP::ValueArg<uint32_t> keys("", "keys", "Number of keys of each service", false, 2000, "N",
                                 command);
  TCLAP::ValueArg<double> zipf("", "zipf", "Exponent of the distribution of keys; 0 is uniform",
                               false, 0, "S", command);
  TCLAP::ValueArg<uint32_t> shift("", "hot-set-seconds", "The hot keys change this often", false,
                                  10, "N", command);
  TCLAP::ValueArg<double> idempotent("", "idempotent", "Share of writes with an idempotency key",
                                     false, 0.7, "SHARE", command);
  TCLAP::ValueArg<double> abandon("", "abandon", "Share of calls closed before the answer", false,
                                  0, "SHARE", command);
  TCLAP::ValueArg<double> duplicate("", "duplicate",
                                    "Share of idempotent calls repeated after an answer", false, 0,
                                    "SHARE", command);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed of the calls", false, 1, "N", command);
  TCLAP::SwitchArg direct("", "direct", "The endpoints are servers, not daemons", command);
  TCLAP::SwitchArg warm_up("", "warm-up", "The report judges these calls but measures others",
                           command);
  command.setExceptionHandling(false);  // Errors end the program with its own exit code.
  command.parse(argc, argv);

  Options options;
  options.result_file = result.getValue();
  LoadConfig& load = options.load;
  for (const std::string& text : endpoints.getValue()) {
    load.endpoints.push_back(ParseEndpoint(text));
  }
  for (const std::string& text : services.getValue()) {
    load.generator.services.push_back(ParseService(text));
  }
  for (const std::string& text : classes.getValue()) {
    load.generator.classes.push_back(ParseClass(text));
  }
  load.generator.run_name = name.getValue();
  load.generator.calls_per_second = rate.getValue();
  load.generator.key_count = keys.getValue();
  load.generator.zipf_exponent = zipf.getValue();
  load.generator.key_distribution = zipf.getValue() > 0 ? runshelf::load::KeyDistribution::kZipf
                                                        : runshelf::load::KeyDistribution::kUniform;
  load.generator.hot_set_period = std::chrono::seconds(shift.getValue());
  load.generator.idempotent_share = idempotent.getValue();
  load.generator.abandon_share = abandon.getValue();
  load.generator.duplicate_share = duplicate.getValue();
  load.generator.seed = seed.getValue();
  load.direct = direct.getValue();
  load.warm_up = warm_up.getValue();
  load.length = std::chrono::seconds(seconds.getValue());
  load.deadline = std::chrono::milliseconds(deadline.getValue());
  load.threads = threads.getValue();
  return options;
}

int WriteResult(const std::string& file,
                const std::vector<runshelf::load::AttemptRecord>& records) {
  std::ofstream stream(file);
  size_t succeeded = 0;
  for (const auto& record : records) {
    stream << runshelf::load::ToJsonLine(record) << '\n';
    if (record.Succeeded()) ++succeeded;
  }
  stream.flush();
  if (!stream) {
    fmt::print(stderr, "runshelf-load: cannot write {}\n", file);
    return kExitFailure;
  }
  runshelf::LogEvent(runshelf::LogLevel::kInfo, "load_finished",
                     {{"attempts", records.size()}, {"succeeded", succeeded}});
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  try {
    options = ParseOptions(argc, argv);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? 0 : kExitUsage;
  } catch (const TCLAP::ArgException& error) {
    fmt::print(stderr, "runshelf-load: {} {}\n", error.error(), error.argId());
    return kExitUsage;
  }
  std::signal(SIGTERM, RequestStop);
  const runshelf::SystemClock clock;
  return WriteResult(options.result_file,
                     runshelf::load::RunLoad(options.load, clock, stop_requested));
}
