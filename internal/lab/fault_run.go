package lab

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"elderyard/internal/wait"
)

// Fault injects a fault now; its At is ignored. The fault ends after its For, or with the run.
func (l *Lab) Fault(f Fault) error {
	f.At = 0
	if err := f.check(&l.site); err != nil {
		return fmt.Errorf("fault %s: %w", f.Kind, err)
	}
	if f.Kind == "surge" {
		return errors.New("fault surge: it is drawn into the timeline before the start")
	}
	l.mu.Lock()
	l.faults++
	number := l.faults + len(l.site.Faults)
	l.mu.Unlock()
	return l.startFault(l.ctx, &f, number)
}

// runScriptedFaults injects the site's faults at their times.
func (l *Lab) runScriptedFaults(ctx context.Context, start time.Time) {
	order := make([]int, len(l.site.Faults))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return int(l.site.Faults[a].At - l.site.Faults[b].At) })
	for _, i := range order {
		f := &l.site.Faults[i]
		if !wait.Until(ctx, start.Add(f.At)) {
			return
		}
		if f.Kind == "surge" {
			l.announceFault(f, "")
			continue
		}
		l.wg.Go(func() {
			if err := l.startFault(ctx, f, i); err != nil && ctx.Err() == nil {
				l.addError(fmt.Errorf("fault %s: %w", f.Kind, err))
			}
		})
	}
}

// startFault begins a fault and arranges its end.
func (l *Lab) startFault(ctx context.Context, f *Fault, number int) error {
	kind := faultKindNamed(f.Kind)
	targets := f.targets(&l.site, number)
	l.announceFault(f, strings.Join(l.site.targetNames(kind.scope, targets), " "))
	undo, err := kind.apply(ctx, l, f, targets)
	if err != nil || undo == nil {
		return err
	}
	if f.For == 0 {
		l.undoAtEnd(undo)
		return nil
	}
	l.wg.Go(func() {
		wait.For(ctx, f.For)
		if err := undo(); err != nil && ctx.Err() == nil {
			l.addError(fmt.Errorf("end of fault %s: %w", f.Kind, err))
		}
	})
	return nil
}

// announceFault logs a fault and adds it to the active ones.
func (l *Lab) announceFault(f *Fault, targets string) {
	text := f.Kind
	if targets != "" {
		text += " " + targets
	}
	if f.Plan != "" {
		text += " " + f.Plan
	}
	if f.Size != 0 {
		text += fmt.Sprintf(" %g", f.Size)
	}
	instant := faultKindNamed(f.Kind).instant
	l.site.Log("fault: %s%s", text, durationText(f.For, instant))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = append(l.active, activeFault{
		text:      text,
		until:     time.Now().Add(max(f.For, time.Second)),
		permanent: f.For == 0 && !instant,
	})
}

func durationText(d time.Duration, instant bool) string {
	switch {
	case instant:
		return ""
	case d > 0:
		return ", for " + d.String()
	}
	return ", for good"
}

// runAfter calls do after a time, unless ctx ends first.
func (l *Lab) runAfter(ctx context.Context, delay time.Duration, do func()) {
	l.wg.Go(func() {
		if wait.For(ctx, delay) {
			do()
		}
	})
}

// runUntilUndone runs a function whose context ends when the returned function is called.
func (l *Lab) runUntilUndone(ctx context.Context, run func(ctx context.Context)) (undo func() error) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	l.wg.Go(func() {
		defer close(ended)
		run(ctx)
	})
	return func() error {
		cancel()
		<-ended
		return nil
	}
}

// undoAll returns a function that calls all of a list and joins their errors.
func undoAll(list []func() error) func() error {
	return func() error {
		var errs []error
		for _, undo := range list {
			errs = append(errs, undo())
		}
		return errors.Join(errs...)
	}
}
