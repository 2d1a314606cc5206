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

// boltOptions returns the options with which the log is opened.
func boltOptions() *bbolt.Options { return &bbolt.Options{Timeout: boltOpenTimeout} }

// Layout of the two meta pages at the start of a bbolt file.
const (
	boltMagic        = 0xED0CDAED
	pageHeaderBytes  = 16
	metaBytes        = 64
	metaPages        = 2
	minPageBytes     = 512
	maxPageBytes     = 64 << 10
	checksummedBytes = 56 // of the metadata, covered by its checksum
	metaPageSize     = 8  // offset of the page size in the metadata
	metaPageCount    = 40 // offset of the number of pages
	metaTransaction  = 48 // offset of the transaction ID
)

// verifyLogFile returns an error if a log file is damaged. It must run before bbolt maps the file into memory: a read
// from the mapping beyond the end of a truncated file kills the process. A missing file is not an error.
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

// readExtent returns the number and size of a file's pages, as stated by its newest intact meta page.
func readExtent(file io.ReaderAt) (pages uint64, pageSize uint32, err error) {
	newest, found := uint64(0), false
	page := make([]byte, pageHeaderBytes+metaBytes)
	// The second meta page is the page after the first. The page size is recorded in the first, which may be damaged,
	// so all sizes are tried.
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
		return 0, 0, errors.New("neither meta page is valid")
	}
	return pages, pageSize, nil
}

// verifyPages checks every page with bbolt, and returns the first error.
func verifyPages(path string) (err error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: boltOpenTimeout, ReadOnly: true})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil // another process has locked the file, which the open after this check reports
	}
	if err != nil {
		return err
	}
	defer func() {
		// bbolt panics on inconsistent pages.
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%v", cause)
		}
	}()
	defer db.Close()
	return db.View(func(tx *bbolt.Tx) (first error) {
		for err := range tx.Check() { // must be drained: bbolt's goroutine blocks otherwise
			if first == nil {
				first = err
			}
		}
		return first
	})
}
