#include "replication/journal.hpp"

#include <xxhash.h>

#include <algorithm>

namespace bulrush {
namespace {

constexpr std::uint32_t kMagic = 0x4C425244; // "DRBL"
constexpr std::size_t kChecksumOffset = 24;

template<class number>
void
PutNumber(std::string& aBytes, number aValue)
{
  for (std::size_t i = 0; i < sizeof(number); ++i) {
    aBytes.push_back(static_cast<char>((aValue >> (8 * i)) & 0xFFU));
  }
}

void
PutText(std::string& aBytes, std::string_view aText)
{
  PutNumber<std::uint64_t>(aBytes, aText.size());
  aBytes += aText;
}

void
PutMembers(std::string& aBytes, const membership& aMembers)
{
  PutNumber<std::uint64_t>(aBytes, aMembers.size());
  for (const log_member& member : aMembers) {
    PutNumber<std::uint64_t>(aBytes, member.id.value);
    PutNumber<std::uint8_t>(aBytes, static_cast<std::uint8_t>(member.kind));
    PutText(aBytes, member.name);
  }
}

// Reads fields in order. After the first that exceeds the input, `failed` is
// set and all values are zero.
struct field_reader
{
  std::string_view bytes;
  bool failed = false;

  std::string_view ReadBytes(std::uint64_t aCount)
  {
    if (failed || aCount > bytes.size()) {
      failed = true;
      return {};
    }
    const std::string_view read = bytes.substr(0, aCount);
    bytes.remove_prefix(aCount);
    return read;
  }
  template<class number>
  number Number()
  {
    number value = 0;
    const std::string_view read = ReadBytes(sizeof(number));
    for (std::size_t i = 0; i < read.size(); ++i) {
      const auto byte = static_cast<std::uint8_t>(read[i]);
      value = static_cast<number>(value | (static_cast<number>(byte) << 8 * i));
    }
    return value;
  }
  std::string Text() { return std::string(ReadBytes(Number<std::uint64_t>())); }
  membership Members()
  {
    membership members;
    const auto count = Number<std::uint64_t>();
    for (std::uint64_t i = 0; i < count && !failed; ++i) {
      log_member member;
      member.id.value = Number<std::uint64_t>();
      member.kind = static_cast<member_kind>(Number<std::uint8_t>());
      member.name = Text();
      members.push_back(std::move(member));
    }
    return members;
  }
  bool IsDone() const { return !failed && bytes.empty(); }
};

struct record
{
  record_kind kind = record_kind::eHeader;
  std::uint64_t syncedBytes = 0;
  std::string_view body;
  std::uint64_t end = 0; ///< offset of the next record
};

// The checksum covers the offset, so that the bytes of a record inside the
// payload of another one are never read as a record.
std::uint64_t
Checksum(std::string_view aHead,
         std::string_view aBody,
         std::uint64_t aSeed,
         std::uint64_t aOffset)
{
  const std::uint64_t head = XXH64(aHead.data(), aHead.size(), aSeed + aOffset);
  return XXH64(aBody.data(), aBody.size(), head);
}

std::optional<record>
RecordAt(std::string_view aFile, std::uint64_t aOffset, std::uint64_t aSeed)
{
  field_reader reader{ aFile.substr(aOffset) };
  const bool isMagic = reader.Number<std::uint32_t>() == kMagic;
  if (!isMagic) {
    return std::nullopt;
  }
  record found;
  found.kind = static_cast<record_kind>(reader.Number<std::uint32_t>());
  const auto length = reader.Number<std::uint64_t>();
  found.syncedBytes = reader.Number<std::uint64_t>();
  const auto checksum = reader.Number<std::uint64_t>();
  found.body = reader.ReadBytes(length);
  found.end = aOffset + kRecordHeaderBytes + length;
  const std::string_view head = aFile.substr(aOffset, kChecksumOffset);
  if (reader.failed || Checksum(head, found.body, aSeed, aOffset) != checksum) {
    return std::nullopt;
  }
  return found;
}

// Whether the invalid record at aBadOffset had been synced: it lies within the
// initial file, or a later record states a synced length beyond it. Only then
// is it damage. Otherwise the machine stopped during the write, before anything
// was confirmed.
bool
WasSynced(std::string_view aFile,
          std::uint64_t aBadOffset,
          std::uint64_t aSeed,
          std::uint64_t aInitialBytes)
{
  if (aBadOffset < aInitialBytes) {
    return true;
  }
  for (std::uint64_t offset = aBadOffset + 1;
       offset + kRecordHeaderBytes <= aFile.size();
       ++offset) {
    const auto later = RecordAt(aFile, offset, aSeed);
    if (later && later->syncedBytes > aBadOffset) {
      return true;
    }
  }
  return false;
}

bool
ApplyEntry(recovered_log& aLog, field_reader& aReader)
{
  log_entry entry;
  entry.index = aReader.Number<std::uint64_t>();
  entry.term = aReader.Number<std::uint64_t>();
  entry.kind = static_cast<entry_kind>(aReader.Number<std::uint8_t>());
  entry.payload = aReader.Text();
  entry.members = aReader.Members();
  const log_index last =
    aLog.entries.empty() ? aLog.base.index : aLog.entries.back().index;
  if (entry.index != last + 1) {
    return false;
  }
  aLog.entries.push_back(std::move(entry));
  return true;
}

bool
ApplyTruncate(recovered_log& aLog, field_reader& aReader)
{
  const log_index from = aReader.Number<std::uint64_t>();
  if (from <= aLog.base.index ||
      from > aLog.base.index + aLog.entries.size() + 1) {
    return false;
  }
  aLog.entries.resize(from - aLog.base.index - 1);
  return true;
}

bool
ApplyRecord(recovered_log& aLog, const record& aRecord)
{
  field_reader reader{ aRecord.body };
  bool fits = false;
  switch (aRecord.kind) {
    case record_kind::eEntry:
      fits = ApplyEntry(aLog, reader);
      break;
    case record_kind::eTruncate:
      fits = ApplyTruncate(aLog, reader);
      break;
    case record_kind::eVote:
      aLog.vote.term = reader.Number<std::uint64_t>();
      aLog.vote.votedFor.value = reader.Number<std::uint64_t>();
      fits = true;
      break;
    case record_kind::eCommit:
      aLog.commit = std::max(aLog.commit, reader.Number<std::uint64_t>());
      fits = true;
      break;
    case record_kind::eHeader:
    case record_kind::eSnapshot:
      break;
  }
  return fits && reader.IsDone();
}

std::optional<journal_header>
ReadHeader(const std::optional<record>& aRecord)
{
  if (!aRecord || aRecord->kind != record_kind::eHeader) {
    return std::nullopt;
  }
  field_reader reader{ aRecord->body };
  journal_header header;
  header.identity.value = reader.Number<std::uint64_t>();
  header.base.index = reader.Number<std::uint64_t>();
  header.base.term = reader.Number<std::uint64_t>();
  header.initialBytes = reader.Number<std::uint64_t>();
  return reader.IsDone() ? std::optional(header) : std::nullopt;
}

std::string
OffsetText(const char* aDescription, std::uint64_t aOffset)
{
  return std::string(aDescription) + " at byte " + std::to_string(aOffset);
}

} // namespace

std::string
EncodeHeader(const journal_header& aHeader)
{
  std::string body;
  PutNumber(body, aHeader.identity.value);
  PutNumber(body, aHeader.base.index);
  PutNumber(body, aHeader.base.term);
  PutNumber(body, aHeader.initialBytes);
  return body;
}

std::string
EncodeEntry(const log_entry& aEntry)
{
  std::string body;
  PutNumber(body, aEntry.index);
  PutNumber(body, aEntry.term);
  PutNumber(body, static_cast<std::uint8_t>(aEntry.kind));
  PutText(body, aEntry.payload);
  PutMembers(body, aEntry.members);
  return body;
}

std::string
EncodeTruncate(log_index aFrom)
{
  std::string body;
  PutNumber(body, aFrom);
  return body;
}

std::string
EncodeVote(const ballot& aVote)
{
  std::string body;
  PutNumber(body, aVote.term);
  PutNumber(body, aVote.votedFor.value);
  return body;
}

std::string
EncodeCommit(log_index aIndex)
{
  std::string body;
  PutNumber(body, aIndex);
  return body;
}

std::string
EncodeSnapshot(const log_snapshot& aSnapshot)
{
  std::string body;
  PutNumber(body, aSnapshot.at.index);
  PutNumber(body, aSnapshot.at.term);
  PutMembers(body, aSnapshot.members);
  PutText(body, aSnapshot.state);
  return body;
}

void
AddRecord(std::string& aFile,
          record_kind aKind,
          std::string_view aBody,
          const record_context& aContext)
{
  std::string head;
  PutNumber(head, kMagic);
  PutNumber(head, static_cast<std::uint32_t>(aKind));
  PutNumber<std::uint64_t>(head, aBody.size());
  PutNumber(head, aContext.syncedBytes);
  const std::uint64_t checksum =
    Checksum(head, aBody, aContext.seed, aContext.offset);
  PutNumber(head, checksum);
  aFile += head;
  aFile += aBody;
}

std::optional<recovered_log>
ReadJournal(std::string_view aFile,
            std::uint64_t aSeed,
            const std::string& aPath,
            last_reason& aReason)
{
  const char* const step = "read journal";
  const auto first = RecordAt(aFile, 0, aSeed);
  const auto header = ReadHeader(first);
  if (!header) {
    return Fail(aReason, step, aPath, "the first record is damaged");
  }
  recovered_log log;
  log.identity = header->identity;
  log.base = header->base;
  log.syncedBytes = header->initialBytes;
  std::uint64_t offset = first->end;
  while (offset < aFile.size()) {
    const auto next = RecordAt(aFile, offset, aSeed);
    if (!next) {
      break;
    }
    if (!ApplyRecord(log, *next)) {
      return Fail(
        aReason, step, aPath, OffsetText("a record out of order", offset));
    }
    log.syncedBytes = std::max(log.syncedBytes, next->syncedBytes);
    offset = next->end;
  }
  if (WasSynced(aFile, offset, aSeed, header->initialBytes)) {
    return Fail(aReason, step, aPath, OffsetText("a damaged record", offset));
  }
  log.tornTailBytes = aFile.size() - offset;
  return log;
}

std::optional<log_snapshot>
ReadSnapshot(std::string_view aFile,
             std::uint64_t aSeed,
             const std::string& aPath,
             last_reason& aReason)
{
  const auto found = RecordAt(aFile, 0, aSeed);
  if (!found || found->kind != record_kind::eSnapshot ||
      found->end != aFile.size()) {
    return Fail(aReason, "read snapshot", aPath, "the file is damaged");
  }
  field_reader reader{ found->body };
  log_snapshot snapshot;
  snapshot.at.index = reader.Number<std::uint64_t>();
  snapshot.at.term = reader.Number<std::uint64_t>();
  snapshot.members = reader.Members();
  snapshot.state = reader.Text();
  if (!reader.IsDone()) {
    return Fail(aReason,
                "read snapshot",
                aPath,
                "the fields do not match the length of the record");
  }
  return snapshot;
}

// The snapshot file is replaced before the journal is rewritten. A crash in
// between leaves a journal that ends before the snapshot or conflicts with it.
// The snapshot takes precedence then, since it covers only committed entries.
std::optional<stored>
JoinSnapshot(recovered_log& aLog,
             log_snapshot aSnapshot,
             const std::string& aPath,
             last_reason& aReason)
{
  const log_position at = aSnapshot.at;
  if (aLog.base.index > at.index) {
    return Fail(aReason,
                "join snapshot",
                aPath,
                "the entries before index " +
                  std::to_string(aLog.base.index + 1) + " are missing");
  }
  bool holds = aLog.base == at;
  if (at.index > aLog.base.index &&
      at.index - aLog.base.index <= aLog.entries.size()) {
    holds = aLog.entries[at.index - aLog.base.index - 1].term == at.term;
  }
  if (!holds) {
    aLog.entries.clear();
    aLog.base = at;
  }
  aLog.commit = std::max(aLog.commit, at.index);
  aLog.snapshot = std::move(aSnapshot);
  return stored{};
}

} // namespace bulrush
