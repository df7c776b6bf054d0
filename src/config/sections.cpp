// The section types of the INI format, in the order of the operators' page.
#include <iterator>

#include "config/keys.hpp"

namespace sablespur {
namespace {

constexpr SectionInfo kSections[] = {
    {"proxy", false,
     "This proxy: its name, its listen address, and the number of proxies that share the data servers."},
    {"limits", false,
     "Resource limits of the process. The limits on clients, on connections to data servers and on the "
     "memory for long statements are derived from them."},
    {"log", false, "The log, which is written to standard error."},
    {"discovery", false, "Where the list of data servers comes from."},
    {"dnssd", false,
     "With `source = dnssd`: which service records are queried, from which name servers, and how often. "
     "SIGHUP applies new values without a restart."},
    {"data_servers", false, "Capabilities and behaviour of the data servers of this installation."},
    {"clients", false, "Capabilities of the clients of this installation, and how they log in."},
    {"admission", false,
     "Admission control: which clients and which requests are admitted. Off unless `door = yes`. SIGHUP "
     "applies new values without a restart."},
    {"admission_group", true,
     "Clients that admission control distinguishes, by network or by user. Clients in no group belong to "
     "`others`, which may have a section too."},
    {"store", false,
     "Persistent state that survives a crash: keyed writes with their outcomes, and the positions of "
     "sessions. Off unless `directory` is set. Read only at the start."},
    {"peers", false,
     "Gossip between the proxies of this tier, in datagrams of at most 256 bytes. They are not signed: use "
     "gossip only where nobody else can send from these addresses."},
    {"peer", true,
     "A proxy of this tier, under any name, this one included; the sections must be the same on every proxy. "
     "Datagrams from other addresses are ignored."},
    {"recovery", false,
     "Recovery after a start: which parts of the snapshot are used, and in which order service is restored. "
     "Requires a store. Read only at the start."},
    {"status", false, "The local socket that `sablespur status` queries."},
    {"rules", false, "Parameters of the rules that the proxy follows."},
    {"goal", false, "Weights of the goals when not all requests can be served."},
    {"class", true,
     "A class of requests, identified by the name that statements carry (`c=`). At least one is required."},
    {"group", true, "A name for a replication group: a primary and its replicas."},
    {"member", true,
     "A data server that is known at the start, identified by its instance name. With `source = fixed` only "
     "these are used."},
};

}  // namespace

const std::vector<SectionInfo>& sectionTable() {
  static const std::vector<SectionInfo> table(std::begin(kSections), std::end(kSections));
  return table;
}

}  // namespace sablespur
