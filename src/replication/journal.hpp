#ifndef BULRUSH_REPLICATION_JOURNAL_HPP
#define BULRUSH_REPLICATION_JOURNAL_HPP

/// Private header: file format of the journal and the snapshot.
///
/// A file is a sequence of records. Each contains a checksum that also covers
/// its offset and the log's name, and the length up to which the file was
/// synced when the record was written. All numbers are little-endian.

#include "replication/replication.hpp"

namespace bulrush {

enum class record_kind : std::uint32_t
{
  eHeader = 1,
  eEntry = 2,
  eTruncate = 3,
  eVote = 4,
  eCommit = 5,
  eSnapshot = 6,
};

inline constexpr std::size_t kRecordHeaderBytes = 32;

/// First record of a journal.
struct journal_header
{
  replica_id identity;
  log_position base;
  /// Length of the file when it was created, all of it synced.
  std::uint64_t initialBytes = 0;
};

std::string EncodeHeader(const journal_header& aHeader);
std::string EncodeEntry(const log_entry& aEntry);
std::string EncodeTruncate(log_index aFrom);
std::string EncodeVote(const ballot& aVote);
std::string EncodeCommit(log_index aIndex);
std::string EncodeSnapshot(const log_snapshot& aSnapshot);

/// Input for writing a record besides its kind and body.
struct record_context
{
  std::uint64_t seed = 0; ///< StableHash of the log's name
  std::uint64_t offset = 0;
  std::uint64_t syncedBytes = 0;
};

/// Appends one record to aFile.
void AddRecord(std::string& aFile,
               record_kind aKind,
               std::string_view aBody,
               const record_context& aContext);

/// Decodes a journal. The length of a torn tail is returned in `tornTailBytes`;
/// damage to synced records is a failure.
std::optional<recovered_log> ReadJournal(std::string_view aFile,
                                         std::uint64_t aSeed,
                                         const std::string& aPath,
                                         last_reason& aReason);

/// Decodes a snapshot file. An incomplete file is a failure too.
std::optional<log_snapshot> ReadSnapshot(std::string_view aFile,
                                         std::uint64_t aSeed,
                                         const std::string& aPath,
                                         last_reason& aReason);

/// Adds the snapshot to the recovered journal. Fails if entries between them
/// are missing.
std::optional<stored> JoinSnapshot(recovered_log& aLog,
                                   log_snapshot aSnapshot,
                                   const std::string& aPath,
                                   last_reason& aReason);

} // namespace bulrush

#endif
