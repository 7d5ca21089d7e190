#include <rapidcheck.h>

#include "banyan/base/bounded_ring.h"
#include "banyan/wire/codec.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

Envelope SampleEnvelope() {
  Dispatch dispatch;
  dispatch.seq = 7;
  dispatch.path = "/reservations";
  dispatch.body = std::string("bytes \xff\x00 of any kind", 20);
  return {{"entry-0", 42}, dispatch};
}

void RoundTrip() {
  const Envelope sent = SampleEnvelope();
  Reason reason;
  const auto received = DecodeEnvelope(Encode(sent), reason);
  CPPUNIT_ASSERT(received.has_value());
  CPPUNIT_ASSERT(received->sender == sent.sender);
  const auto& body = std::get<Dispatch>(received->message);
  CPPUNIT_ASSERT_EQUAL(std::get<Dispatch>(sent.message).body, body.body);
}

void RefusesUnknownType() {
  Reason reason;
  // ["x", 1, ["no-such-type", {}]] in CBOR.
  const std::string frame =
      std::string("\x83\x61x\x01\x82\x6c") + "no-such-type" + "\xa0";
  CPPUNIT_ASSERT(!DecodeEnvelope(frame, reason));
  CPPUNIT_ASSERT(reason.kind == ErrorKind::kUnknownMessage);
}

void RefusesEveryPrefix() {
  const std::string whole = Encode(SampleEnvelope());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    Reason reason;
    CPPUNIT_ASSERT(!DecodeEnvelope(whole.substr(0, size), reason));
    CPPUNIT_ASSERT(reason.kind == ErrorKind::kBadMessage);
  }
}

void SurvivesAnyBytes() {
  const bool held = rc::check("any bytes give a value or a reason", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    Reason reason;
    const auto envelope = DecodeEnvelope(bytes, reason);
    RC_ASSERT(envelope.has_value() || !reason.text.empty());
  });
  CPPUNIT_ASSERT(held);
}

void SurvivesFlippedBits() {
  const std::string whole = Encode(SampleEnvelope());
  const bool held = rc::check("a changed frame never crashes", [&] {
    std::string frame = whole;
    const auto at = *rc::gen::inRange<std::size_t>(0, frame.size());
    frame[at] = *rc::gen::arbitrary<char>();
    Reason reason;
    static_cast<void>(DecodeEnvelope(frame, reason));
  });
  CPPUNIT_ASSERT(held);
}

void RingRefusesWhenFull() {
  BoundedRing<int> ring(2);
  CPPUNIT_ASSERT(ring.TryPush(1));
  CPPUNIT_ASSERT(ring.TryPush(2));
  CPPUNIT_ASSERT(!ring.TryPush(3));
  CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                       ring.PopAll(MonotonicClock::now()).size());
  ring.Close();
  CPPUNIT_ASSERT(!ring.TryPush(4));
  CPPUNIT_ASSERT(ring.drained());
}

}  // namespace

Section WireStory() {
  Section story("The wire between processes");
  story
      .With(Section("a message")
                .Then("comes back as it was sent", RoundTrip)
                .Then("of an unknown type is named as such", RefusesUnknownType)
                .Then("that is cut short is refused", RefusesEveryPrefix))
      .With(Section("arbitrary input")
                .Then("gives a value or a reason", SurvivesAnyBytes)
                .Then("made from a valid frame never crashes",
                      SurvivesFlippedBits))
      .With(Section("a bounded ring")
                .Then("refuses what it can't hold", RingRefusesWhenFull));
  return story;
}

}  // namespace banyan
