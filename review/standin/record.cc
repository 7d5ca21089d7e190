#include "review/standin/record.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <thread>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

std::mutex g_mutex;
std::FILE* g_file = nullptr;
Clock::time_point g_start = Clock::now();

}  // namespace

void OpenRecord(const std::string& path) {
  g_file = std::fopen(path.c_str(), "w");
  g_start = Clock::now();
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               g_start)
      .count();
}

void Record(const std::string& text) {
  const std::lock_guard lock(g_mutex);
  if (g_file != nullptr) {
    std::fprintf(g_file, "%8.3f s  %s\n", static_cast<double>(NowMs()) / 1000,
                 text.c_str());
    std::fflush(g_file);
  }
}

void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

}  // namespace review
