package members

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Difference is a fact on which views disagree.
type Difference struct {
	What        string      `json:"what"`   // "roster", "verdict" or the name of a member
	Groups      []ViewGroup `json:"groups"` // largest first
	LikelyCause string      `json:"belief"`
	Name        string      `json:"name,omitempty"` // of the member; "" for the roster and the verdict
}

// ViewGroup is a group of views with the same value.
type ViewGroup struct {
	Value string   `json:"says"`
	By    []string `json:"by"`
}

// Differences returns the differences between views of a site, in a fixed order. Times are not compared.
func Differences(views []View) (list []Difference) {
	compare := func(what, name, likelyCause string, value func(*View) string) {
		var groups []ViewGroup
		for i := range views {
			view := &views[i]
			text := value(view)
			k := slices.IndexFunc(groups, func(g ViewGroup) bool { return g.Value == text })
			if k < 0 {
				groups = append(groups, ViewGroup{Value: text})
				k = len(groups) - 1
			}
			groups[k].By = append(groups[k].By, view.Self)
		}
		if len(groups) < 2 {
			return
		}
		for i := range groups {
			slices.Sort(groups[i].By)
		}
		slices.SortStableFunc(groups, func(a, b ViewGroup) int {
			if d := len(b.By) - len(a.By); d != 0 {
				return d
			}
			return strings.Compare(a.Value, b.Value)
		})
		list = append(list, Difference{what, groups, likelyCause, name})
	}
	compare("roster", "", "one has not heard of the newest roster yet; two sums of one epoch are two rosters, and need a higher epoch",
		func(view *View) string {
			return fmt.Sprintf("epoch %d, sum %016x, %d members", view.Epoch, view.Sum, view.RosterSize)
		})
	names := map[string]bool{}
	for _, view := range views {
		for _, v := range view.Members {
			names[v.Name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		compare(name, name, "a way between gateways is cut, or news of it is under way", func(view *View) string {
			i := slices.IndexFunc(view.Members, func(v MemberView) bool { return v.Name == name })
			if i < 0 {
				return "not known"
			}
			v := &view.Members[i]
			if !v.State.Alive() {
				return "not there"
			}
			return fmt.Sprintf("there, life %d", v.Incarnation)
		})
	}
	compare("verdict", "", "each part of a cut site has its own; one that slept or has just started is unsure", func(view *View) string { return view.Verdict.String() })
	return list
}
