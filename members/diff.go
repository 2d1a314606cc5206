package members

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Difference is something on which pictures disagree.
type Difference struct {
	What   string   `json:"what"`           // such as "epoch", or "g3"
	Groups []Saying `json:"groups"`         // who says what, the largest group first
	Belief string   `json:"belief"`         // the most likely cause
	Name   string   `json:"name,omitempty"` // member concerned
}

// Saying is what a group of pictures says.
type Saying struct {
	Says string   `json:"says"`
	By   []string `json:"by"`
}

// Differences returns the differences between pictures of a site, except for times.
func Differences(pictures []Picture) (list []Difference) {
	compare := func(what, name, belief string, say func(*Picture) string) {
		var groups []Saying
		for i := range pictures {
			p := &pictures[i]
			text := say(p)
			k := slices.IndexFunc(groups, func(g Saying) bool { return g.Says == text })
			if k < 0 {
				groups = append(groups, Saying{Says: text})
				k = len(groups) - 1
			}
			groups[k].By = append(groups[k].By, p.Self)
		}
		if len(groups) < 2 {
			return
		}
		for i := range groups {
			slices.Sort(groups[i].By)
		}
		slices.SortStableFunc(groups, func(a, b Saying) int {
			if d := len(b.By) - len(a.By); d != 0 {
				return d
			}
			return strings.Compare(a.Says, b.Says)
		})
		list = append(list, Difference{what, groups, belief, name})
	}
	compare("roster", "", "one has not heard of the newest roster yet; two sums of one epoch are two rosters, and need a higher epoch",
		func(p *Picture) string {
			return fmt.Sprintf("epoch %d, sum %016x, %d members", p.Epoch, p.Sum, p.Belong)
		})
	names := map[string]bool{}
	for _, p := range pictures {
		for _, v := range p.Members {
			names[v.Name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		compare(name, name, "a way between gateways is cut, or news of it is under way", func(p *Picture) string {
			i := slices.IndexFunc(p.Members, func(v View) bool { return v.Name == name })
			if i < 0 {
				return "not known"
			}
			v := &p.Members[i]
			if !v.State.There() {
				return "not there"
			}
			return fmt.Sprintf("there, life %d", v.Life)
		})
	}
	compare("verdict", "", "each part of a cut site has its own; one that slept or has just started is unsure", func(p *Picture) string { return p.Verdict.String() })
	return list
}
