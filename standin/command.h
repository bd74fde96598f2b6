// Command-line entry point of catkinford-standin.
#ifndef CATKINFORD_STANDIN_COMMAND_H_
#define CATKINFORD_STANDIN_COMMAND_H_

namespace catkinford {

// `catkinford-standin endpoint|store|instances [--flag value ...]`: prints "ready PORT" and serves
// until SIGTERM or SIGINT. Returns the exit code: 0 on success, 2 for invalid arguments, 3 when the
// port is in use.
int RunStandin(int argc, char** argv);

}  // namespace catkinford

#endif  // CATKINFORD_STANDIN_COMMAND_H_
