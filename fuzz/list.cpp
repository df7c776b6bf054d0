// Parses HTTP responses of the registry, fed in pieces of a size taken from the input, and parses
// each line of the body as an endpoint list.
#include <string>

#include "discovery/endpoint_list.hpp"
#include "fuzz/target.hpp"
#include "protocol/http/http.hpp"

using namespace sablespur;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::size_t step = 1 + data[0];
  const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
  http::Response response;
  std::string body;
  for (std::size_t at = 0; at < text.size(); at += step)
    if (!response.feed(text.substr(at, step), body)) break;
  if (body.empty()) body = std::string(text);  // not HTTP: parse the input itself as lists
  for (std::size_t from = 0, end; from < body.size(); from = end + 1) {
    end = std::min(body.find('\n', from), body.size());
    try {
      parseEndpointList(std::string_view(body).substr(from, end - from));
    } catch (const BadInput&) {
    }
  }
  return 0;
}
