#include "tanagerlanding/keyvalue/KeyWatcher.h"

namespace tanagerlanding {

namespace {

/// A waiting watch counts as one call, so that longer ones cost less. The
/// connection's own keep-alive notices a service that falls silent meanwhile.
constexpr Milliseconds WatchWait{15000};
/// Between calls that fail: short against the seconds in which changes must
/// be in force, long against the service's rate limits.
constexpr Milliseconds RetryPause{200};

} // namespace

KeyWatcher::KeyWatcher(EventLoop &Loop, KeyValueClient &Service,
                       std::string Prefix, Listener &Heard)
    : Loop(Loop), Service(Service), Prefix(std::move(Prefix)), Heard(Heard),
      Pause(Loop.context()) {}

void KeyWatcher::start() {
  this->Reading.clear();
  this->readPage({});
}

void KeyWatcher::readPage(std::string After) {
  const bool IsFirst = After.empty();
  this->Service.call(
      ReadRange{this->Prefix, std::move(After)}, [this, IsFirst](auto Reply) {
        if (!Reply) {
          this->handleFailure();
          return;
        }
        auto &Page = std::get<RangePage>(Reply.value());
        // Pages are not a snapshot: what changed while they were read is
        // told again by the watch, which begins at the first page.
        if (IsFirst)
          this->AsOf = Page.AsOf;
        std::string Last;
        for (KeyValue &Each : Page.Items) {
          Last = Each.Key;
          this->Reading[Each.Key] = std::move(Each);
        }
        if (Page.HasMore && !Last.empty())
          this->readPage(Last);
        else
          this->finishReading();
      });
}

void KeyWatcher::finishReading() {
  std::vector<KeyChange> Changes;
  for (const auto &[Key, Seen] : this->Known) {
    if (this->Reading.count(Key) == 0)
      Changes.push_back(KeyChange{KeyValue{Key, {}, Seen}, true});
  }
  for (const KeyChange &Gone : Changes)
    this->Known.erase(Gone.Item.Key);
  for (auto &[Key, Item] : this->Reading) {
    Revision &Seen = this->Known[Key];
    if (Seen == Item.ModRevision)
      continue;
    Seen = Item.ModRevision;
    Changes.push_back(KeyChange{std::move(Item), false});
  }
  this->Reading.clear();
  this->HasRead = true;
  if (!Changes.empty())
    this->Heard.onKeysChanged(this->Prefix, Changes);
  this->markReachable();
  this->watch();
}

void KeyWatcher::watch() {
  this->Service.call(
      WatchRange{this->Prefix, this->AsOf, WatchWait}, [this](auto Reply) {
        if (!Reply) {
          this->handleFailure();
          return;
        }
        const auto &Page = std::get<WatchPage>(Reply.value());
        if (Page.IsHistoryLost) {
          this->start();
          return;
        }
        this->takeChanges(Page);
        this->markReachable();
        this->watch();
      });
}

void KeyWatcher::takeChanges(const WatchPage &Page) {
  std::vector<KeyChange> Fresh;
  for (const KeyChange &Each : Page.Changes) {
    const auto Seen = this->Known.find(Each.Item.Key);
    const bool IsOld = Seen != this->Known.end() &&
                       !(Seen->second < Each.Item.ModRevision);
    if (IsOld || (Each.IsDeleted && Seen == this->Known.end()))
      continue;
    if (Each.IsDeleted)
      this->Known.erase(Each.Item.Key);
    else
      this->Known[Each.Item.Key] = Each.Item.ModRevision;
    Fresh.push_back(Each);
  }
  if (this->AsOf < Page.AsOf)
    this->AsOf = Page.AsOf;
  if (!Fresh.empty())
    this->Heard.onKeysChanged(this->Prefix, Fresh);
}

void KeyWatcher::handleFailure() {
  if (this->IsReachable) {
    this->IsReachable = false;
    this->Heard.onServiceLost(this->Prefix);
  }
  this->Pause.expires_after(RetryPause);
  this->Pause.async_wait([this](const auto &Error) {
    if (Error)
      return;
    if (this->HasRead)
      this->watch();
    else
      this->start();
  });
}

void KeyWatcher::markReachable() {
  if (this->IsReachable)
    return;
  this->IsReachable = true;
  this->Heard.onServiceRegained(this->Prefix);
}

} // namespace tanagerlanding
