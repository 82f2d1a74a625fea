#include "Mailbox.h"

#include <sys/timerfd.h>
#include <unistd.h>

namespace tanagerlanding {

namespace {

void closeIfOpen(int Descriptor) {
  if (Descriptor >= 0)
    ::close(Descriptor);
}

} // namespace

Mailbox::~Mailbox() {
  closeIfOpen(this->Current);
  closeIfOpen(this->Retired);
}

int Mailbox::replaceDescriptor() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  closeIfOpen(this->Retired);
  this->Retired = this->Current;
  this->IsWakePending = false;
  this->Current = ::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  return this->Current;
}

void Mailbox::post(Delivery Item) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Items.push_back(std::move(Item));
  // Setting an expired timer again resets its expiry for a moment. The owner
  // could then find nothing to read and would not be notified a second time.
  if (!this->IsWakePending)
    this->wake();
}

std::deque<Delivery> Mailbox::takeAll() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  std::deque<Delivery> AllItems;
  AllItems.swap(this->Items);
  return AllItems;
}

void Mailbox::wakeIfPending() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  if (!this->Items.empty())
    this->wake();
}

void Mailbox::wake() {
  this->IsWakePending = true;
  itimerspec Expiry{};
  Expiry.it_value.tv_nsec = 1;
  ::timerfd_settime(this->Current, 0, &Expiry, nullptr);
}

} // namespace tanagerlanding
