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

// Layout of the two meta pages with which a file of bbolt begins.
const (
	boltMagic        = 0xED0CDAED
	pageHeaderBytes  = 16
	metaBytes        = 64
	metaPages        = 2
	minPageBytes     = 512
	maxPageBytes     = 64 << 10
	checksummedBytes = 56 // of the meta data that its checksum covers
	metaPageSize     = 8  // offset of the page size in the meta data
	metaPageCount    = 40 // offset of the number of pages
	metaTransaction  = 48 // offset of the transaction's number
)

// verifyLogFile returns an error if a log's file is damaged. It must run before bbolt maps the file into memory: a read of
// the map behind the end of a file that was cut short kills the process. A file that does not exist is no error.
func verifyLogFile(path string) error {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if info.Size() == 0 {
		return errors.New("it is empty")
	}
	pages, pageSize, err := readExtent(file)
	if err != nil {
		return err
	}
	if need := int64(pages) * int64(pageSize); info.Size() < need {
		return fmt.Errorf("it is cut short: %d bytes of at least %d", info.Size(), need)
	}
	return verifyPages(path)
}

// readExtent returns the number and size of the pages of a file, by its newest meta page that is intact.
func readExtent(file io.ReaderAt) (pages uint64, pageSize uint32, err error) {
	newest, found := uint64(0), false
	page := make([]byte, pageHeaderBytes+metaBytes)
	// The second meta page follows one page after the first. The page size stands in the first, which may be damaged, so
	// all sizes are tried.
	for size := int64(minPageBytes); size <= maxPageBytes; size *= 2 {
		for n := range int64(metaPages) {
			if _, err := file.ReadAt(page, n*size); err != nil {
				continue
			}
			meta := page[pageHeaderBytes:]
			checksum := fnv.New64a()
			checksum.Write(meta[:checksummedBytes])
			if binary.NativeEndian.Uint32(meta) != boltMagic || binary.NativeEndian.Uint64(meta[checksummedBytes:]) != checksum.Sum64() {
				continue
			}
			if transaction := binary.NativeEndian.Uint64(meta[metaTransaction:]); !found || transaction > newest {
				found, newest = true, transaction
				pageSize, pages = binary.NativeEndian.Uint32(meta[metaPageSize:]), binary.NativeEndian.Uint64(meta[metaPageCount:])
			}
		}
	}
	if !found || pageSize < minPageBytes || pageSize > maxPageBytes {
		return 0, 0, errors.New("no page of it says what it holds")
	}
	return pages, pageSize, nil
}

// verifyPages has bbolt check every page, and returns the first error.
func verifyPages(path string) (err error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: boltOpenTimeout, ReadOnly: true})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil // another process has locked the file, and the next open reports that
	}
	if err != nil {
		return err
	}
	defer func() {
		// bbolt panics at pages that contradict each other.
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%v", cause)
		}
	}()
	defer db.Close()
	return db.View(func(tx *bbolt.Tx) (first error) {
		for err := range tx.Check() { // to the end: bbolt's goroutine sends until the channel is drained
			if first == nil {
				first = err
			}
		}
		return first
	})
}
