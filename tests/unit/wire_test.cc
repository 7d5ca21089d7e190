#include <rapidcheck.h>

#include "banyan/base/bounded_ring.h"
#include "banyan/control/control_state.h"
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

void RejectsUnknownType() {
  Reason reason;
  // ["x", 1, ["no-such-type", {}]] in CBOR.
  const std::string frame =
      std::string("\x83\x61x\x01\x82\x6c") + "no-such-type" + "\xa0";
  CPPUNIT_ASSERT(!DecodeEnvelope(frame, reason));
  CPPUNIT_ASSERT(reason.kind == ErrorKind::kUnknownMessage);
}

void RejectsTruncatedMessage() {
  const std::string encoded = Encode(SampleEnvelope());
  for (std::size_t size = 0; size < encoded.size(); ++size) {
    Reason reason;
    CPPUNIT_ASSERT(!DecodeEnvelope(encoded.substr(0, size), reason));
    CPPUNIT_ASSERT(reason.kind == ErrorKind::kBadMessage);
  }
}

void HandlesArbitraryBytes() {
  const bool passed = rc::check("arbitrary bytes decode or give an error", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    Reason reason;
    const auto envelope = DecodeEnvelope(bytes, reason);
    RC_ASSERT(envelope.has_value() || !reason.text.empty());
  });
  CPPUNIT_ASSERT(passed);
}

void HandlesChangedByte() {
  const std::string encoded = Encode(SampleEnvelope());
  const bool passed =
      rc::check("a frame with a changed byte never crashes the decoder", [&] {
        std::string frame = encoded;
        const auto position = *rc::gen::inRange<std::size_t>(0, frame.size());
        frame[position] = *rc::gen::arbitrary<char>();
        Reason reason;
        static_cast<void>(DecodeEnvelope(frame, reason));
      });
  CPPUNIT_ASSERT(passed);
}

// Guards against a frame that overflows the decoder's stack, which ends the
// process.
void RejectsDeepNesting() {
  constexpr std::size_t kLevels = 1000000;
  // One-element arrays, arrays, strings and byte strings of unstated length,
  // one-element maps, and tags.
  for (const std::string level :
       {"\x81", "\x9f", "\x7f", "\x5f", "\xa1\x60", "\xc1", "\xd8\x2a"}) {
    std::string bytes;
    for (std::size_t i = 0; i < kLevels; ++i) {
      bytes += level;
    }
    Reason reason;
    CPPUNIT_ASSERT(!DecodeEnvelope(bytes, reason));
    CPPUNIT_ASSERT(reason.kind == ErrorKind::kBadMessage);
    CPPUNIT_ASSERT(!DecodeMessage(bytes, reason));
    CPPUNIT_ASSERT(!DecodeCommand(bytes, reason));
    CPPUNIT_ASSERT(!DecodeMembership(bytes, reason));
    CPPUNIT_ASSERT(!ControlState::Decode(bytes, reason));
    CPPUNIT_ASSERT(reason.kind == ErrorKind::kCorruptLog);
  }
}

// Guards against an enumerator out of range, which would index past the end of
// tables.
void RejectsUnknownEnumerators() {
  CommandReply reply;
  reply.result.error = static_cast<ErrorKind>(200);
  Reason reason;
  CPPUNIT_ASSERT(!DecodeMessage(Encode(Message(reply)), reason));
  CPPUNIT_ASSERT(reason.kind == ErrorKind::kBadMessage);
  reply.result.error = ErrorKind::kInternal;
  CPPUNIT_ASSERT(DecodeMessage(Encode(Message(reply)), reason));
  WorkerSync sync;
  sync.ended.push_back({1, {}, static_cast<RunEndReason>(8), ""});
  CPPUNIT_ASSERT(!DecodeMessage(Encode(Message(sync)), reason));
  sync.ended.back().reason = RunEndReason::kWorkerLost;
  CPPUNIT_ASSERT(DecodeMessage(Encode(Message(sync)), reason));
}

void RingRejectsPushWhenFull() {
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
  Section suite("Message codec");
  suite
      .With(Section("a message")
                .Then("is unchanged after encoding and decoding", RoundTrip)
                .Then("of an unknown type is rejected as unknown",
                      RejectsUnknownType)
                .Then("is rejected when truncated", RejectsTruncatedMessage)
                .Then("is rejected when nested deeply", RejectsDeepNesting)
                .Then("is rejected with an unknown enumerator",
                      RejectsUnknownEnumerators))
      .With(Section("arbitrary input")
                .Then("decodes or gives an error", HandlesArbitraryBytes)
                .Then("with one changed byte does not crash the decoder",
                      HandlesChangedByte))
      .With(Section("a bounded ring")
                .Then("rejects a push when full or closed",
                      RingRejectsPushWhenFull));
  return suite;
}

}  // namespace banyan
