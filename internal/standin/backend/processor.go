package backend

import (
	"sync"
	"time"
)

// replan is how often a processor that is getting warm takes its new speed
// into account.
const replan = 100 * time.Millisecond

// processor runs jobs on a few cores, first come, first served. Its speed may
// change while jobs run: each keeps the work that it has left.
type processor struct {
	cores int
	bound int // jobs that wait

	mu      sync.Mutex
	rate    float64 // seconds of work a core does in a second
	running map[*job]struct{}
	waiting []*job
}

// job is work for a processor.
type job struct {
	work  float64 // seconds left
	since time.Time
	timer *time.Timer
	done  func() // called once, when the work is done; not after a cancel
	over  bool
	ran   bool // its work is done
}

func newProcessor(cores, bound int, rate float64) *processor {
	return &processor{cores: cores, bound: bound, rate: rate, running: map[*job]struct{}{}}
}

// add takes a job in, or tells that there is no room.
func (p *processor) add(j *job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case len(p.running) < p.cores:
		p.startLocked(j)
	case len(p.waiting) < p.bound:
		p.waiting = append(p.waiting, j)
	default:
		return false
	}
	return true
}

func (p *processor) startLocked(j *job) {
	p.running[j] = struct{}{}
	p.planLocked(j)
}

func (p *processor) planLocked(j *job) {
	j.since = time.Now()
	if p.rate <= 0 {
		return // setRate plans it anew
	}
	j.timer = time.AfterFunc(time.Duration(j.work/p.rate*float64(time.Second)), func() { p.finish(j) })
}

// bankLocked takes off what a running job has done so far.
func (p *processor) bankLocked(j *job) {
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
	if _, here := p.running[j]; !here || j.over || j.timer == nil {
		p.mu.Unlock()
		return
	}
	p.bankLocked(j)
	if j.work > 1e-6 {
		p.planLocked(j) // it was planned at another speed
		p.mu.Unlock()
		return
	}
	j.ran = true
	p.endLocked(j)
	p.mu.Unlock()
	j.done()
}

func (p *processor) endLocked(j *job) {
	j.over = true
	delete(p.running, j)
	for len(p.running) < p.cores && len(p.waiting) > 0 {
		next := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.startLocked(next)
	}
}

// cancel gives a job up. It tells whether that came before its work was done. Danger: a job that clear gave up is over
// as well, and has not run; were it taken for one that has, a killed backend would be on record with an effect.
func (p *processor) cancel(j *job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.over {
		return !j.ran
	}
	j.over = true
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

// setRate changes the speed of all cores; 0 stands still.
func (p *processor) setRate(rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rate == p.rate {
		return
	}
	for j := range p.running {
		p.bankLocked(j)
	}
	p.rate = rate
	for j := range p.running {
		p.planLocked(j)
	}
}

// load returns how many jobs are here, and how many of them wait.
func (p *processor) load() (held, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.running) + len(p.waiting), len(p.waiting)
}

// clear gives up all jobs.
func (p *processor) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range p.waiting {
		j.over = true
	}
	p.waiting = nil
	for j := range p.running {
		j.over = true
		if j.timer != nil {
			j.timer.Stop()
		}
		delete(p.running, j)
	}
}
