#include "app/password_command.hpp"

#include <termios.h>
#include <unistd.h>

#include <cstdio>
#include <iostream>

#ifdef SABLESPUR_AUTH
#include "auth/scram.hpp"
#endif
#include "support/secret.hpp"

namespace sablespur {
namespace {

constexpr int kUsageError = 2;
#ifdef SABLESPUR_AUTH
constexpr std::size_t kSaltSize = 16;
#endif

// Prompts for the password and disables the terminal's echo until the end of its scope. Has no
// effect if standard input is not a terminal.
class HiddenInput {
 public:
  HiddenInput() : isTerminal_(isatty(STDIN_FILENO) != 0 && tcgetattr(STDIN_FILENO, &before_) == 0) {
    if (!isTerminal_) return;
    termios hidden = before_;
    hidden.c_lflag &= ~static_cast<tcflag_t>(ECHO);
    tcsetattr(STDIN_FILENO, TCSAFLUSH, &hidden);
    std::fputs("password: ", stderr);
  }
  ~HiddenInput() {
    if (!isTerminal_) return;
    tcsetattr(STDIN_FILENO, TCSAFLUSH, &before_);
    std::fputs("\n", stderr);
  }
  HiddenInput(const HiddenInput&) = delete;
  HiddenInput& operator=(const HiddenInput&) = delete;

 private:
  termios before_{};
  const bool isTerminal_;
};

std::string readPassword() {
  const HiddenInput hidden;
  std::string password;
  std::getline(std::cin, password);
  return password;
}

bool isUserName(const std::string& name) { return !name.empty() && name.find(':') == std::string::npos; }

}  // namespace

int makePassword(const PasswordOptions& options) {
  const std::string password = readPassword();
  if (password.empty() || !isUserName(options.user)) {
    std::fputs("sablespur: a user name without a colon and a password are required\n", stderr);
    return kUsageError;
  }
#ifdef SABLESPUR_AUTH
  const std::string secret =
      options.md5 ? auth::md5Stored(options.user, password)
                  : auth::makeVerifier(password, randomBytes(kSaltSize), options.iterations).text();
  std::printf("%s:%s\n", options.user.c_str(), secret.c_str());
  return 0;
#else
  std::fputs("sablespur: this build has no password authentication (SABLESPUR_AUTH)\n", stderr);
  return 1;
#endif
}

}  // namespace sablespur
