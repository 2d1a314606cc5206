package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"elderyard/internal/strict"
)

// targetSeed separates the draws of targets from others of the site's seed.
const targetSeed = 0xfa017

// Fault is a fault to inject, for a while or for good.
type Fault struct {
	Kind    string        // name of a FaultKind
	At      time.Duration // from the start of the load
	For     time.Duration // 0: for good, or for as long as the kind takes by itself
	Targets []string      // names such as "n3" or "g0"; empty: Share of all
	Share   float64       // of the possible targets, at least one; 0: all
	Size    float64       // in the kind's unit; 0: the kind's default
	Plan    string        // of a surge
}

// check returns what makes a fault impossible on a site, nil if nothing does.
func (f *Fault) check(s *Site) *keyError {
	kind := faultKindNamed(f.Kind)
	if kind == nil {
		return unknownFaultKind(f.Kind)
	}
	for _, check := range []func(*Site, *faultKind) *keyError{
		f.checkTimes, f.checkShare, f.checkSize, f.checkScope, f.checkUnsupported, f.checkTargets,
	} {
		if err := check(s, kind); err != nil {
			return err
		}
	}
	return nil
}

func unknownFaultKind(name string) *keyError {
	var known []string
	for _, kind := range faultKinds {
		known = append(known, kind.name)
	}
	if near := strict.Closest(name, known); near != "" {
		return wrong("kind", "there is no fault %q; did you mean %q?", name, near)
	}
	return wrong("kind", "there is no fault %q; they are %s", name, strings.Join(known, ", "))
}

func (f *Fault) checkTimes(s *Site, kind *faultKind) *keyError {
	switch {
	case f.At < 0 || f.At >= s.For:
		return wrong("at", "%v is not within the %v of the load", f.At, s.For)
	case f.For < 0:
		return wrong("for", "%v is below 0", f.For)
	case kind.needsDuration && f.For == 0:
		return wrong("for", "%s needs a time", f.Kind)
	}
	return nil
}

// checkShare is written so that a share that is not a number fails.
func (f *Fault) checkShare(*Site, *faultKind) *keyError {
	switch {
	case !(f.Share >= 0 && f.Share <= 1):
		return wrong("share", "%g is not between 0 and 1", f.Share)
	case f.Share > 0 && len(f.Targets) > 0:
		return wrong("share", "targets are named, so no share can be asked for")
	}
	return nil
}

// checkSize is written so that a size that is not a number fails.
func (f *Fault) checkSize(_ *Site, kind *faultKind) *keyError {
	switch {
	case f.Size == 0:
		return nil
	case kind.unit == "":
		return wrong("size", "%s has none", f.Kind)
	case !(f.Size >= kind.minSize && f.Size <= kind.maxSize):
		return wrong("size", "%g is not between %g and %g %s", f.Size, kind.minSize, kind.maxSize, kind.unit)
	}
	return nil
}

// checkScope checks what the fault affects against what the site has.
func (f *Fault) checkScope(s *Site, kind *faultKind) *keyError {
	switch {
	case kind.scope != scopePlan && f.Plan != "":
		return wrong("plan", "%s strikes no plan", f.Kind)
	case kind.scope == scopePlan && planIndex(f.Plan) < 0:
		return wrong("plan", "there is no plan %q", f.Plan)
	case kind.scope == scopePeers && !s.Peers:
		return wrong("kind", "%s needs a site whose gateways know each other (peers)", f.Kind)
	case kind.scope == scopeCollector && !s.Export:
		return wrong("kind", "%s needs a site that exports", f.Kind)
	}
	return nil
}

// checkUnsupported rejects fields that the kind does not support.
func (f *Fault) checkUnsupported(_ *Site, kind *faultKind) *keyError {
	switch {
	case kind.instant && f.For != 0:
		return wrong("for", "%s has no length", f.Kind)
	case kind.untargeted && f.Share > 0:
		return wrong("share", "%s has no targets", f.Kind)
	case kind.untargeted && len(f.Targets) > 0:
		return wrong("targets", "%s has none", f.Kind)
	}
	return nil
}

func (f *Fault) checkTargets(s *Site, kind *faultKind) *keyError {
	for i, name := range f.Targets {
		if s.targetIndex(kind.scope, name) < 0 {
			return wrong("targets", "%q (number %d) is none of the site's %s", name, i, kind.targetPool())
		}
	}
	return nil
}

// targetPool returns the number of possible targets of a scope, and the prefix of their names. Faults of counter,
// registry and peers target the gateways that see them.
func (s *Site) targetPool(scope faultScope) (count int, prefix string) {
	if scope == scopeNode {
		return s.Nodes, "n"
	}
	return s.Gateways, "g"
}

// targetIndex returns the index of a target by name, -1 if there is none.
func (s *Site) targetIndex(scope faultScope, name string) int {
	count, prefix := s.targetPool(scope)
	for i := range count {
		if name == fmt.Sprint(prefix, i) {
			return i
		}
	}
	return -1
}

// targetNames returns the names of targets by index.
func (s *Site) targetNames(scope faultScope, targets []int) (names []string) {
	_, prefix := s.targetPool(scope)
	for _, i := range targets {
		names = append(names, fmt.Sprint(prefix, i))
	}
	return names
}

// planIndex returns the index of a plan by name, -1 if there is none.
func planIndex(name string) int {
	return slices.IndexFunc(planShapes, func(p planShape) bool { return p.name == name })
}

// targets returns the indices of a fault's targets, ascending unless they are named. A share of all is drawn from the
// site's seed and the fault's number.
func (f *Fault) targets(s *Site, number int) (list []int) {
	kind := faultKindNamed(f.Kind)
	if kind.untargeted {
		return nil
	}
	for _, name := range f.Targets {
		list = append(list, s.targetIndex(kind.scope, name))
	}
	if len(list) > 0 {
		return list
	}
	count, _ := s.targetPool(kind.scope)
	list = rand.New(rand.NewPCG(s.Seed^targetSeed, uint64(number))).Perm(count)
	if f.Share > 0 {
		list = list[:max(1, int(f.Share*float64(count)+0.5))]
	}
	slices.Sort(list)
	return list
}

// size returns the fault's size or its kind's default.
func (f *Fault) size() float64 {
	if f.Size != 0 {
		return f.Size
	}
	return faultKindNamed(f.Kind).defaultSize
}
