package members

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"elderyard/internal/golden"
)

// The files in testdata have the formats that gateways, agents and the operators' tool of all versions store, send and
// print. They were written by the first version with the value, and never change. A new field gets a golden file of its
// own beside that of the older versions.

func goldenRoster() Roster {
	return Roster{Epoch: 7, Members: []Member{{Name: "g0", Since: 1}, {Name: "g-1_b.c", Since: 7}}}
}

func goldenView() View {
	return View{
		Version:       1 << 60,
		At:            90 * time.Second,
		Self:          "g0",
		Incarnation:   1<<60 + 3,
		Verdict:       Majority,
		Since:         80 * time.Second,
		Reason:        "2 of 3 are heard",
		Epoch:         7,
		Sum:           1<<64 - 1,
		RosterSize:    3,
		SafeCount:     4,
		LikelyCount:   2,
		QuotaDivisor:  5,
		Dropped:       6,
		SupersededBy:  1<<60 + 4,
		UnawareMember: "g2",
		LastAnswer:    89 * time.Second,
		Members: []MemberView{{
			Name:                "g0",
			Self:                true,
			IsMember:            true,
			Incarnation:         1<<60 + 3,
			State:               StateSuspect,
			Since:               time.Second,
			LastAnswer:          89 * time.Second,
			Epoch:               6,
			EarlierIncarnations: 1,
			Address:             "127.0.0.2:7000",
			AdminAddress:        "127.0.0.2:8000",
		}},
	}
}

// The JSON of exchanged values does not change, and unknown fields are accepted.
func TestGoldenJSON(t *testing.T) {
	t.Run("roster", func(t *testing.T) { golden.ExtensibleJSON(t, "roster.json", goldenRoster()) })
	t.Run("view", func(t *testing.T) { golden.ExtensibleJSON(t, "picture.json", goldenView()) })
	t.Run("evidence", func(t *testing.T) {
		golden.ExtensibleJSON(t, "evidence.json", Evidence{At: 3 * time.Second, Name: "g1", Incarnation: 1<<60 + 5, What: "did not answer a probe", By: "g0"})
	})
	t.Run("difference", func(t *testing.T) {
		golden.ExtensibleJSON(t, "difference.json", Difference{What: "g1", Groups: []ViewGroup{{Value: "not there", By: []string{"g0", "g2"}}},
			LikelyCause: "a way between gateways is cut, or news of it is under way", Name: "g1"})
	})
	t.Run("incarnation learned", func(t *testing.T) {
		golden.ExtensibleJSON(t, "life.json", IncarnationLearned{Name: "g1", Incarnation: 1<<60 + 5})
	})
}

// Zero values omit the keys with an omitempty option and have all others.
func TestGoldenJSONOfZeroValues(t *testing.T) {
	golden.JSONLines(t, "zero.jsonl", Roster{}, Member{}, View{}, MemberView{}, Evidence{}, Difference{}, ViewGroup{}, IncarnationLearned{})
}

// Agents write the roster file for their gateways, and operators write it by hand.
func TestGoldenRosterFile(t *testing.T) {
	want := goldenRoster()
	text, err := toml.Marshal(&want)
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, "roster.toml", text)
	var got Roster
	if err := toml.Unmarshal(text, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded to %+v (%v), want %+v", got, err, want)
	}
}

// Members compare their sums with sums that other versions computed.
func TestGoldenRosterSum(t *testing.T) {
	text := fmt.Appendf(nil, "%016x\n%016x\n", goldenRoster().Sum(), Roster{Epoch: 1, Members: []Member{{Name: "a"}}}.Sum())
	golden.File(t, "sums.txt", text)
}

// The names of states, verdicts and operations and the reasons of decisions appear in JSON that operators process.
func TestGoldenNames(t *testing.T) {
	var text []byte
	for s := StateUnknown; s <= StateLeft; s++ {
		encoded, err := s.MarshalText()
		var decoded State
		if err := decoded.UnmarshalText(encoded); err != nil || decoded != s {
			t.Errorf("%s: decoded to %v: %v", encoded, decoded, err)
		}
		text = fmt.Appendf(text, "state %s %v %v\n", encoded, err, s.Alive())
	}
	for v := Unsure; v <= Complete; v++ {
		encoded, err := v.MarshalText()
		var decoded Verdict
		if err := decoded.UnmarshalText(encoded); err != nil || decoded != v {
			t.Errorf("%s: decoded to %v: %v", encoded, decoded, err)
		}
		text = fmt.Appendf(text, "verdict %s %v\n", encoded, err)
	}
	for _, op := range Operations() {
		for v := Unsure; v <= Complete; v++ {
			allowed, reason := Allows(op, v)
			text = fmt.Appendf(text, "use %v while %v: %v, %s\n", op, v, allowed, reason)
		}
	}
	for _, err := range []error{new(State).UnmarshalText([]byte("x")), new(Verdict).UnmarshalText([]byte("x"))} {
		text = fmt.Appendf(text, "%v\n", err)
	}
	golden.File(t, "names.txt", text)
}

