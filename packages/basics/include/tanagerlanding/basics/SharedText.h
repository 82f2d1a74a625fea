/// \file
/// Immutable text that its copies share.
#ifndef TANAGERLANDING_BASICS_SHAREDTEXT_H
#define TANAGERLANDING_BASICS_SHAREDTEXT_H

#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace tanagerlanding {

/// Text of any length that is not changed any more. A copy shares the memory of
/// the original, so that a body is held once by all parts that need it. May be
/// copied and read on any thread.
class SharedText {
public:
  SharedText() = default;
  SharedText(std::string Text)
      : Value(Text.empty()
                  ? nullptr
                  : std::make_shared<const std::string>(std::move(Text))) {}
  SharedText(std::string_view Text) : SharedText(std::string(Text)) {}
  SharedText(const char *Text) : SharedText(std::string(Text)) {}

  const std::string &text() const {
    static const std::string Empty;
    return this->Value ? *this->Value : Empty;
  }
  operator std::string_view() const { return this->text(); }

  std::size_t size() const { return this->text().size(); }
  bool empty() const { return this->text().empty(); }

  friend bool operator==(const SharedText &Left, std::string_view Right) {
    return Left.text() == Right;
  }
  friend bool operator!=(const SharedText &Left, std::string_view Right) {
    return Left.text() != Right;
  }
  friend std::ostream &operator<<(std::ostream &Stream,
                                  const SharedText &Each) {
    return Stream << Each.text();
  }

private:
  std::shared_ptr<const std::string> Value;
};

} // namespace tanagerlanding

#endif
