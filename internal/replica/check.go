package replica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

func boltOptions() *bbolt.Options { return &bbolt.Options{Timeout: boltOpenTimeout} }

// What bbolt's file format puts into its two first pages.
const (
	boltMagic        = 0xED0CDAED
	pageHeaderBytes  = 16
	metaBytes        = 64
	metaPages        = 2
	minPageBytes     = 512
	maxPageBytes     = 64 << 10
	checksummedBytes = 56 // bytes of the meta data that its checksum covers
	metaPageSize     = 8
	metaPageCount    = 40 // where the number of pages stands
	metaTransaction  = 48
)

// verifyLogFile looks at a log's file before it is mapped into memory. Danger: the
// library reads a file that was cut short through its map, and a read behind the
// end kills the process instead of being an error. A file that is not there is
// no fault.
func verifyLogFile(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if info.Size() == 0 {
		return errors.New("it is empty")
	}
	pages, pageSize, err := readExtent(f)
	if err != nil {
		return err
	}
	if need := int64(pages) * int64(pageSize); info.Size() < need {
		return fmt.Errorf("it is cut short: %d bytes of at least %d", info.Size(), need)
	}
	return verifyPages(path)
}

// readExtent reads how many pages the newest good meta page speaks of.
func readExtent(f io.ReaderAt) (pages uint64, pageSize uint32, err error) {
	newest, found := uint64(0), false
	page := make([]byte, pageHeaderBytes+metaBytes)
	// The second meta page stands one page behind the first, whose size only the
	// first tells, if that is whole; else sizes are tried.
	for size := int64(minPageBytes); size <= maxPageBytes; size *= 2 {
		for n := range int64(metaPages) {
			if _, err := f.ReadAt(page, n*size); err != nil {
				continue
			}
			meta := page[pageHeaderBytes:]
			h := fnv.New64a()
			h.Write(meta[:checksummedBytes])
			if binary.NativeEndian.Uint32(meta) != boltMagic || binary.NativeEndian.Uint64(meta[checksummedBytes:]) != h.Sum64() {
				continue
			}
			if tx := binary.NativeEndian.Uint64(meta[metaTransaction:]); !found || tx > newest {
				found, newest = true, tx
				pageSize, pages = binary.NativeEndian.Uint32(meta[metaPageSize:]), binary.NativeEndian.Uint64(meta[metaPageCount:])
			}
		}
	}
	if !found || pageSize < minPageBytes || pageSize > maxPageBytes {
		return 0, 0, errors.New("no page of it says what it holds")
	}
	return pages, pageSize, nil
}

// verifyPages reads every page once.
func verifyPages(path string) (err error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: boltOpenTimeout, ReadOnly: true})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil // another process has it; who opens it next says so
	}
	if err != nil {
		return err
	}
	defer func() {
		// The library panics at pages that make no sense.
		if p := recover(); p != nil {
			err = fmt.Errorf("%v", p)
		}
	}()
	defer db.Close()
	return db.View(func(tx *bbolt.Tx) (first error) {
		for e := range tx.Check() {
			if first == nil {
				first = e
			}
		}
		return first
	})
}
