package peers

import (
	"encoding/json"
	"net/http"
	"time"

	"elderyard/members"
)

// StatusPath is where a process's operators ask what it believes; EvidencePath, with name,
// what it learned of a member.
const (
	StatusPath   = "/_peers"
	EvidencePath = "/_peers/why"
)

// Status is what one process tells its operators.
type Status struct {
	Version     int                   `json:"version"`
	Site        string                `json:"site"`
	Clock       time.Time             `json:"clock"` // of the process, wall clock
	View        members.View          `json:"picture"`
	Permissions []OperationPermission `json:"may"`
	Traffic     Traffic               `json:"traffic"`
}

// OperationPermission is one use and whether it may be made of the picture.
type OperationPermission struct {
	Operation string `json:"use"`
	Allowed   bool   `json:"may"`
	Reason    string `json:"why"`
}

// EvidenceReport is what one process learned of a member.
type EvidenceReport struct {
	Self     string             `json:"self"`
	At       members.Time       `json:"at_ns"`
	Evidence []members.Evidence `json:"evidence"`
}

// Status is what this process tells at this moment.
func (p *Peers) Status() Status {
	a := Status{Version: protocolVersion, Site: p.settings.Site, Clock: time.Now().UTC(), View: p.View(), Traffic: p.Traffic()}
	for _, u := range members.Operations() {
		allowed, reason := p.Allows(u)
		a.Permissions = append(a.Permissions, OperationPermission{u.String(), allowed, reason})
	}
	return a
}

// Summary is one line of what this process believes, and how old that is.
func (p *Peers) Summary() string {
	view := p.View()
	return "peers: " + view.Line(p.clock.now())
}

// AdminHandler answers this process's operators.
func (p *Peers) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+StatusPath, func(w http.ResponseWriter, r *http.Request) { writeJSON(w, p.Status()) })
	mux.HandleFunc("GET "+EvidencePath, func(w http.ResponseWriter, r *http.Request) {
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
		writeJSON(w, EvidenceReport{p.settings.Self, p.clock.now(), list})
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(text, '\n'))
}
