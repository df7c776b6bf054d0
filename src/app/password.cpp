#include "app/password.hpp"

#include <termios.h>
#include <unistd.h>

#include <cstdio>
#include <iostream>

#ifdef SABLESPUR_AUTH
#include "auth/scram.hpp"
#endif
#include "support/fault.hpp"
#include "support/secret.hpp"

namespace sablespur {
namespace {

// Puts the terminal back, whatever happens.
class Silence {
 public:
  Silence() : terminal_(isatty(0) != 0 && tcgetattr(0, &before_) == 0) {
    if (!terminal_) return;
    termios quiet = before_;
    quiet.c_lflag &= ~static_cast<tcflag_t>(ECHO);
    tcsetattr(0, TCSAFLUSH, &quiet);
    std::fputs("password: ", stderr);
  }
  ~Silence() {
    if (!terminal_) return;
    tcsetattr(0, TCSAFLUSH, &before_);
    std::fputs("\n", stderr);
  }
  Silence(const Silence&) = delete;

 private:
  termios before_{};
  const bool terminal_;
};

}  // namespace

int makePassword([[maybe_unused]] const PasswordOptions& o) {
  std::string password;
  {
    const Silence silence;
    std::getline(std::cin, password);
  }
  if (password.empty() || o.user.empty() || o.user.find(':') != std::string::npos) {
    std::fputs("sablespur: a name without a colon and a password are wanted\n", stderr);
    return 2;
  }
#ifdef SABLESPUR_AUTH
  const std::string secret = o.md5 ? auth::md5Stored(o.user, password)
                                   : auth::makeVerifier(password, randomBytes(16), o.iterations).text();
  std::printf("%s:%s\n", o.user.c_str(), secret.c_str());
  return 0;
#else
  std::fputs("sablespur: this build has no logins with passwords (SABLESPUR_AUTH)\n", stderr);
  return 1;
#endif
}

}  // namespace sablespur
