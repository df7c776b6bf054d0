// The UDP socket between proxies. Errors of single datagrams do not close it, and it does not
// interpret their contents.
#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "engine/event.hpp"
#include "support/address.hpp"

namespace sablespur {

// The system calls on datagram sockets, which tests can replace (see also SystemCalls and
// FileCalls).
struct DatagramCalls {
  ssize_t (*receive)(int fd, void* bytes, std::size_t size, int flags, sockaddr* from,
                     socklen_t* length) = ::recvfrom;
  ssize_t (*send)(int fd, const void* bytes, std::size_t size, int flags, const sockaddr* to,
                  socklen_t length) = ::sendto;
};
// Returns the calls in use; only tests modify them.
inline DatagramCalls& datagramCalls() {
  static DatagramCalls calls;
  return calls;
}

// Maps the socket addresses of known senders to their indices.
class SenderTable {
 public:
  static constexpr std::size_t kUnknown = static_cast<std::size_t>(-1);
  bool add(const Address&, std::size_t index);  // false if the address is already in the table
  std::size_t find(const sockaddr*) const;      // kUnknown if the address is not in the table

 private:
  struct Key {
    std::uint64_t high = 0, low = 0;  // the address
    std::uint32_t portAndFamily = 0;
    friend bool operator==(const Key& a, const Key& b) {
      return a.high == b.high && a.low == b.low && a.portAndFamily == b.portAndFamily;
    }
  };
  struct Hash {
    std::size_t operator()(const Key&) const;
  };
  static Key keyOf(const sockaddr*);
  std::unordered_map<Key, std::size_t, Hash> indices_;
};

class DatagramSocket {
 public:
  // Called for each datagram from a known sender; the bytes are valid during the call.
  using Receiver = std::function<void(std::size_t sender, std::string_view datagram)>;
  // Binds to `listen`. On failure ready() is false and error() returns the errno. Datagrams may
  // have up to `maxBytes` bytes.
  DatagramSocket(event_base*, const Address& listen, std::size_t maxBytes, Receiver);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  bool ready() const { return readable_ != nullptr; }
  int error() const { return error_; }
  SenderTable& senders() { return senders_; }
  // Sends a datagram, best effort. Returns false if the machine cannot send at the moment, so the
  // caller can skip further datagrams.
  bool send(const Address& to, std::string_view datagram) const;

 private:
  void read();

  int fd_ = -1;
  int error_ = 0;
  Receiver receiver_;
  SenderTable senders_;
  std::vector<char> buffer_;
  Event readable_;
  Event resume_;
};

}  // namespace sablespur
