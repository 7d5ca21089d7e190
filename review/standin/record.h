#ifndef REVIEW_STANDIN_RECORD_H_
#define REVIEW_STANDIN_RECORD_H_

#include <cstdint>
#include <string>

namespace review {

// Opens the record and starts the clock of the case.
void OpenRecord(const std::string& path);

// Milliseconds since the record was opened.
[[nodiscard]] std::int64_t NowMs();

// Writes a line with its time. Thread-safe.
void Record(const std::string& text);

void SleepMs(std::int64_t ms);

// Whether the case plays its disruption: TROUBLE=0 leaves it out.
[[nodiscard]] bool HasTrouble();

}  // namespace review

#endif  // REVIEW_STANDIN_RECORD_H_
