#include "lab/crowd.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>

#include "protocol/postgres/messages.hpp"

namespace sablespur::lab {
namespace {

// An answer is accepted for this long after the deadline.
constexpr Time kDeadlineSlack = std::chrono::milliseconds(70);
constexpr std::int64_t kReturnWindowUs = 100000;

}  // namespace

struct Crowd::Client {
  Client(Crowd& o, std::uint32_t from, int fd)
      : owner(o), address(from), timer(o.c_, [this] { onTimeout(); }) {
    bev.reset(bufferevent_socket_new(o.c_.loop.get(), fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        bev.get(), [](bufferevent*, void* self) { static_cast<Client*>(self)->read(); }, nullptr,
        [](bufferevent*, short what, void* self) {
          auto& client = *static_cast<Client*>(self);
          if (what & BEV_EVENT_CONNECTED) client.connected = true;
          if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) client.onClosed();
        },
        this);
    if (o.s_.mode != "silent") put(bev.get(), postgres::startup("api", "ledger"));
    bufferevent_enable(bev.get(), o.s_.mode == "mute" ? EV_WRITE : EV_READ | EV_WRITE);
    if (o.s_.mode == "mute") ask();
    bufferevent_socket_connect(bev.get(), reinterpret_cast<const sockaddr*>(&o.target_), sizeof o.target_);
    if (!asked) timer.in(o.s_.stay);
  }

  void ask() {
    const auto reads = std::find_if(owner.classes_.begin(), owner.classes_.end(),
                                    [](const ClassModel& m) { return !m.write; });
    cls = &*reads;
    id = owner.prefix_ + std::to_string(++owner.lastId_);
    const int group = std::uniform_int_distribution<int>(1, std::max(owner.s_.groups, 1))(owner.c_.random);
    at = owner.c_.now();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(cls->giveUp).count();
    put(bev.get(),
        postgres::query("SELECT blob FROM rows WHERE handle = 'crowd' /* id=" + id + ",c=" + cls->name +
                        ",d=" + std::to_string(ms) + ",cluster=" + std::to_string(group) + " */"));
    asked = true;
    ++owner.outstanding_;
    owner.audit_.request(at, id);
    timer.in(cls->giveUp + kDeadlineSlack);
  }
  void answer(Result got) {
    if (!asked || answered) return;
    answered = true;
    --owner.outstanding_;
    const Time latency = owner.c_.now() - at;
    const bool inTime = got == Result::Served && latency <= cls->aim;
    // The requests of a crowd do not count towards the worth that is served.
    owner.audit_.answer(owner.c_.now(), id, got, value, latency, inTime, 0, 0);
    owner.n_.served += got == Result::Served;
    owner.n_.turnedAway += got == Result::Refused;
  }
  // Closes the connection after its stay, or when the request has no answer in time.
  void onTimeout() {
    if (asked && !answered) answer(Result::Unanswered);
    owner.remove(*this);
  }
  void onClosed() {
    if (refused) {
      owner.reconnects_.emplace(owner.c_.now() + retryAfter, address);
      owner.reconnectTimer_.in(owner.reconnects_.begin()->first - owner.c_.now());
    } else if (!connected) {
      ++owner.n_.failed;
    } else if (!in) {
      ++owner.n_.cut;
    }
    answer(Result::Failed);
    owner.remove(*this);
  }
  void read() {
    evbuffer* const from = bufferevent_get_input(bev.get());
    for (;;) {
      char bytes[postgres::kHeaderSize];
      if (evbuffer_copyout(from, bytes, sizeof bytes) < static_cast<ev_ssize_t>(sizeof bytes)) return;
      const auto head = postgres::parseHeader(bytes);
      if (!head) return onClosed();
      const std::size_t whole = sizeof bytes + head->bodySize;
      if (evbuffer_get_length(from) < whole) return;
      const auto* const first =
          reinterpret_cast<const char*>(evbuffer_pullup(from, static_cast<ev_ssize_t>(whole)));
      handleMessage(head->type, {first + sizeof bytes, head->bodySize});
      evbuffer_drain(from, whole);
      if (head->type != 'Z') continue;
      if (!in) {
        in = true;
        ++owner.n_.in;
        if (owner.s_.mode == "ask" && owner.running_) ask();
      } else if (asked && !answered) {
        answer(served ? Result::Served : turnedAway ? Result::Refused : Result::Failed);
        timer.in(owner.s_.stay);
      }
    }
  }
  void handleMessage(char type, std::string_view body) {
    if (type == 'D') {
      served = true;
      if (const auto v = postgres::parseColumn(body)) value = std::string(*v);
    }
    if (type != 'E') return;
    const bool full = postgres::parseError(body).code == "53300";
    turnedAway = full;
    if (in || !full) return;
    refused = true;
    ++owner.n_.refused;
    const std::size_t d = body.find(std::string("\0D", 2));
    if (d != std::string_view::npos) retryAfter = std::chrono::milliseconds(std::atoi(body.data() + d + 2));
  }

  Crowd& owner;
  const std::uint32_t address;
  Timer timer;
  BufferEventPtr bev;
  std::string id, value;
  const ClassModel* cls = nullptr;
  Time at{}, retryAfter{};
  bool connected = false, in = false, refused = false, asked = false, answered = false, served = false,
       turnedAway = false;
};

Crowd::Crowd(Context& c, Audit& audit, const std::vector<ClassModel>& classes, const CrowdSettings& s,
             const std::string& prefix)
    : c_(c),
      audit_(audit),
      classes_(classes),
      s_(s),
      prefix_(prefix),
      arrivalTimer_(c, [this] { arrive(); }),
      reconnectTimer_(c, [this] { reconnectDue(); }) {}
Crowd::~Crowd() = default;

void Crowd::start() {
  running_ = true;
  started_ = c_.now();
  nextArrival_ = started_ + s_.from;
  arrivalTimer_.in(s_.from);
}
void Crowd::stop() {
  running_ = false;
  reconnects_.clear();
  arrivalTimer_.stop();
}

void Crowd::arrive() {
  const Time now = c_.now();
  for (; running_ && nextArrival_ <= now && nextArrival_ < started_ + s_.until;
       nextArrival_ += Time(static_cast<std::int64_t>(1e6 / s_.rate))) {
    connect(addressNumber(s_.address) + std::uniform_int_distribution<std::uint32_t>(
                                            0, static_cast<std::uint32_t>(s_.addresses) - 1)(c_.random));
  }
  if (running_ && nextArrival_ < started_ + s_.until) arrivalTimer_.in(nextArrival_ - now);
}

void Crowd::connect(std::uint32_t address) {
  const int fd = socketFrom(address);
  if (fd < 0) {
    ++n_.failed;
    return;
  }
  ++n_.opened;
  auto client = std::make_unique<Client>(*this, address, fd);
  Client* const key = client.get();
  clients_.emplace(key, std::move(client));
}

// Reconnects rejected clients at the time that the proxy asked for, not earlier.
void Crowd::reconnectDue() {
  const Time now = c_.now();
  while (!reconnects_.empty() && reconnects_.begin()->first <= now) {
    const auto [due, address] = *reconnects_.begin();
    reconnects_.erase(reconnects_.begin());
    if (!running_ || !s_.returns) continue;
    ++n_.returned;
    n_.early += now < due;
    n_.peakReturns = std::max(n_.peakReturns, ++returnsByWindow_[now.count() / kReturnWindowUs]);
    connect(address);
  }
  if (!reconnects_.empty()) reconnectTimer_.in(reconnects_.begin()->first - now);
}

void Crowd::remove(Client& client) { clients_.erase(&client); }

}  // namespace sablespur::lab
