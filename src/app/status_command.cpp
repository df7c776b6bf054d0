#include "app/status_command.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <stdexcept>
#include <string>

#include "app/local_socket.hpp"
#include "app/status_table.hpp"

namespace sablespur {
namespace {

constexpr timeval kReadTimeout{5, 0};
constexpr std::size_t kMaxDocumentSize = std::size_t{16} << 20;
constexpr std::size_t kReadSize = 8192;

// Owns a file descriptor.
class Descriptor {
 public:
  explicit Descriptor(int number) : number_(number) {}
  ~Descriptor() {
    if (number_ >= 0) close(number_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return number_; }

 private:
  const int number_;
};

std::string readDocument(const std::string& path) {
  const sockaddr_un address = localSocketAddress(path);
  const Descriptor client(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  setsockopt(client.get(), SOL_SOCKET, SO_RCVTIMEO, &kReadTimeout, sizeof kReadTimeout);
  if (client.get() < 0 || connect(client.get(), asSocketAddress(address), sizeof address) != 0) {
    const std::string reason = std::strerror(errno);
    throw std::runtime_error("status: " + path + ": " + reason + "; is the proxy running?");
  }
  std::string document;
  std::array<char, kReadSize> bytes{};
  while (document.size() < kMaxDocumentSize) {
    const ssize_t count = read(client.get(), bytes.data(), bytes.size());
    if (count < 0) throw std::runtime_error("status: " + path + ": no complete response within 5 s");
    if (count == 0) break;
    document.append(bytes.data(), static_cast<std::size_t>(count));
  }
  return document;
}

}  // namespace

int showStatus(const Config& config, const StatusOptions& options) {
  if (config.statusSocket.empty())
    throw std::runtime_error("key [status] socket: it is missing; add socket = PATH and restart the proxy");
  const std::string document = readDocument(config.statusSocket);
  std::fputs((options.json ? document : statusTable(document)).c_str(), stdout);
  return 0;
}

}  // namespace sablespur
