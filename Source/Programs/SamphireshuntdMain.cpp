/// \file
/// The samphireshuntd program, for the product's own platform.

#include "Programs/DaemonMain.h"

int main(int ArgumentCount, char **Arguments) {
  return samphireshunt::daemonMain(ArgumentCount, Arguments, {});
}
