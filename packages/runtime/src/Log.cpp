#include "tanagerlanding/runtime/Log.h"

#include <glog/logging.h>

#include <algorithm>
#include <cctype>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <iomanip>
#include <mutex>
#include <sstream>
#include <thread>

namespace tanagerlanding {

namespace {

/// Maximum number of lines queued for a slow reader of standard output. Further
/// lines are dropped and counted, so that logging never blocks.
constexpr std::size_t MaxQueuedLines = 4096;
/// Lines are batched for this time before they are written, so that the writer
/// thread wakes up less often.
constexpr std::chrono::milliseconds WriteInterval{50};

/// Writes lines on a dedicated thread.
class LogWriter {
public:
  LogWriter() : Worker([this] { this->run(); }) {}

  ~LogWriter() {
    {
      const std::lock_guard<std::mutex> Guard(this->Lock);
      this->IsStopping = true;
    }
    this->HasWork.notify_one();
    this->Worker.join();
  }

  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;

  void submit(std::string Line) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    if (this->Lines.size() >= MaxQueuedLines) {
      ++this->Dropped;
      return;
    }
    this->Lines.push_back(std::move(Line));
    if (this->Lines.size() == 1)
      this->HasWork.notify_one();
  }

private:
  void run() {
    std::unique_lock<std::mutex> Guard(this->Lock);
    while (!this->IsStopping || !this->Lines.empty()) {
      this->HasWork.wait(
          Guard, [this] { return this->IsStopping || !this->Lines.empty(); });
      if (!this->IsStopping)
        this->HasWork.wait_for(Guard, WriteInterval,
                               [this] { return this->IsStopping; });
      std::deque<std::string> Taken;
      Taken.swap(this->Lines);
      const std::size_t Lost = this->Dropped;
      this->Dropped = 0;
      Guard.unlock();
      for (const std::string &Line : Taken)
        LOG(INFO) << Line;
      if (Lost > 0)
        LOG(INFO) << "event=log_lines_dropped lines=" << Lost;
      std::fflush(stdout);
      Guard.lock();
    }
  }

  std::mutex Lock;
  std::condition_variable HasWork;
  std::deque<std::string> Lines;
  std::size_t Dropped = 0;
  bool IsStopping = false;
  std::thread Worker;
};

LogWriter &writer() {
  static LogWriter Only;
  return Only;
}

bool needsQuotes(const std::string &Value) {
  return Value.empty() ||
         std::any_of(Value.begin(), Value.end(), [](unsigned char Each) {
           return std::isspace(Each) || std::iscntrl(Each) || Each == '"' ||
                  Each == '=';
         });
}

} // namespace

void startLog(const char *Program) {
  FLAGS_logtostdout = true;
  google::InitGoogleLogging(Program);
}

std::string formatLogLine(const std::string &Event, const LogFields &Fields) {
  std::ostringstream Line;
  Line << "event=" << Event;
  for (const auto &[Key, Value] : Fields) {
    Line << ' ' << Key << '=';
    if (!needsQuotes(Value)) {
      Line << Value;
      continue;
    }
    std::string Flat = Value;
    std::replace_if(
        Flat.begin(), Flat.end(),
        [](unsigned char Each) { return std::iscntrl(Each); }, ' ');
    Line << std::quoted(Flat);
  }
  return Line.str();
}

void logEvent(const std::string &Event, const LogFields &Fields) {
  writer().submit(formatLogLine(Event, Fields));
}

} // namespace tanagerlanding
