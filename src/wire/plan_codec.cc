#include "banyan/wire/plan_codec.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <array>
#include <boost/crc.hpp>
#include <sstream>
#include <utility>

#include "src/wire/from_cbor.h"

namespace banyan {
namespace {

using nlohmann::json;

// Largest plan after decompression, in bytes: several times what the largest
// document that operators may submit takes.
constexpr std::size_t kMaxPlanBytes = std::size_t{32} << 20U;
constexpr std::size_t kInflateStepBytes = std::size_t{16} << 10U;

// Queues occur in large numbers, so they become arrays.
json ToRow(const QueueSpec& queue) {
  return {queue.name,    queue.host,       queue.path_prefix,
          queue.service, queue.timeout_ms, queue.slo_ms,
          queue.stretch, queue.priority,   queue.max_attempts};
}

QueueSpec ReadQueue(const json& row) {
  QueueSpec queue;
  std::size_t column = 0;
  row.at(column++).get_to(queue.name);
  row.at(column++).get_to(queue.host);
  row.at(column++).get_to(queue.path_prefix);
  row.at(column++).get_to(queue.service);
  row.at(column++).get_to(queue.timeout_ms);
  row.at(column++).get_to(queue.slo_ms);
  row.at(column++).get_to(queue.stretch);
  row.at(column++).get_to(queue.priority);
  row.at(column++).get_to(queue.max_attempts);
  return queue;
}

std::string Compress(const std::string& bytes) {
  std::ostringstream out;
  Poco::DeflatingOutputStream deflater(out);
  deflater.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  deflater.close();
  return std::move(out).str();
}

// Returns nullopt if the bytes are not compressed data, or too much of it.
std::optional<std::string> Decompress(std::string_view bytes) {
  try {
    std::istringstream in{std::string(bytes)};
    Poco::InflatingInputStream inflater(in);
    std::string out;
    std::array<char, kInflateStepBytes> step{};
    while (inflater.good()) {
      inflater.read(step.data(), static_cast<std::streamsize>(step.size()));
      out.append(step.data(), static_cast<std::size_t>(inflater.gcount()));
      if (out.size() > kMaxPlanBytes) {
        return std::nullopt;
      }
    }
    return inflater.bad() ? std::nullopt : std::optional(std::move(out));
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

}  // namespace

EncodedPlan EncodePlan(const ServicePlan& plan) {
  json queues = json::array();
  for (const QueueSpec& queue : plan.queues) {
    queues.push_back(ToRow(queue));
  }
  std::string bytes;
  json::to_cbor(json{{"version", plan.version},
                     {"queues", std::move(queues)},
                     {"pools", plan.pools},
                     {"limits", plan.limits}},
                bytes);
  EncodedPlan encoded{plan.version, Compress(bytes)};
  encoded.checksum = PlanChecksum(encoded.bytes);
  return encoded;
}

std::uint32_t PlanChecksum(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

std::optional<ServicePlan> DecodePlan(std::string_view bytes, Reason& reason) {
  const std::optional<std::string> inflated = Decompress(bytes);
  if (!inflated) {
    reason = {ErrorKind::kBadMessage, "a plan can't be decompressed", {}};
    return std::nullopt;
  }
  return FromCbor<ServicePlan>(*inflated, reason,
                               [](const json& value, ServicePlan& out) {
                                 value.at("version").get_to(out.version);
                                 for (const json& row : value.at("queues")) {
                                   out.queues.push_back(ReadQueue(row));
                                 }
                                 value.at("pools").get_to(out.pools);
                                 value.at("limits").get_to(out.limits);
                               });
}

}  // namespace banyan
