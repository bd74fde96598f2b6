#include "bench/wire_bytes.h"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/rtnetlink.h>
#include <linux/sock_diag.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <vector>

namespace catkinford {
namespace {

constexpr size_t kBuffer = 1 << 16;

struct diag_request {
  nlmsghdr head;
  inet_diag_req_v2 body;
};

bool Ask(int netlink) {
  diag_request request{};
  request.head.nlmsg_len = sizeof request;
  request.head.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.head.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
  request.body.sdiag_family = AF_INET;
  request.body.sdiag_protocol = IPPROTO_TCP;
  request.body.idiag_ext = 1 << (INET_DIAG_INFO - 1);
  request.body.idiag_states = ~0U;
  return send(netlink, &request, sizeof request, 0) == sizeof request;
}

// Bytes of one socket, from the attributes behind its description.
double BytesOf(const nlmsghdr* head) {
  const auto* message = static_cast<const inet_diag_msg*>(NLMSG_DATA(head));
  auto left = static_cast<int>(head->nlmsg_len - NLMSG_LENGTH(sizeof *message));
  for (const auto* at = reinterpret_cast<const rtattr*>(message + 1); RTA_OK(at, left);
       at = RTA_NEXT(at, left)) {
    if (at->rta_type != INET_DIAG_INFO) continue;
    tcp_info info{};
    std::memcpy(&info, RTA_DATA(at), std::min<size_t>(RTA_PAYLOAD(at), sizeof info));
    return static_cast<double>(info.tcpi_bytes_acked + info.tcpi_bytes_received);
  }
  return 0;
}

}  // namespace

std::map<uint16_t, double> WireBytesByPort() {
  std::map<uint16_t, double> bytes;
  const int netlink = socket(AF_NETLINK, SOCK_RAW, NETLINK_SOCK_DIAG);
  if (netlink < 0) return bytes;
  std::vector<char> buffer(kBuffer);
  bool more = Ask(netlink);
  while (more) {
    auto length = static_cast<int>(recv(netlink, buffer.data(), buffer.size(), 0));
    more = length > 0;
    for (const auto* head = reinterpret_cast<const nlmsghdr*>(buffer.data());
         NLMSG_OK(head, static_cast<unsigned>(length)); head = NLMSG_NEXT(head, length)) {
      if (head->nlmsg_type != SOCK_DIAG_BY_FAMILY) {
        more = false;  // the end, or a refusal
        break;
      }
      const auto* message = static_cast<const inet_diag_msg*>(NLMSG_DATA(head));
      bytes[ntohs(message->id.idiag_sport)] += BytesOf(head);
    }
  }
  close(netlink);
  return bytes;
}

}  // namespace catkinford
