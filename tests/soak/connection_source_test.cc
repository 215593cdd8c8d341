#include "tests/soak/connection_source.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <memory>

#include "tests/event/loop_runner.h"

using namespace runshelf;
using namespace runshelf::soak;

// Child processes connect to one listener, one after the other.
TEST_GROUP(ConnectionSource) {
  event::EventLoop loop;
  std::vector<std::unique_ptr<event::TcpStream>> accepted;
  std::vector<uint16_t> ports;
  std::vector<pid_t> children;
  ConnectionSource source{loop, [this] { return children; }};
  event::TcpListener listener{loop, [this](std::unique_ptr<event::TcpStream> stream) {
                                ports.push_back(source.PortOfLatest(Endpoint()));
                                accepted.push_back(std::move(stream));
                              }};

  void setup() override { CHECK_EQUAL(0, listener.Listen({"127.0.0.1", 0})); }
  void teardown() override {
    for (const pid_t child : children) {
      kill(child, SIGKILL);
      waitpid(child, nullptr, 0);
    }
  }

  event::Endpoint Endpoint() const { return {"127.0.0.1", listener.bound_port()}; }
  void ConnectFromChild() {
    const uint16_t port = listener.bound_port();
    const pid_t child = fork();
    if (child == 0) {
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(port);
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
      connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
      for (;;) pause();
    }
    children.push_back(child);
    const size_t before = accepted.size();
    CHECK(event::RunUntil(loop, [&] { return accepted.size() > before; }));
  }
};

TEST(ConnectionSource, TheProcessAtTheOtherEndIsFound) {
  for (int count = 0; count < 3; ++count) ConnectFromChild();
  for (size_t child : {1, 0, 2}) {
    const auto found = source.ProcessOf(Endpoint(), ports[child]);
    CHECK(found.has_value());
    CHECK_EQUAL(children[child], *found);
  }
}

TEST(ConnectionSource, AProcessThatIsNotListedIsNotFound) {
  ConnectFromChild();
  ConnectionSource other(loop, [] { return std::vector<pid_t>(); });
  CHECK_FALSE(other.ProcessOf(Endpoint(), ports[0]).has_value());
}
