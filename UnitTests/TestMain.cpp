#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <spdlog/spdlog.h>

int main(int ArgumentCount, char **Arguments) {
  spdlog::set_level(spdlog::level::off);
  doctest::Context Context(ArgumentCount, Arguments);
  return Context.run();
}
