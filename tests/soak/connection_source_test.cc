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

// Two processes connect to one listener, one after the other.
TEST_GROUP(ConnectionSource) {
  event::EventLoop loop;
  std::vector<std::unique_ptr<event::TcpStream>> accepted;
  std::vector<pid_t> children;
  event::TcpListener listener{loop, [this](std::unique_ptr<event::TcpStream> stream) {
                                accepted.push_back(std::move(stream));
                              }};

  void setup() override { CHECK_EQUAL(0, listener.Listen({"127.0.0.1", 0})); }
  void teardown() override {
    for (const pid_t child : children) {
      kill(child, SIGKILL);
      waitpid(child, nullptr, 0);
    }
  }

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
  ConnectionSource source(loop);
  const event::Endpoint endpoint{"127.0.0.1", listener.bound_port()};
  CHECK_FALSE(source.ProcessOfLatest(endpoint, children).has_value());
  for (int count = 0; count < 2; ++count) {
    ConnectFromChild();
    const auto found = source.ProcessOfLatest(endpoint, children);
    CHECK(found.has_value());
    CHECK_EQUAL(children.back(), *found);
  }
  CHECK_FALSE(source.ProcessOfLatest(endpoint, {children.front()}).has_value());
}
