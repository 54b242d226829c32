#include "hangup.h"

#include <csignal>

namespace Application {

void ignoreHangup() { std::signal(SIGHUP, SIG_IGN); }

} // namespace Application
