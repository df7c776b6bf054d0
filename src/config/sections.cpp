// The section types of the INI form, in the order of the operators' page.
#include <iterator>

#include "config/keys.hpp"

namespace sablespur {
namespace {

constexpr SectionInfo kSections[] = {
    {"proxy", false, "This proxy: its name, where it listens, who stands beside it."},
    {"limits", false,
     "What the process may hold. The bounds on clients, on connections to data servers and on long "
     "statements follow from it."},
    {"log", false, "The log, on standard error."},
    {"discovery", false, "Where the list of data servers comes from."},
    {"dnssd", false,
     "With `source = dnssd`: which service records, asked of whom and how often. SIGHUP takes new values "
     "while serving."},
    {"data_servers", false, "What the data servers of this installation do and allow."},
    {"clients", false, "What the clients of this installation understand."},
    {"admission", false,
     "The door: which clients are let in, and which requests go on. Off unless `door = yes`. SIGHUP takes "
     "new values while serving."},
    {"admission_group", true,
     "Clients that the door knows apart, by network or by name. Whoever is in none belongs to `others`, "
     "which may have a section too."},
    {"store", false,
     "What outlives a crash: keyed writes and their outcomes, and what sessions have seen. Off unless it has "
     "a directory. Read at the start alone."},
    {"peers", false,
     "Proxies of this tier among themselves, in datagrams of at most 256 bytes. They are not signed: only "
     "where nobody else can send from these addresses."},
    {"peer", true,
     "A proxy of this tier, by any name, this one included; the same at each. Nobody else is believed."},
    {"recovery", false,
     "What is trusted after a start, and in which order service returns. Needs a store. Read at the start "
     "alone."},
    {"status", false, "Where `sablespur status` asks."},
    {"rules", false, "The figures of the rules that the proxy keeps."},
    {"goal", false, "What counts when not all can be served."},
    {"class", true, "A class of requests, by the name that statements carry (`c=`). At least one."},
    {"group", true, "A name for a group: a primary and its replicas."},
    {"member", true,
     "A data server that is known at the start, by its instance name. With `source = fixed` these are all."},
};

}  // namespace

const std::vector<SectionInfo>& sectionTable() {
  static const std::vector<SectionInfo> table(std::begin(kSections), std::end(kSections));
  return table;
}

}  // namespace sablespur
