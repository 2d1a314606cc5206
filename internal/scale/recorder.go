package scale

import (
	"context"
	"sync"
	"time"

	"elderyard/internal/wait"
)

// Recorder samples every second how many bytes each gateway has sent and received, for reports and records together.
type Recorder struct {
	fleet      *Fleet
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	samples    [][]int64 // bytes so far, by second, then by gateway
}

const sampleInterval = time.Second

// StartRecorder starts sampling the traffic of a fleet.
func StartRecorder(f *Fleet) *Recorder {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Recorder{fleet: f, stop: cancel}
	r.goroutines.Go(func() {
		for start := time.Now(); ctx.Err() == nil; {
			r.sample()
			next := start.Add(time.Duration(len(r.samples)) * sampleInterval)
			wait.For(ctx, time.Until(next))
		}
	})
	return r
}

func (r *Recorder) sample() {
	row := make([]int64, len(r.fleet.Gateways))
	for i, g := range r.fleet.Gateways {
		row[i] = g.Traffic.Total() + g.Records.Traffic.Total()
	}
	r.samples = append(r.samples, row)
}

// Stop ends sampling and returns the mean rate over all gateways and the highest rate of any gateway over a minute,
// both in bytes per second. If less than a minute was sampled, the highest rate is that over the whole time.
func (r *Recorder) Stop() (mean, worstMinute float64) {
	r.stop()
	r.goroutines.Wait()
	return rates(r.samples)
}

// rates returns the mean rate over all gateways and the highest rate of any gateway over a minute.
func rates(samples [][]int64) (mean, worstMinute float64) {
	seconds := len(samples) - 1
	if seconds < 1 {
		return 0, 0
	}
	window := min(seconds, int(time.Minute/sampleInterval))
	first, last := samples[0], samples[seconds]
	for i := range first {
		mean += float64(last[i]-first[i]) / float64(seconds) / float64(len(first))
		for end := window; end <= seconds; end++ {
			worstMinute = max(worstMinute, float64(samples[end][i]-samples[end-window][i])/float64(window))
		}
	}
	return mean, worstMinute
}
