package members

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
)

// Limits of a machine's state. They bound its memory regardless of the messages that peers send.
const (
	MaxRosterSize = 512 // members
	MaxNameBytes  = 64  // short, since every datagram contains names

	maxNonMembers          = 64  // tracked names outside the roster
	maxEarlierIncarnations = 4   // tracked earlier incarnations of one name
	maxEvidence            = 512 // entries; the oldest are dropped
)

// Member is one member of a roster.
type Member struct {
	Name  string `toml:"name" json:"name" doc:"name of a gateway (needed)"`
	Since uint64 `toml:"since" json:"since,omitempty" doc:"epoch in which it was added; 0, the default: it was there from the start"`
}

// Roster is the list of a site's members. Epochs only increase: of two rosters, the one with the higher epoch is valid.
type Roster struct {
	Epoch   uint64   `toml:"epoch" json:"epoch" doc:"number of this roster, above that of each one before (needed)"`
	Members []Member `toml:"member" json:"members" doc:"who belongs (needed)"`
}

// Sorted returns the roster with its members in order of name.
func (r Roster) Sorted() Roster {
	r.Members = slices.Clone(r.Members)
	slices.SortFunc(r.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return r
}

// Check returns nil for a valid roster, otherwise an error and the key of the offending value in the roster's file.
func (r Roster) Check() (key string, err error) {
	switch {
	case r.Epoch == 0:
		return "epoch", errors.New("it is 0 or missing; the first is 1")
	case len(r.Members) == 0:
		return "member", errors.New("there is none")
	case len(r.Members) > MaxRosterSize:
		return "member", fmt.Errorf("there are %d, and %d may be", len(r.Members), MaxRosterSize)
	}
	firstIndex := map[string]int{}
	for i, m := range r.Members {
		key := fmt.Sprintf("member[%d].name", i)
		if err := CheckName(m.Name); err != nil {
			return key, err
		}
		if first, duplicate := firstIndex[m.Name]; duplicate {
			return key, fmt.Errorf("%q stands twice, first as member[%d]", m.Name, first)
		}
		firstIndex[m.Name] = i
		if m.Since > r.Epoch {
			return fmt.Sprintf("member[%d].since", i), fmt.Errorf("%s was added in epoch %d, and this is epoch %d", m.Name, m.Since, r.Epoch)
		}
	}
	return "", nil
}

// CheckName returns an error that quotes the name unless it is a valid member name.
func CheckName(name string) error {
	if name == "" || len(name) > MaxNameBytes || !HasOnlyNameCharacters(name) {
		return fmt.Errorf("%.80q: a name has letters, digits, '-', '_' and '.', 1 to %d of them", name, MaxNameBytes)
	}
	return nil
}

// HasOnlyNameCharacters reports whether a text has only characters that are allowed in names.
func HasOnlyNameCharacters(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.')
	})
}

// Has reports whether a name is a member of the roster.
func (r Roster) Has(name string) bool {
	return slices.ContainsFunc(r.Members, func(m Member) bool { return m.Name == name })
}

// Sum returns a hash of the roster that does not depend on the order of members. It distinguishes different rosters of
// one epoch.
func (r Roster) Sum() uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d", r.Epoch)
	for _, m := range r.Sorted().Members {
		fmt.Fprintf(h, " %s %d", m.Name, m.Since)
	}
	return h.Sum64()
}

// Next returns the roster of the next epoch with these names. New names are members since that epoch, others keep the
// epoch in which they were added.
func (r Roster) Next(names []string) Roster {
	next := Roster{Epoch: r.Epoch + 1}
	for _, name := range names {
		m := Member{Name: name, Since: next.Epoch}
		if i := slices.IndexFunc(r.Members, func(m Member) bool { return m.Name == name }); i >= 0 {
			m.Since = r.Members[i].Since
		} else if r.Epoch == 0 {
			m.Since = 0 // a member of the first roster: there are no earlier members that have to learn of it
		}
		next.Members = append(next.Members, m)
	}
	return next.Sorted()
}
