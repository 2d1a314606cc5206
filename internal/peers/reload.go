package peers

import (
	"os"
	"time"
)

// fileWatch tells whether a file has changed since the last look.
type fileWatch struct {
	size      int64
	modified  time.Time
	lastError string
}

func (f *fileWatch) changed(path string) bool {
	info, err := os.Stat(path)
	if err != nil {
		return f.lastError == "" // to be read, and the error told, once
	}
	if info.Size() == f.size && info.ModTime().Equal(f.modified) {
		return false
	}
	f.size, f.modified = info.Size(), info.ModTime()
	return true
}

func (f *fileWatch) report(log func(string, ...any), err error, consequence string) {
	f.lastError = ""
	if err != nil {
		f.lastError = err.Error()
		log("peers: %v; %s", err, consequence)
	}
}
