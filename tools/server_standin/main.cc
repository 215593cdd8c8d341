// runshelf-server: a stand-in for an operator's server, for tests and the demo.

#include <fmt/format.h>
#include <signal.h>
#include <tclap/CmdLine.h>

#include <string>

#include "runshelf/common/log.h"
#include "tools/server_standin/http_server.h"

namespace {

using runshelf::LogEvent;
using runshelf::LogLevel;

constexpr int kExitUsage = 2;
constexpr int kExitFailure = 1;

struct Options {
  std::string listen;
  runshelf::server_standin::ServerConfig config;
};

Options ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine command(
      "Stand-in server for tests: executes requests under fenced grants and records every "
      "execution. Example: runshelf-server --listen 127.0.0.1:7001 --service feedread",
      ' ', RUNSHELF_VERSION);
  TCLAP::ValueArg<std::string> listen("", "listen", "Address to serve, port 0 takes a free one",
                                      true, "", "127.0.0.1:PORT", command);
  TCLAP::ValueArg<std::string> service("", "service", "Name of the service", true, "", "NAME",
                                       command);
  TCLAP::ValueArg<std::string> name("", "name", "Unique name of this server, for its record", false,
                                    "", "NAME", command);
  TCLAP::ValueArg<uint32_t> slots("", "slots", "Requests in work at the same time", false, 20, "N",
                                  command);
  TCLAP::ValueArg<uint32_t> queue("", "queue", "Requests that wait before new ones are shed", false,
                                  40, "N", command);
  TCLAP::ValueArg<uint32_t> service_time("", "service-time-ms", "Time in work of one request",
                                         false, 5, "MS", command);
  TCLAP::ValueArg<uint32_t> cold_start("", "cold-start-ms",
                                       "Time after the start in which requests take longer", false,
                                       0, "MS", command);
  TCLAP::ValueArg<uint32_t> report_lag("", "load-report-lag-ms",
                                       "Age of the load that GET /health reports", false, 0, "MS",
                                       command);
  TCLAP::ValueArg<std::string> record("", "record", "File to append the record to", false, "",
                                      "FILE", command);
  command.setExceptionHandling(false);  // Errors end the program with its own exit code.
  command.parse(argc, argv);
  Options options;
  options.listen = listen.getValue();
  options.config.service = service.getValue();
  options.config.server =
      name.isSet() ? name.getValue() : service.getValue() + "@" + listen.getValue();
  options.config.slots = slots.getValue();
  options.config.queue_limit = queue.getValue();
  options.config.service_time = std::chrono::milliseconds(service_time.getValue());
  options.config.cold_start = std::chrono::milliseconds(cold_start.getValue());
  options.config.load_report_lag = std::chrono::milliseconds(report_lag.getValue());
  options.config.record_file = record.getValue();
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  try {
    options = ParseOptions(argc, argv);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? 0 : kExitUsage;
  } catch (const TCLAP::ArgException& error) {
    fmt::print(stderr, "runshelf-server: {} {}\n", error.error(), error.argId());
    return kExitUsage;
  }
  // Blocked before any thread starts, so that only sigwait below receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  const runshelf::SystemClock clock;
  runshelf::server_standin::RequestExecutor executor(options.config, clock);
  const auto server = runshelf::server_standin::HttpServer::Start(options.listen, executor);
  if (!server.ok()) {
    LogEvent(LogLevel::kError, "listen_failed",
             {{"detail", std::string(server.status().message())}});
    return kExitFailure;
  }
  LogEvent(LogLevel::kInfo, "server_started",
           {{"service", options.config.service}, {"port", (*server)->port()}});
  int received = 0;
  sigwait(&signals, &received);
  LogEvent(LogLevel::kInfo, "server_stopped", {{"signal", received}});
  return 0;
}
