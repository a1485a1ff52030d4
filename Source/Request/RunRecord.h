#pragma once
/// \file
/// What is known of whether a request has run. The code is free of I/O.

namespace samphireshunt {

class RunRecord {
public:
  /// A byte of the request may reach a server from now on.
  void sent() { ++Sends_; }
  /// The server has answered the last send: it did not run the request.
  void refused() { ++Refusals_; }
  int sends() const { return Sends_; }
  int refusals() const { return Refusals_; }
  /// \returns whether any send was not refused by its server, so that no answer
  /// may promise that the request has not run.
  bool mayHaveRun() const { return Sends_ > Refusals_; }

private:
  int Sends_ = 0;
  int Refusals_ = 0;
};

} // namespace samphireshunt
