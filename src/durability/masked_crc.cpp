#include "durability/masked_crc.hpp"

#include <boost/crc.hpp>

namespace sablespur::durability {
namespace {

// leveldb/util/crc32c.h: CRCs are masked before they are stored, because computing the CRC of data
// that contains CRCs is problematic.
constexpr std::uint32_t kMaskDelta = 0xa282ead8u;

}  // namespace

std::uint32_t maskedCrc(std::string_view bytes) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;  // CRC-32C
  crc.process_bytes(bytes.data(), bytes.size());
  const std::uint32_t checksum = crc.checksum();
  return (checksum >> 15 | checksum << 17) + kMaskDelta;
}

}  // namespace sablespur::durability
