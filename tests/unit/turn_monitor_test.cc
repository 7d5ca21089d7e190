#include "banyan/process/turn_monitor.h"

#include <optional>
#include <string>

#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Time kStart{std::chrono::seconds(100)};

void LongTurnIsLogged() {
  TurnMonitor turn("core");
  turn.Begin(kStart, kStart + Millis(5), 3, Millis(40));
  turn.OnInputHandled(kStart + Millis(10), "append");
  turn.OnInputHandled(kStart + Millis(90), "call");
  turn.EndPart(kStart + Millis(90), "inputs");
  turn.EndPart(kStart + Millis(150), "apply");
  const auto event = turn.End(kStart + Millis(155), Millis(60));
  CPPUNIT_ASSERT(event.has_value());
  CPPUNIT_ASSERT(event->id() == EventId::kTurnLong);
  CPPUNIT_ASSERT_EQUAL(std::string("core"), event->Field("loop"));
  CPPUNIT_ASSERT_EQUAL(std::string("155"), event->Field("took_ms"));
  CPPUNIT_ASSERT_EQUAL(std::string("20"), event->Field("cpu_ms"));
  CPPUNIT_ASSERT_EQUAL(std::string("3"), event->Field("inputs"));
  CPPUNIT_ASSERT_EQUAL(std::string("90"), event->Field("inputs_ms"));
  CPPUNIT_ASSERT_EQUAL(std::string("60"), event->Field("apply_ms"));
  CPPUNIT_ASSERT_EQUAL(std::string("call"), event->Field("slowest_input"));
  CPPUNIT_ASSERT_EQUAL(std::string("80"), event->Field("slowest_input_ms"));
  CPPUNIT_ASSERT(turn.took() == Millis(155));
}

void LateTurnIsLogged() {
  TurnMonitor turn("core");
  turn.Begin(kStart + Millis(305), kStart + Millis(5), 0, std::nullopt);
  const auto event = turn.End(kStart + Millis(306), std::nullopt);
  CPPUNIT_ASSERT(event.has_value());
  CPPUNIT_ASSERT_EQUAL(std::string("300"), event->Field("late_ms"));
  CPPUNIT_ASSERT_EQUAL(std::string("1"), event->Field("took_ms"));
}

void ShortTurnIsNotLogged() {
  TurnMonitor turn("core");
  turn.Begin(kStart, kStart + Millis(5), 1, Millis(1));
  turn.OnInputHandled(kStart + Millis(2), "append");
  CPPUNIT_ASSERT(!turn.End(kStart + Millis(4), Millis(2)).has_value());
}

}  // namespace

Section TurnMonitorStory() {
  Section section("The turns of a main loop");
  section
      .Then("a long one is logged with its parts and its slowest input",
            LongTurnIsLogged)
      .Then("one that begins late is logged", LateTurnIsLogged)
      .Then("a short one is not logged", ShortTurnIsNotLogged);
  return section;
}

}  // namespace banyan
