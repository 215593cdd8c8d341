#include "tests/soak/connection_source.h"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include <array>
#include <charconv>
#include <cstring>
#include <filesystem>
#include <string>
#include <string_view>
#include <system_error>

namespace runshelf::soak {
namespace {

constexpr size_t kAnswerBytes = 8192;

// The two ends of a connection, as the accepting side sees them.
struct Ends {
  sockaddr_in local{};
  sockaddr_in peer{};
};

// Visits the handles of a loop; they are listed in the order in which they were made.
struct Search {
  sockaddr_in listener{};
  std::optional<Ends> latest;

  static void Visit(uv_handle_t* handle, void* argument) {
    auto* search = static_cast<Search*>(argument);
    if (handle->type != UV_TCP || uv_is_closing(handle) != 0) return;
    const auto* tcp = reinterpret_cast<const uv_tcp_t*>(handle);
    Ends ends;
    int length = sizeof ends.local;
    if (uv_tcp_getsockname(tcp, reinterpret_cast<sockaddr*>(&ends.local), &length) != 0) return;
    const bool here = ends.local.sin_port == search->listener.sin_port &&
                      ends.local.sin_addr.s_addr == search->listener.sin_addr.s_addr;
    length = sizeof ends.peer;
    if (!here || uv_tcp_getpeername(tcp, reinterpret_cast<sockaddr*>(&ends.peer), &length) != 0) {
      return;
    }
    search->latest = ends;
  }
};

// Asks the kernel for one socket by its two ends; returns its inode.
std::optional<uint32_t> InodeOf(const sockaddr_in& local, const sockaddr_in& peer) {
  const int descriptor = socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (descriptor < 0) return std::nullopt;
  struct {
    nlmsghdr header{};
    inet_diag_req_v2 body{};
  } request;
  request.header.nlmsg_len = sizeof request;
  request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header.nlmsg_flags = NLM_F_REQUEST;
  request.body.sdiag_family = AF_INET;
  request.body.sdiag_protocol = IPPROTO_TCP;
  request.body.idiag_states = UINT32_MAX;
  request.body.id.idiag_sport = local.sin_port;
  request.body.id.idiag_dport = peer.sin_port;
  request.body.id.idiag_src[0] = local.sin_addr.s_addr;
  request.body.id.idiag_dst[0] = peer.sin_addr.s_addr;
  request.body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  request.body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  alignas(nlmsghdr) std::array<char, kAnswerBytes> answer{};
  const bool sent = send(descriptor, &request, sizeof request, 0) == sizeof request;
  const ssize_t length = sent ? recv(descriptor, answer.data(), answer.size(), 0) : -1;
  close(descriptor);
  nlmsghdr header{};
  inet_diag_msg message{};
  constexpr size_t kBodyAt = NLMSG_HDRLEN;
  if (length < static_cast<ssize_t>(kBodyAt + sizeof message)) return std::nullopt;
  std::memcpy(&header, answer.data(), sizeof header);
  if (header.nlmsg_type != SOCK_DIAG_BY_FAMILY) return std::nullopt;
  std::memcpy(&message, answer.data() + kBodyAt, sizeof message);
  return message.idiag_inode;
}

bool HasSocket(pid_t process, uint32_t inode) {
  const std::string wanted = "socket:[" + std::to_string(inode) + "]";
  std::error_code error;
  const std::filesystem::directory_iterator files("/proc/" + std::to_string(process) + "/fd",
                                                  error);
  if (error) return false;  // It has ended.
  for (const auto& file : files) {
    std::error_code gone;
    if (std::filesystem::read_symlink(file.path(), gone) == wanted) return true;
  }
  return false;
}

}  // namespace

std::optional<pid_t> ConnectionSource::ProcessOfLatest(const event::Endpoint& listener,
                                                       const std::vector<pid_t>& processes) {
  Search search;
  if (uv_ip4_addr(listener.ip.c_str(), listener.port, &search.listener) != 0) return std::nullopt;
  uv_walk(loop_.raw(), &Search::Visit, &search);
  if (!search.latest.has_value()) return std::nullopt;
  const auto inode = InodeOf(search.latest->peer, search.latest->local);
  if (!inode.has_value()) return std::nullopt;
  for (const pid_t process : processes) {
    if (HasSocket(process, *inode)) return process;
  }
  return std::nullopt;
}

}  // namespace runshelf::soak
