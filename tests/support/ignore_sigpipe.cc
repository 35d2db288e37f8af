/* The programs ignore SIGPIPE in loop_on_signals(), so that a write to a
   connection that the other side has closed fails and ends no process. The
   test programs do the same before main(). */

#include <csignal>

namespace {

[[maybe_unused]] const auto previous = signal(SIGPIPE, SIG_IGN);

} // namespace
