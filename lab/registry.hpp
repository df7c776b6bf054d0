// A stand-in HTTP registry: the whole list, or a watch on its changes, as the platform's pages describe. One
// for each proxy, so that each may be told at its own time.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "lab/context.hpp"

namespace sablespur::lab {

class Registry {
 public:
  Registry(Context&, std::function<void(const std::string& name, bool in)> onTold);
  ~Registry();

  int port() const { return port_; }
  // An instance as JSON without its braces; `in`: it may be sent work. Told at once to whoever watches.
  void set(const std::string& name, const std::string& json, bool in);
  void left(const std::string& name);
  void down(bool);  // watches end, new calls get 503

 private:
  class Connection;
  struct Entry {
    std::string json;
    bool in = true, gone = false;
    std::uint64_t generation = 0;
  };
  std::string changes(std::uint64_t after, bool whole);
  void changed();

  Context& c_;
  const std::function<void(const std::string&, bool)> onTold_;
  int port_ = 0;
  bool down_ = false;
  std::uint64_t generation_ = 1;
  std::map<std::string, Entry> entries_;
  std::set<Connection*> connections_;
  ListenerPtr listener_;
};

}  // namespace sablespur::lab
