// HTTP/1.1 for the registry client: formats GET requests and parses responses incrementally (RFC
// 9112). A body may be chunked, have a Content-Length, or extend to the end of the connection.
// Pure: no sockets.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur::http {

// Returns a GET request with its final empty line. `target` and `host` are inserted without
// escaping.
std::string formatGet(std::string_view target, std::string_view host);

// Parses one response from pieces of input of any size. Interim responses (1xx) are skipped.
class Response {
 public:
  // Parses the next bytes and appends the body data among them to `body`. Returns false if the
  // response is malformed or unsupported, a line exceeds 8 KiB, or bytes follow the end of the
  // body; the connection must then be closed.
  bool feed(std::string_view bytes, std::string& body);
  int status() const { return status_; }  // 0 until the status line has been parsed
  // The value of Retry-After, if it is a number of seconds; dates are ignored.
  std::optional<std::chrono::seconds> retryAfter() const { return retryAfter_; }
  bool complete() const { return state_ == State::Complete; }  // the whole body has been parsed

 private:
  enum class State {
    StatusLine,
    HeaderLine,
    ChunkSize,
    ChunkData,
    ChunkEnd,
    Trailer,
    SizedBody,       // with a Content-Length
    BodyUntilClose,  // neither chunked nor with a Content-Length: ends when the connection closes
    Complete
  };
  // Each returns false if the line is malformed. Lines are passed without their line break.
  bool parseLine(std::string_view line);
  bool parseStatusLine(std::string_view line);
  bool parseHeaderLine(std::string_view line);
  bool parseChunkSize(std::string_view line);
  void endHeaders();

  bool inBody() const;
  // Returns the number of bytes consumed.
  std::size_t appendBody(std::string_view bytes, std::string& body);

  State state_ = State::StatusLine;
  std::string line_;  // the part of the current line received so far
  int status_ = 0;
  std::optional<std::chrono::seconds> retryAfter_;
  bool chunked_ = false;
  bool hasLength_ = false;     // a Content-Length header was received
  std::size_t bytesLeft_ = 0;  // of the current chunk, or of a body with a Content-Length
};

}  // namespace sablespur::http
