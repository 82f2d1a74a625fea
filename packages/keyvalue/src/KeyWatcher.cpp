#include "tanagerlanding/keyvalue/KeyWatcher.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Delay before a failed call is retried. Short compared with the seconds
/// within which changes must take effect, long enough for the service's rate
/// limits.
constexpr Milliseconds RetryDelay{200};
/// A query that is to be answered at once.
constexpr Milliseconds ConfirmationWait{1};

} // namespace

KeyWatcher::KeyWatcher(EventLoop &Loop, KeyValueClient &Service,
                       Options Settings, Listener &Callbacks)
    : Loop(Loop), Service(Service), Settings(std::move(Settings)),
      Callbacks(Callbacks), DelayTimer(Loop.context()) {}

void KeyWatcher::start() {
  this->IsReading = true;
  this->PendingItems.clear();
  this->startQuery();
  this->readPage({});
}

KeyWatcher::Query KeyWatcher::makeQuery() const {
  // Taken before the call is sent, since the service may read its state at any
  // time from then on.
  return Query{this->Loop.now(), this->NewestRevision};
}

void KeyWatcher::startQuery() {
  this->Present = this->makeQuery();
  this->Callbacks.onQueryStarted();
}

bool KeyWatcher::confirmContent(const Query &Asked, Revision AnsweredAs) {
  if (AnsweredAs < Asked.Known)
    return false;
  this->NewestRevision = std::max(this->NewestRevision, AnsweredAs);
  this->Callbacks.onContentConfirmed(Asked.AskedAt);
  return true;
}

void KeyWatcher::confirmNow() {
  // Until a read has ended, AsOf is ahead of what has been delivered.
  if (this->IsReading) {
    this->failConfirmation();
    return;
  }
  const WatchRange Operation{this->Settings.Prefix, this->AsOf,
                             ConfirmationWait};
  this->Service.call(Operation, [this, Asked = this->makeQuery()](auto Reply) {
    const auto *Page = Reply ? std::get_if<WatchPage>(&Reply.value()) : nullptr;
    // A lost history is left to the watch, which then reads all keys.
    if (!Page || Page->IsHistoryLost || this->IsReading) {
      this->failConfirmation();
      return;
    }
    this->applyChanges(Page->Changes);
    if (!this->confirmContent(Asked, Page->AsOf))
      this->failConfirmation();
  });
}

void KeyWatcher::failConfirmation() {
  this->Loop.post([this] { this->Callbacks.onConfirmationFailed(); });
}

void KeyWatcher::readPage(std::string After) {
  const bool IsFirst = After.empty();
  this->Service.call(ReadRange{this->Settings.Prefix, std::move(After)},
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
                         this->PendingItems[Each.Key] = std::move(Each);
                       }
                       if (Page.HasMore && !Last.empty())
                         this->readPage(Last);
                       else
                         this->finishReading();
                     });
}

void KeyWatcher::finishReading() {
  std::vector<KeyChange> Changes;
  for (const auto &[Key, Last] : this->KnownKeys) {
    if (this->PendingItems.count(Key) == 0 && !Last.IsDeleted &&
        !(this->AsOf < Last.ModRevision))
      Changes.push_back(KeyChange{KeyValue{Key, {}, this->AsOf}, true});
  }
  for (auto &[Key, Item] : this->PendingItems)
    Changes.push_back(KeyChange{std::move(Item), false});
  this->PendingItems.clear();
  // The items just read are not outdated, so they must not be compared with
  // AsOf.
  this->HasCompletedRead = false;
  this->applyChanges(Changes);
  this->HasCompletedRead = true;
  this->IsReading = false;
  this->evictDeleted();
  this->markReachable();
  this->confirmContent(this->Present, this->AsOf);
  this->watch();
}

void KeyWatcher::watch() {
  this->startQuery();
  this->Service.call(WatchRange{this->Settings.Prefix, this->AsOf,
                                this->Settings.WatchTimeout},
                     [this](auto Reply) {
                       if (!Reply) {
                         this->handleFailure();
                         return;
                       }
                       const auto &Page = std::get<WatchPage>(Reply.value());
                       if (Page.IsHistoryLost) {
                         this->Callbacks.onHistoryLost();
                         this->start();
                         return;
                       }
                       this->applyChanges(Page.Changes);
                       if (this->AsOf < Page.AsOf)
                         this->AsOf = Page.AsOf;
                       this->evictDeleted();
                       this->markReachable();
                       this->confirmContent(this->Present, Page.AsOf);
                       this->scheduleWatch();
                     });
}

void KeyWatcher::scheduleWatch() {
  if (this->WatchDelay <= Milliseconds(0)) {
    this->watch();
    return;
  }
  this->DelayTimer.expires_after(this->WatchDelay);
  this->DelayTimer.async_wait([this](const auto &Error) {
    if (!Error)
      this->watch();
  });
}

bool KeyWatcher::isNewer(const KeyChange &Change) const {
  const auto Last = this->KnownKeys.find(Change.Item.Key);
  if (Last != this->KnownKeys.end())
    return Last->second.ModRevision < Change.Item.ModRevision;
  // The watch has passed this revision without reporting the key, so the
  // change is outdated.
  return !Change.IsDeleted &&
         (!this->HasCompletedRead || this->AsOf < Change.Item.ModRevision);
}

void KeyWatcher::applyChanges(const std::vector<KeyChange> &Changes) {
  std::vector<KeyChange> Fresh;
  for (const KeyChange &Each : Changes) {
    this->NewestRevision =
        std::max(this->NewestRevision, Each.Item.ModRevision);
    if (!this->isNewer(Each)) {
      if (this->isOvertaken(Each))
        this->Callbacks.onOutdatedChange(Each);
      continue;
    }
    this->KnownKeys[Each.Item.Key] =
        KnownKey{Each.Item.ModRevision, Each.IsDeleted};
    Fresh.push_back(Each);
  }
  if (!Fresh.empty())
    this->Callbacks.onKeysChanged(Fresh);
}

bool KeyWatcher::isOvertaken(const KeyChange &Change) const {
  const auto Last = this->KnownKeys.find(Change.Item.Key);
  return !Change.IsDeleted && Last != this->KnownKeys.end() &&
         Change.Item.ModRevision < Last->second.ModRevision;
}

void KeyWatcher::evictDeleted() {
  for (auto Each = this->KnownKeys.begin(); Each != this->KnownKeys.end();) {
    const bool IsPassed =
        Each->second.IsDeleted && !(this->AsOf < Each->second.ModRevision);
    Each = IsPassed ? this->KnownKeys.erase(Each) : std::next(Each);
  }
}

void KeyWatcher::handleFailure() {
  if (this->IsReachable) {
    this->IsReachable = false;
    this->Callbacks.onServiceUnavailable();
  }
  this->DelayTimer.expires_after(RetryDelay);
  this->DelayTimer.async_wait([this](const auto &Error) {
    if (Error)
      return;
    if (this->IsReading)
      this->start();
    else
      this->watch();
  });
}

void KeyWatcher::markReachable() {
  if (this->IsReachable)
    return;
  this->IsReachable = true;
  this->Callbacks.onServiceAvailable();
}

} // namespace tanagerlanding
