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

// uv_walk callback; stores the last open TCP handle. A loop lists its handles in order of creation.
void RecordLatestTcpHandle(uv_handle_t* handle, void* latest) {
  if (handle->type == UV_TCP && uv_is_closing(handle) == 0) {
    *static_cast<const uv_tcp_t**>(latest) = reinterpret_cast<const uv_tcp_t*>(handle);
  }
}

// Queries the kernel (sock_diag) for the socket with these two endpoints; returns its inode.
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

// Parses the inode from a link target "socket:[inode]"; nullopt for other files.
std::optional<uint32_t> SocketInode(std::string_view link) {
  constexpr std::string_view kPrefix = "socket:[";
  if (!link.starts_with(kPrefix)) return std::nullopt;
  uint32_t inode = 0;
  const char* first = link.data() + kPrefix.size();
  const auto [end, error] = std::from_chars(first, link.data() + link.size(), inode);
  return error == std::errc() && end != first ? std::optional(inode) : std::nullopt;
}

}  // namespace

uint16_t ConnectionSource::PortOfLatest(const event::Endpoint& listener) const {
  const uv_tcp_t* latest = nullptr;
  uv_walk(loop_.raw(), &RecordLatestTcpHandle, static_cast<void*>(&latest));
  if (latest == nullptr) return 0;
  sockaddr_in local{};
  sockaddr_in peer{};
  int length = sizeof local;
  if (uv_tcp_getsockname(latest, reinterpret_cast<sockaddr*>(&local), &length) != 0) return 0;
  length = sizeof peer;
  if (uv_tcp_getpeername(latest, reinterpret_cast<sockaddr*>(&peer), &length) != 0) return 0;
  return ntohs(local.sin_port) == listener.port ? ntohs(peer.sin_port) : 0;
}

std::optional<pid_t> ConnectionSource::ProcessOf(const event::Endpoint& listener, uint16_t port) {
  sockaddr_in local{};
  sockaddr_in peer{};
  if (uv_ip4_addr(listener.ip.c_str(), listener.port, &local) != 0) return std::nullopt;
  // Nodes do not bind their outgoing sockets, so these have the default loopback address.
  if (uv_ip4_addr("127.0.0.1", port, &peer) != 0) return std::nullopt;
  const auto inode = InodeOf(peer, local);
  if (!inode.has_value()) return std::nullopt;
  if (!owners_.contains(*inode)) ScanProcesses();
  const auto owner = owners_.find(*inode);
  return owner == owners_.end() ? std::nullopt : std::optional(owner->second);
}

void ConnectionSource::ScanProcesses() {
  owners_.clear();
  for (const pid_t process : processes_()) {
    std::error_code error;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(process) + "/fd",
                                                    error);
    if (error) continue;  // The process has exited.
    for (const auto& file : files) {
      std::error_code gone;
      const auto link = std::filesystem::read_symlink(file.path(), gone);
      if (const auto inode = SocketInode(link.native())) owners_[*inode] = process;
    }
  }
}

}  // namespace runshelf::soak
