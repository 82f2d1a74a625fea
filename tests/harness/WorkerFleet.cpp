#include "WorkerFleet.h"

#include <algorithm>

namespace tanagerlanding::test {

namespace {

constexpr std::chrono::milliseconds SupervisionInterval{10};

} // namespace

WorkerFleet::WorkerFleet(StoreStandin &Store, Options FleetOptions)
    : Store(Store), FleetOptions(std::move(FleetOptions)) {
  this->Members.resize(this->FleetOptions.Count);
  for (Member &Each : this->Members)
    this->startWorker(Each);
  this->Supervisor = std::thread([this] { this->supervise(); });
}

WorkerFleet::~WorkerFleet() {
  this->IsStopping = true;
  this->Supervisor.join();
}

void WorkerFleet::startWorker(Member &Each) {
  Each.Worker = std::make_unique<WorkerStandin>(
      "w-" + std::to_string(this->NextId++), this->FleetOptions.CrashMark);
  Each.Worker->setDelay(this->FleetOptions.Delay);
  Each.IsDown = false;
  this->Store.put("servers/" + Each.Worker->id(),
                  Each.Worker->registration("app"));
}

void WorkerFleet::supervise() {
  while (!this->IsStopping) {
    std::this_thread::sleep_for(SupervisionInterval);
    const std::lock_guard<std::mutex> Guard(this->Lock);
    const auto Now = std::chrono::steady_clock::now();
    for (Member &Each : this->Members) {
      if (!Each.Worker->hasCrashed())
        continue;
      if (!Each.IsDown) {
        Each.IsDown = true;
        Each.CrashedAt = Now;
      }
      if (Now - Each.CrashedAt < this->FleetOptions.RestartDelay)
        continue;
      this->EarlierRuns += this->crashingRunsOf(*Each.Worker);
      this->Store.remove("servers/" + Each.Worker->id());
      this->startWorker(Each);
    }
  }
}

void WorkerFleet::crashOne(std::size_t Number) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Members[Number % this->Members.size()].Worker->crash();
}

std::size_t WorkerFleet::crashingRunsOf(WorkerStandin &Worker) const {
  const std::string &Mark = this->FleetOptions.CrashMark;
  const std::vector<WorkerStandin::Run> Runs = Worker.runs();
  return static_cast<std::size_t>(
      std::count_if(Runs.begin(), Runs.end(), [&](const auto &Each) {
        return Each.Body == Mark || Each.Path == Mark;
      }));
}

std::size_t WorkerFleet::crashingRuns() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  std::size_t Runs = this->EarlierRuns;
  for (Member &Each : this->Members)
    Runs += this->crashingRunsOf(*Each.Worker);
  return Runs;
}

} // namespace tanagerlanding::test
