#pragma once
/// \file
/// What is known of whether a request has run. The code is free of I/O.

namespace samphireshunt {

class RunRecord {
public:
  /// A byte of the request may reach a server from now on.
  void sent() {
    MayHaveRun_ = mayHaveRun();
    Open_ = true;
  }
  /// The server has answered the last send: it did not run the request.
  void refused() { Open_ = false; }
  /// \returns whether any send was not refused by its server, so that no answer
  /// may promise that the request has not run.
  bool mayHaveRun() const { return MayHaveRun_ || Open_; }

private:
  bool MayHaveRun_ = false;
  /// The last send was not refused.
  bool Open_ = false;
};

} // namespace samphireshunt
