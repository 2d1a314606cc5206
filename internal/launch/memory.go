package launch

import "elderyard/internal/procfs"

const (
	programGrowth = 2 << 20 // bytes: of the program that are loaded later, and of the runtime outside its limit
	minHeapRatio  = 0.25    // of the memory limit, however large the program is
)

// heapLimit returns how much memory the runtime may use: the given ratio of the limit, but no more than the program
// itself leaves.
func heapLimit(limit, program int64, ratio float64) int64 {
	byRatio := int64(float64(limit) * ratio)
	left := limit - program - programGrowth
	return max(min(byRatio, left), int64(float64(limit)*minHeapRatio))
}

// programMemory returns the resident bytes of the program's own files, 0 if unknown. They count as the process's memory,
// but the runtime does not know of them.
func programMemory() int64 {
	fields, err := procfs.Fields("/proc/self/status")
	if err != nil {
		return 0
	}
	return fields["RssFile"] * procfs.Kilobyte
}
