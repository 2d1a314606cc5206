package records

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// ErrJournal is that a journal is damaged or cut short at some entry.
var ErrJournal = errors.New("unusable entry in the journal of records")

// MaxJournalBytes is the size of a journal from which the replica should be written
// whole instead, and the journal begun anew.
const MaxJournalBytes = 256 << 10

// An entry is its body's length, the beginning of the body's checksum, and the body.
const (
	journalLengthBytes   = 4
	journalChecksumBytes = 8
	journalHeaderBytes   = journalLengthBytes + journalChecksumBytes
)

// EncodeJournalEntry returns a delta in the form in which it is appended to the
// journal that lies beside a replica's snapshot.
func EncodeJournalEntry(delta Delta) ([]byte, error) {
	body, err := encode(delta)
	if err != nil {
		return nil, err
	}
	entry := binary.BigEndian.AppendUint32(make([]byte, 0, journalHeaderBytes+len(body)), uint32(len(body)))
	checksum := sha256.Sum256(body)
	return slices.Concat(entry, checksum[:journalChecksumBytes], body), nil
}

// Replay applies the entries of a journal in order. Entries that the copy is past
// are left out. It returns how many bytes belong to whole entries; if that is not
// all, the error wraps ErrJournal, and the copy is at the version of the last whole
// entry.
func (r *Replica) Replay(journal []byte) (int, error) {
	whole := 0
	for whole < len(journal) {
		size, err := r.replayEntry(journal[whole:])
		if err != nil {
			return whole, fmt.Errorf("%w: at byte %d: %w", ErrJournal, whole, err)
		}
		whole += size
	}
	return whole, nil
}

// replayEntry applies the first entry and returns its size.
func (r *Replica) replayEntry(journal []byte) (int, error) {
	if len(journal) < journalHeaderBytes {
		return 0, errors.New("the entry is cut short")
	}
	length := binary.BigEndian.Uint32(journal)
	rest := journal[journalHeaderBytes:]
	if uint64(length) > uint64(len(rest)) {
		return 0, fmt.Errorf("the entry has %d bytes, only %d are left", length, len(rest))
	}
	body := rest[:length]
	checksum := sha256.Sum256(body)
	if [journalChecksumBytes]byte(checksum[:]) != [journalChecksumBytes]byte(journal[journalLengthBytes:]) {
		return 0, errors.New("the checksum does not fit")
	}
	delta, err := decode[Delta](body)
	if err != nil {
		return 0, err
	}
	if err := r.ApplyDelta(delta); err != nil && !errors.Is(err, ErrBehind) {
		return 0, err
	}
	return journalHeaderBytes + int(length), nil
}
