package records

import "slices"

// changeLog has the newest accepted changes, oldest first. It stores keys but no values: the values that still
// apply are in the current state.
type changeLog struct {
	entries []logEntry
	bytes   int // sum of the entries' sizes
	// Version and digest of the state before the oldest entry: the newest compacted version.
	compactedVersion uint64
	compactedDigest  Digest
}

// logEntry is one accepted change.
type logEntry struct {
	Info   ChangeInfo `json:"info"`
	Digest Digest     `json:"digest"` // of the state after the change
	Keys   []Key      `json:"keys"`   // of the records that it put or deleted
}

// entryOverhead is an estimate of memory overhead in bytes. It is added once for each key and four times for each
// entry to the size of the strings.
const entryOverhead = 32

// size returns the approximate size of the entry in memory, in bytes.
func (e *logEntry) size() int {
	size := 4*entryOverhead + len(e.Info.Author) + len(e.Info.Message)
	for _, key := range e.Keys {
		size += entryOverhead + len(key.Name)
	}
	return size
}

// add appends an entry and compacts the oldest ones until the log is within its limits.
func (l *changeLog) add(entry logEntry) {
	l.entries = append(l.entries, entry)
	l.bytes += entry.size()
	drop := 0
	for len(l.entries)-drop > MaxLogChanges || l.bytes > MaxLogBytes {
		l.bytes -= l.entries[drop].size()
		drop++
	}
	l.compact(drop)
}

// compact drops the oldest entries.
func (l *changeLog) compact(count int) {
	if count == 0 {
		return
	}
	last := &l.entries[count-1]
	l.compactedVersion, l.compactedDigest = last.Info.Version, last.Digest
	l.entries = slices.Delete(l.entries, 0, count)
}

// after returns the entries above a version. The slice is only valid until the next add.
func (l *changeLog) after(version uint64) []logEntry {
	position, found := l.find(version)
	if found {
		position++
	}
	return l.entries[position:]
}

// find returns the position of a version's entry, or its insertion point, and whether the entry exists.
func (l *changeLog) find(version uint64) (int, bool) {
	return slices.BinarySearchFunc(l.entries, version, func(entry logEntry, version uint64) int {
		switch {
		case entry.Info.Version < version:
			return -1
		case entry.Info.Version > version:
			return 1
		}
		return 0
	})
}

// digestAt returns the digest at a version in the log or at the newest compacted version.
func (l *changeLog) digestAt(version uint64) (Digest, bool) {
	if version == l.compactedVersion {
		return l.compactedDigest, true
	}
	position, found := l.find(version)
	if !found {
		return Digest{}, false
	}
	return l.entries[position].Digest, true
}

// history returns up to limit changes, newest first. A limit of 0 or less means all.
func (l *changeLog) history(limit int) []ChangeInfo {
	count := len(l.entries)
	if limit > 0 {
		count = min(count, limit)
	}
	infos := make([]ChangeInfo, 0, count)
	for i := range count {
		infos = append(infos, l.entries[len(l.entries)-1-i].Info)
	}
	return infos
}
