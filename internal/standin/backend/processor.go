package backend

import (
	"sync"
	"time"
)

// rateInterval is how often the speed of a processor is updated while it warms up.
const rateInterval = 100 * time.Millisecond

// processor simulates a few cores that run jobs in order of arrival. If its speed changes while jobs run, the rest of
// their work continues at the new speed.
type processor struct {
	cores      int
	maxWaiting int // waiting jobs, at most

	mu      sync.Mutex
	rate    float64 // seconds of work that a core completes per second
	running map[*job]struct{}
	waiting []*job
}

// job is work for a processor.
type job struct {
	work  float64 // remaining seconds
	since time.Time
	timer *time.Timer
	done  func() // called once when the work is complete; not after cancel or clear
	ended bool
	ran   bool // its work was completed
}

func newProcessor(cores, maxWaiting int, rate float64) *processor {
	return &processor{cores: cores, maxWaiting: maxWaiting, rate: rate, running: map[*job]struct{}{}}
}

// add starts or queues a job, or returns false if the queue is full.
func (p *processor) add(j *job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case len(p.running) < p.cores:
		p.startLocked(j)
	case len(p.waiting) < p.maxWaiting:
		p.waiting = append(p.waiting, j)
	default:
		return false
	}
	return true
}

func (p *processor) startLocked(j *job) {
	p.running[j] = struct{}{}
	p.startTimerLocked(j)
}

// startTimerLocked sets the timer for the end of a running job.
func (p *processor) startTimerLocked(j *job) {
	j.since = time.Now()
	if p.rate <= 0 {
		return // setRate sets the timer
	}
	j.timer = time.AfterFunc(time.Duration(j.work/p.rate*float64(time.Second)), func() { p.finish(j) })
}

// stopTimerLocked stops a running job's timer and subtracts the work done since it was set.
func (p *processor) stopTimerLocked(j *job) {
	if j.timer != nil {
		j.timer.Stop()
		j.timer = nil
	}
	now := time.Now()
	j.work -= now.Sub(j.since).Seconds() * p.rate
	j.since = now
}

func (p *processor) finish(j *job) {
	p.mu.Lock()
	if _, running := p.running[j]; !running || j.ended || j.timer == nil {
		p.mu.Unlock()
		return
	}
	p.stopTimerLocked(j)
	if j.work > 1e-6 {
		p.startTimerLocked(j) // the timer was set at another speed
		p.mu.Unlock()
		return
	}
	j.ran = true
	p.endLocked(j)
	p.mu.Unlock()
	j.done()
}

func (p *processor) endLocked(j *job) {
	j.ended = true
	delete(p.running, j)
	for len(p.running) < p.cores && len(p.waiting) > 0 {
		next := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.startLocked(next)
	}
}

// cancel cancels a job, and returns true if its work was not completed. A job that clear has dropped must count as not
// run, although it has ended: otherwise the record would show an effect for a request that died with its backend.
func (p *processor) cancel(j *job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.ended {
		return !j.ran
	}
	j.ended = true
	for i, w := range p.waiting {
		if w == j {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return true
		}
	}
	if j.timer != nil {
		j.timer.Stop()
	}
	p.endLocked(j)
	return true
}

// setRate changes the speed of all cores; at 0 no work progresses.
func (p *processor) setRate(rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rate == p.rate {
		return
	}
	for j := range p.running {
		p.stopTimerLocked(j)
	}
	p.rate = rate
	for j := range p.running {
		p.startTimerLocked(j)
	}
}

// load returns how many jobs are running or queued, and how many of them are queued.
func (p *processor) load() (inFlight, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.running) + len(p.waiting), len(p.waiting)
}

// clear drops all jobs.
func (p *processor) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range p.waiting {
		j.ended = true
	}
	p.waiting = nil
	for j := range p.running {
		j.ended = true
		if j.timer != nil {
			j.timer.Stop()
		}
		delete(p.running, j)
	}
}
