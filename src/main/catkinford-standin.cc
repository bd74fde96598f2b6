// Stand-ins for the platform: endpoints, store and list of instances. The code is in standin/.
#include "standin/command.h"

int main(int argc, char** argv) { return catkinford::RunStandin(argc, argv); }
