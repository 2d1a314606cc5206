package records

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// ErrJournal means that an entry of a journal is damaged, truncated or cannot be applied.
var ErrJournal = errors.New("invalid entry in records journal")

// MaxJournalBytes is the size of a journal from which the caller should write a new snapshot and start a new journal.
const MaxJournalBytes = 256 << 10

// An entry consists of the body's length in big-endian order, the first bytes of the body's SHA-256, and the body.
const (
	journalLengthBytes   = 4
	journalChecksumBytes = 8
	journalHeaderBytes   = journalLengthBytes + journalChecksumBytes
)

// EncodeJournalEntry returns the journal entry of a delta, to be appended to the journal beside
// a replica's snapshot.
func EncodeJournalEntry(delta Delta) ([]byte, error) {
	body, err := encode(delta)
	if err != nil {
		return nil, err
	}
	entry := binary.BigEndian.AppendUint32(make([]byte, 0, journalHeaderBytes+len(body)), uint32(len(body)))
	checksum := sha256.Sum256(body)
	return slices.Concat(entry, checksum[:journalChecksumBytes], body), nil
}

// Replay applies the entries of a journal in order and skips those that end below the replica's version. It returns
// the size in bytes of the entries that were applied or skipped. If that is less than the journal, the error wraps
// ErrJournal, and the replica is at the version of the last valid entry.
func (r *Replica) Replay(journal []byte) (int, error) {
	applied := 0
	for applied < len(journal) {
		size, err := r.replayEntry(journal[applied:])
		if err != nil {
			return applied, fmt.Errorf("%w: at byte %d: %w", ErrJournal, applied, err)
		}
		applied += size
	}
	return applied, nil
}

// replayEntry applies or skips the first entry and returns its size in bytes.
func (r *Replica) replayEntry(journal []byte) (int, error) {
	if len(journal) < journalHeaderBytes {
		return 0, errors.New("entry header is truncated")
	}
	length := binary.BigEndian.Uint32(journal)
	content := journal[journalHeaderBytes:]
	if uint64(length) > uint64(len(content)) {
		return 0, fmt.Errorf("entry body is truncated: want %d bytes, have %d", length, len(content))
	}
	body := content[:length]
	checksum := sha256.Sum256(body)
	if [journalChecksumBytes]byte(checksum[:]) != [journalChecksumBytes]byte(journal[journalLengthBytes:]) {
		return 0, errors.New("entry checksum mismatch")
	}
	delta, err := decode[Delta](body)
	if err != nil {
		return 0, err
	}
	if err := r.ApplyDelta(delta); err != nil && !errors.Is(err, ErrStale) {
		return 0, err
	}
	return journalHeaderBytes + int(length), nil
}