// The views, permissions and evidence of a machine do not change over a script of events that reaches every verdict,
// every reason and every text of evidence.
func TestGoldenScript(t *testing.T) {
	m := newTestMachine(t, rosterOf(4))
	var text []byte
	step := func(what string, events ...Event) {
		changed := false
		for _, ev := range events {
			changed = m.Handle(m.now, ev) || changed
		}
		view := m.View(m.now)
		allowed, reason := m.Allows(m.now, ExerciseLease)
		encoded, err := json.Marshal(struct {
			Step         string               `json:"step"`
			Changed      bool                 `json:"changed"`
			View         View                 `json:"picture"`
			Line         string               `json:"line"`
			Allowed      bool                 `json:"may"`
			Reason       string               `json:"why"`
			QuotaDivisor int                  `json:"share"`
			Senders      int                  `json:"senders"`
			Incarnations []IncarnationLearned `json:"lives"`
		}{what, changed, view, view.Line(m.now + seconds(1.234)), allowed, reason, m.QuotaDivisor(), m.Senders(), m.Incarnations()})
		if err != nil {
			t.Fatal(err)
		}
		text = append(append(text, encoded...), '\n')
	}
	alive := func(name string, incarnation Incarnation, r Roster) Alive {
		return Alive{Name: name, Incarnation: incarnation, Address: name + ":7000", AdminAddress: name + ":8000", Epoch: r.Epoch, Sum: r.Sum()}
	}
	first := m.Roster()
	step("start")
	m.advance(seconds(15))
	step("nobody has answered for long")
	step("g1 is alive, g2 answers", alive("g1", 100, first), Answered{"g2", 100}, Answered{"g1", 100})
	step("g3 is learned of", IncarnationLearned{"g3", 90}, IncarnationLearned{"g3", 89})
	m.advance(seconds(3), "g1", "g2")
	step("two of them answer for a while")
	step("g3 answers", alive("g3", 100, first), Answered{"g3", 100})
	m.advance(seconds(9), "g1", "g2", "g3")
	step("all answer for a while")
	step("g1 is suspected", Suspected{"g1", 100, "g2"})
	step("g1 denies it", Refuted{"g1", 100, "g2"})
	m.advance(seconds(13), "g2", "g3")
	step("nobody confirms the suspicion")
	step("g1 has failed", Failed{"g1", 100})
	step("g2 leaves", Left{"g2", 100}, alive("g2", 100, first), Answered{"g2", 100})
	step("g3 has failed", Failed{"g3", 100})
	m.now += seconds(20)
	step("asleep", Tick{})
	step("they answer again", Answered{"g1", 100}, Answered{"g3", 100}, alive("g2", 101, first), Answered{"g2", 101})
	m.advance(seconds(30), "g1", "g2", "g3")
	step("all answer for a while again")
	step("own probes fail", Suspected{"g1", 100, "g0"}, Suspected{"g2", 101, "g0"}, Suspected{"g3", 100, "g0"}, Suspected{"g1", 100, "g0"}, Suspected{"g2", 101, "g0"})
	m.advance(seconds(100), "g1", "g2", "g3")
	step("all answer once more")
	step("another roster of the epoch", RosterReceived{Roster{}.Next([]string{"g0", "x1"}), "x1"})
	step("a roster of the next epoch", RosterReceived{first.Next(append(memberNames(4), "g4")), "file"}, RosterReceived{first, "g1"})
	step("g1 starts again", alive("g1", 200, m.Roster()))
	step("the earlier g1 goes on", alive("g1", 100, first))
	step("the earlier g1 has failed", Failed{"g1", 100})
	m.advance(seconds(100), "g1", "g2", "g3")
	step("all but g4 answer for a while")
	step("two more have failed", Failed{"g1", 200}, Failed{"g2", 101})
	step("they answer after all", Answered{"g1", 200}, Answered{"g2", 101})
	step("an earlier life of this one", alive("g0", 99, first))
	step("that has failed", Failed{"g0", 99})
	step("a roster without this one", RosterReceived{m.Roster().Next([]string{"g1", "g2", "g3"}), "g3"})
	step("a roster with it again", RosterReceived{m.Roster().Next([]string{"g3", "g2", "g1", "g0"}), "g3"})
	step("all know of it", alive("g1", 200, m.Roster()), alive("g2", 101, m.Roster()), alive("g3", 100, m.Roster()))
	m.advance(seconds(200), "g1", "g2", "g3")
	step("all answer after long")
	before := m.View(m.now)
	step("a later life of this one", IncarnationLearned{"g0", 200})
	for _, v := range []any{m.Evidence("g0"), m.Evidence("g1"), m.Evidence(""), Differences([]View{before, goldenView(), m.View(m.now)})} {
		encoded, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		text = append(append(text, encoded...), '\n')
	}
	golden.File(t, "script.jsonl", text)
}
