#include "Ledger.h"

#include <fcntl.h>
#include <unistd.h>

namespace samphireshunt::standins {

Ledger::Ledger(const std::string &Path, std::string Engine)
    : Engine_(std::move(Engine)) {
  constexpr int Permissions = 0644;
  if (!Path.empty())
    File_ = ::open(Path.c_str(), O_CREAT | O_WRONLY | O_APPEND, Permissions);
}

Ledger::~Ledger() {
  if (File_ >= 0)
    ::close(File_);
}

void Ledger::write(const std::string &Event, const std::string &Request,
                   const std::string &Nonce, nlohmann::json Extra) {
  if (File_ < 0)
    return;
  nlohmann::json Line =
      Extra.is_object() ? std::move(Extra) : nlohmann::json::object();
  Line["event"] = Event;
  Line["engine"] = Engine_;
  Line["request"] = Request;
  Line["nonce"] = Nonce;
  std::string Text = Line.dump() + "\n";
  [[maybe_unused]] auto Written = ::write(File_, Text.data(), Text.size());
}

} // namespace samphireshunt::standins
