#pragma once
/// \file
/// Builds a JSON value from the parser's events and takes the entries of one
/// list out of it. The library's own parser with a filter scans the whole list
/// after each object in it, so its time is quadratic.

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphireshunt {

/// Builds one value of the type \p Json from events. Of two members of an
/// object with the same name the last one counts.
template <class Json> class JsonBuilder {
public:
  Json &root() { return Root_; }

  void setKey(const std::string &Name) { Member_ = &(*Open_.back())[Name]; }
  void add(Json Value) { place(std::move(Value)); }
  /// Adds the empty array or object \p Value, which is open until close().
  void open(Json Value) { Open_.push_back(&place(std::move(Value))); }
  void close() { Open_.pop_back(); }

private:
  Json &place(Json Value) {
    if (!Open_.empty() && Open_.back()->is_array())
      return Open_.back()->emplace_back(std::move(Value));
    Json &Target = Open_.empty() ? Root_ : *Member_;
    Target = std::move(Value);
    return Target;
  }

  Json Root_;
  /// An open value's container does not change, so the pointers stay valid.
  std::vector<Json *> Open_;
  Json *Member_ = nullptr;
};

/// Receives the parser's events of a text without syntax errors. The entries of
/// the list that is the member of the outermost object are built one by one and
/// passed on. All else is kept.
template <class Json> class ListEvents : public nlohmann::json_sax<Json> {
public:
  using Base = nlohmann::json_sax<Json>;

  /// \p Begin is called at each occurrence of \p Member, \p Entry for each
  /// entry of the list.
  ListEvents(std::string_view Member, std::function<void()> Begin,
             std::function<void(const Json &)> Entry)
      : Wanted_(Member), Begin_(std::move(Begin)), Entry_(std::move(Entry)) {}

  Json takeKept() { return std::move(Kept_.root()); }

  bool null() override { return add(nullptr); }
  bool boolean(bool Given) override { return add(Given); }
  bool number_integer(typename Base::number_integer_t Given) override {
    return add(Given);
  }
  bool number_unsigned(typename Base::number_unsigned_t Given) override {
    return add(Given);
  }
  bool number_float(typename Base::number_float_t Given,
                    const typename Base::string_t &) override {
    return add(Given);
  }
  bool string(typename Base::string_t &Given) override {
    return add(std::move(Given));
  }
  bool binary(typename Base::binary_t &Given) override {
    return add(std::move(Given));
  }
  bool key(typename Base::string_t &Name) override {
    target().setKey(Name);
    if (Depth_ == MemberDepth)
      onMember(Name);
    return true;
  }
  bool start_object(std::size_t) override { return open(Json::object()); }
  bool end_object() override { return close(); }
  bool start_array(std::size_t) override {
    bool Begins = IsWanted_ && Depth_ == MemberDepth;
    open(Json::array());
    InList_ = InList_ || Begins;
    return true;
  }
  bool end_array() override { return close(); }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  static constexpr int MemberDepth = 1;
  static constexpr int EntryDepth = 2;

  JsonBuilder<Json> &target() {
    return InList_ && Depth_ >= EntryDepth ? Item_ : Kept_;
  }

  void onMember(const std::string &Name) {
    IsWanted_ = Name == Wanted_;
    if (IsWanted_)
      Begin_();
  }

  bool add(Json Value) {
    target().add(std::move(Value));
    passEntry();
    return true;
  }

  bool open(Json Value) {
    target().open(std::move(Value));
    ++Depth_;
    return true;
  }

  bool close() {
    InList_ = InList_ && Depth_ > EntryDepth;
    target().close();
    --Depth_;
    passEntry();
    return true;
  }

  void passEntry() {
    if (InList_ && Depth_ == EntryDepth)
      Entry_(Item_.root());
  }

  std::string_view Wanted_;
  std::function<void()> Begin_;
  std::function<void(const Json &)> Entry_;
  JsonBuilder<Json> Kept_;
  /// The present entry of the list.
  JsonBuilder<Json> Item_;
  int Depth_ = 0;
  /// Whether the present member of the outermost object is the wanted one.
  bool IsWanted_ = false;
  bool InList_ = false;
};

} // namespace samphireshunt
