package peers

import (
	"encoding/json"
	"net/http"
	"time"

	"elderyard/members"
)

// DeskPath is where a process's operators ask what it believes; WhyPath, with name,
// what it learned of a member.
const (
	DeskPath = "/_peers"
	WhyPath  = "/_peers/why"
)

// Answer is what one process tells its operators.
type Answer struct {
	Version int             `json:"version"`
	Site    string          `json:"site"`
	Clock   time.Time       `json:"clock"` // of the process, wall clock
	Picture members.Picture `json:"picture"`
	May     []Permitted     `json:"may"`
	Traffic Traffic         `json:"traffic"`
}

// Permitted is one use and whether it may be made of the picture.
type Permitted struct {
	Use string `json:"use"`
	May bool   `json:"may"`
	Why string `json:"why"`
}

// Why is what one process learned of a member.
type Why struct {
	Self     string             `json:"self"`
	At       members.Time       `json:"at_ns"`
	Evidence []members.Evidence `json:"evidence"`
}

// Answer is what this process tells at this moment.
func (p *Peers) Answer() Answer {
	a := Answer{Version: version, Site: p.set.Site, Clock: time.Now().UTC(), Picture: p.Picture(), Traffic: p.Traffic()}
	for _, u := range members.Uses() {
		may, why := p.May(u)
		a.May = append(a.May, Permitted{u.String(), may, why})
	}
	return a
}

// Believes is one line of what this process believes, and how old that is.
func (p *Peers) Believes() string {
	picture := p.Picture()
	return "peers: " + picture.Line(p.clock.now())
}

// Desk answers this process's operators.
func (p *Peers) Desk() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+DeskPath, func(w http.ResponseWriter, r *http.Request) { tell(w, p.Answer()) })
	mux.HandleFunc("GET "+WhyPath, func(w http.ResponseWriter, r *http.Request) {
		name := r.URL.Query().Get("name")
		if name != "" && members.CheckName(name) != nil {
			http.Error(w, "name: it is none of a member", http.StatusBadRequest)
			return
		}
		list, err := p.Evidence(r.Context(), name)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		tell(w, Why{p.set.Self, p.clock.now(), list})
	})
	return mux
}

func tell(w http.ResponseWriter, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(text, '\n'))
}
