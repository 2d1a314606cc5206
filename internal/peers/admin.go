package peers

import (
	"encoding/json"
	"net/http"
	"time"

	"elderyard/members"
)

// Paths of the admin interface. StatusPath returns a Status. EvidencePath returns an EvidenceReport on the member in
// the query parameter name, or on all members without it.
const (
	StatusPath   = "/_peers"
	EvidencePath = "/_peers/why"
)

// Status is the response at StatusPath.
type Status struct {
	Version     int                   `json:"version"`
	Site        string                `json:"site"`
	Clock       time.Time             `json:"clock"` // wall clock of the process
	View        members.View          `json:"picture"`
	Permissions []OperationPermission `json:"may"`
	Traffic     Traffic               `json:"traffic"`
}

// OperationPermission states whether an operation is allowed now, and the reason.
type OperationPermission struct {
	Operation string `json:"use"`
	Allowed   bool   `json:"may"`
	Reason    string `json:"why"`
}

// EvidenceReport is the response at EvidencePath.
type EvidenceReport struct {
	Self     string             `json:"self"`
	At       members.Time       `json:"at_ns"` // now, on the clock of the process
	Evidence []members.Evidence `json:"evidence"`
}

// Status returns the current status of this process, for operators.
func (p *Peers) Status() Status {
	status := Status{Version: protocolVersion, Site: p.settings.Site, Clock: time.Now().UTC(), View: p.View(), Traffic: p.Traffic()}
	for _, op := range members.Operations() {
		allowed, reason := p.Allows(op)
		status.Permissions = append(status.Permissions, OperationPermission{op.String(), allowed, reason})
	}
	return status
}

// Summary returns the latest view as one line of text, with ages relative to now.
func (p *Peers) Summary() string {
	view := p.View()
	return "peers: " + view.Line(p.clock.now())
}

// AdminHandler returns the handler of StatusPath and EvidencePath. Both respond to GET with JSON.
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

// writeJSON responds with a JSON value and a newline.
func writeJSON(w http.ResponseWriter, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(text, '\n'))
}
