#include <fstream>
#include <sstream>

#include "banyan/events/event.h"
#include "banyan/events/json_log.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

void CatalogueMatchesDocs() {
  std::ifstream file(Paths().event_catalogue);
  CPPUNIT_ASSERT_MESSAGE("docs/EVENTS.md can't be read", file.good());
  std::ostringstream text;
  text << file.rdbuf();
  const std::string docs = text.str();
  std::size_t rows = 0;
  for (const EventRow& row : EventCatalogue()) {
    const std::string line = "| E" + std::to_string(static_cast<int>(row.id)) +
                             " | " + std::string(row.name) + " | " +
                             std::string(row.meaning) + " |";
    CPPUNIT_ASSERT_MESSAGE("missing: " + line,
                           docs.find(line) != std::string::npos);
    ++rows;
  }
  std::size_t documented = 0;
  for (std::size_t at = docs.find("\n| E1"); at != std::string::npos;
       at = docs.find("\n| E1", at + 1)) {
    ++documented;
  }
  CPPUNIT_ASSERT_EQUAL(rows, documented);
}

void FieldsRoundTrip() {
  const Event event = Event(EventId::kTaskPlaced)
                          .With("job", "packet 7")
                          .With("attempt", 3)
                          .With("reason", "said \"least cost\"");
  CPPUNIT_ASSERT_EQUAL(std::string("E1301 job=\"packet 7\" attempt=3 "
                                   "reason=\"said \\\"least cost\\\"\""),
                       event.text());
  CPPUNIT_ASSERT_EQUAL(std::string("packet 7"), event.Field("job"));
  CPPUNIT_ASSERT_EQUAL(std::string("said \"least cost\""),
                       event.Field("reason"));
}

void JsonLineSortsFieldsByKey() {
  const Event event = Event(EventId::kTaskPlaced)
                          .With("worker", "w\\1")
                          .With("job", "two\nlines\tand \"quotes\" = more")
                          .With("attempt", 3)
                          .With("empty", "")
                          .With("attempt", 4);
  CPPUNIT_ASSERT_EQUAL(
      std::string("{\"time_ms\":7,\"event\":\"task-placed\",\"id\":1301,"
                  "\"attempt\":\"4\",\"empty\":\"\","
                  "\"job\":\"two lines and \\\"quotes\\\" = more\","
                  "\"worker\":\"w\\\\1\"}"),
      ToJsonLine(event, 7));
  CPPUNIT_ASSERT_EQUAL(std::string("4"), event.Field("attempt"));
}

}  // namespace

Section EventsStory() {
  Section section("Log events");
  section.Then("match the catalogue in the docs exactly", CatalogueMatchesDocs)
      .Then("return the fields that were added", FieldsRoundTrip)
      .Then("render as JSON lines with the fields sorted by key",
            JsonLineSortsFieldsByKey);
  return section;
}

}  // namespace banyan
