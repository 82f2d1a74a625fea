#include "tanagerlanding/keyvalue/KeyWatcher.h"

namespace tanagerlanding {

namespace {

/// Delay before a failed call is retried. Short compared with the seconds
/// within which changes must take effect, long enough for the service's rate
/// limits.
constexpr Milliseconds RetryPause{200};

} // namespace

KeyWatcher::KeyWatcher(EventLoop &Loop, KeyValueClient &Service, Options Wanted,
                       Listener &Heard)
    : Service(Service), Wanted(std::move(Wanted)), Heard(Heard),
      Pause(Loop.context()) {}

void KeyWatcher::start() {
  this->Reading.clear();
  this->readPage({});
}

void KeyWatcher::readPage(std::string After) {
  const bool IsFirst = After.empty();
  this->Service.call(ReadRange{this->Wanted.Prefix, std::move(After)},
                     [this, IsFirst](auto Reply) {
                       if (!Reply) {
                         this->handleFailure();
                         return;
                       }
                       auto &Page = std::get<RangePage>(Reply.value());
                       // The pages are not a consistent snapshot. The watch
                       // starts at the first page's revision, so it reports
                       // all changes made while the pages were read.
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
  for (const auto &[Key, Last] : this->Known) {
    if (this->Reading.count(Key) == 0 && !Last.IsDeleted &&
        !(this->AsOf < Last.At))
      Changes.push_back(KeyChange{KeyValue{Key, {}, this->AsOf}, true});
  }
  for (auto &[Key, Item] : this->Reading)
    Changes.push_back(KeyChange{std::move(Item), false});
  this->Reading.clear();
  // The items just read are not outdated, so they must not be compared with
  // AsOf.
  this->HasRead = false;
  this->offer(Changes);
  this->HasRead = true;
  this->forgetDeleted();
  this->markReachable();
  this->watch();
}

void KeyWatcher::watch() {
  this->Service.call(
      WatchRange{this->Wanted.Prefix, this->AsOf, this->Wanted.Wait},
      [this](auto Reply) {
        if (!Reply) {
          this->handleFailure();
          return;
        }
        const auto &Page = std::get<WatchPage>(Reply.value());
        if (Page.IsHistoryLost) {
          this->start();
          return;
        }
        this->offer(Page.Changes);
        if (this->AsOf < Page.AsOf)
          this->AsOf = Page.AsOf;
        this->forgetDeleted();
        this->markReachable();
        this->watchAfterPause();
      });
}

void KeyWatcher::watchAfterPause() {
  if (this->BetweenWatches <= Milliseconds(0)) {
    this->watch();
    return;
  }
  this->Pause.expires_after(this->BetweenWatches);
  this->Pause.async_wait([this](const auto &Error) {
    if (!Error)
      this->watch();
  });
}

bool KeyWatcher::isNews(const KeyChange &Change) const {
  const auto Last = this->Known.find(Change.Item.Key);
  if (Last != this->Known.end())
    return Last->second.At < Change.Item.ModRevision;
  // The watch has passed this revision without reporting the key, so the
  // change is outdated.
  return !Change.IsDeleted &&
         (!this->HasRead || this->AsOf < Change.Item.ModRevision);
}

void KeyWatcher::offer(const std::vector<KeyChange> &Changes) {
  std::vector<KeyChange> Fresh;
  for (const KeyChange &Each : Changes) {
    if (!this->isNews(Each))
      continue;
    this->Known[Each.Item.Key] = Seen{Each.Item.ModRevision, Each.IsDeleted};
    Fresh.push_back(Each);
  }
  if (!Fresh.empty())
    this->Heard.onKeysChanged(Fresh);
}

void KeyWatcher::forgetDeleted() {
  for (auto Each = this->Known.begin(); Each != this->Known.end();) {
    const bool IsPassed =
        Each->second.IsDeleted && !(this->AsOf < Each->second.At);
    Each = IsPassed ? this->Known.erase(Each) : std::next(Each);
  }
}

void KeyWatcher::handleFailure() {
  if (this->IsReachable) {
    this->IsReachable = false;
    this->Heard.onServiceLost();
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
  this->Heard.onServiceRegained();
}

} // namespace tanagerlanding
