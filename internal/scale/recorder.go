package scale

import (
	"context"
	"sync"
	"time"

	"elderyard/internal/wait"
)

// Recorder notes every second how many bytes each gateway has sent and received,
// for reports and records together.
type Recorder struct {
	fleet   *Fleet
	stop    context.CancelFunc
	running sync.WaitGroup
	samples [][]int64 // by second, then by gateway
}

const sampleEvery = time.Second

// StartRecorder begins to note.
func StartRecorder(f *Fleet) *Recorder {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Recorder{fleet: f, stop: cancel}
	r.running.Go(func() {
		for began := time.Now(); ctx.Err() == nil; {
			r.sample()
			next := began.Add(time.Duration(len(r.samples)) * sampleEvery)
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

// Stop ends the notes, and returns the mean of all gateways and the worst minute of
// any one, in bytes a second. Of a shorter time than a minute, the worst is that of
// the whole time.
func (r *Recorder) Stop() (mean, worstMinute float64) {
	r.stop()
	r.running.Wait()
	return rates(r.samples)
}

func rates(samples [][]int64) (mean, worstMinute float64) {
	seconds := len(samples) - 1
	if seconds < 1 {
		return 0, 0
	}
	window := min(seconds, int(time.Minute/sampleEvery))
	first, last := samples[0], samples[seconds]
	for i := range first {
		mean += float64(last[i]-first[i]) / float64(seconds) / float64(len(first))
		for end := window; end <= seconds; end++ {
			worstMinute = max(worstMinute, float64(samples[end][i]-samples[end-window][i])/float64(window))
		}
	}
	return mean, worstMinute
}
