package agent

import (
	"bufio"
	"context"
	"net"
	"path/filepath"
	"slices"
	"time"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/pki"
	"elderyard/internal/recordsync"
)

const (
	recordsFolder = "records"
	burstSeconds  = 4 // seconds of the byte rate that may be used at once
	// localServer is the server name under which a voter's copy calls the voter itself.
	localServer    = "local"
	localAddress   = localServer + ":80" // as an HTTP client dials it
	maxReasonBytes = 512                 // in a report
	ageResolution  = 100 * time.Millisecond
)

// openRecords opens this agent's copy of the records.
func (a *Agent) openRecords() (*recordsync.Follower, error) {
	return recordsync.Open(recordsync.Options{Name: a.config.Name, Servers: a.recordsServers(), Dir: filepath.Join(a.config.Dir, recordsFolder),
		BytesPerSecond: a.config.RecordBytes, BurstBytes: burstSeconds * a.config.RecordBytes,
		Dial: a.dialRecords, BaseURL: a.recordsURL, Log: a.log})
}

// recordsServers returns the voters in this agent's configuration. For a voter, it adds
// those that are in its store at the start, and the voter itself.
func (a *Agent) recordsServers() (servers []string) {
	add := func(address string) {
		if address != a.self.Address && !slices.Contains(servers, address) {
			servers = append(servers, address)
		}
	}
	for _, address := range a.config.Voters {
		add(address)
	}
	if a.store == nil {
		return servers
	}
	members, err := a.store.Members()
	if err != nil {
		a.log.Warn("failed to list voters; the copy of the records uses the configured ones", "error", err)
	}
	for _, m := range members {
		if m.Name != a.config.Name {
			add(m.Address)
		}
	}
	return append(servers, localServer)
}

// recordsURL returns the URL of a server without a path.
func (a *Agent) recordsURL(server string) string {
	if server == localServer {
		return "http://" + localServer
	}
	return a.url(server, "")
}

// dialRecords opens a connection to another agent, or an in-memory one to this agent.
func (a *Agent) dialRecords(ctx context.Context, _, address string) (net.Conn, error) {
	if address != localAddress {
		return a.port.dial(ctx, address)
	}
	client, server := net.Pipe()
	a.loopback.deliver(&identifiedConn{server, bufio.NewReader(server), caller{a.config.Name, pki.Agent}, func() {}})
	return client, nil
}

// recordsStatus returns the status of this agent's copy for a report, or nil if it has none.
func (a *Agent) recordsStatus() *agentapi.RecordsStatus {
	if a.records == nil {
		return nil
	}
	current := a.records.Status()
	status := &agentapi.RecordsStatus{State: current.State, Version: current.Version, Digest: current.Digest, Reason: current.Reason}
	if age, known := current.Age(time.Now()); known {
		seconds := age.Round(ageResolution).Seconds()
		status.AgeSeconds = &seconds
	}
	if status.Reason == "" {
		status.Reason = a.records.DiskError()
	}
	status.Reason = fleet.Truncate(status.Reason, maxReasonBytes)
	return status
}

// notifyRecordsHead passes the version of the site's records to the copy.
func (a *Agent) notifyRecordsHead(head *agentapi.RecordsHead) {
	if a.records != nil && head != nil {
		a.records.NotifyHead(head.Version)
	}
}

// staleRecordsLag returns the state of this agent's own copy, which is all that it knows
// without the leader.
func (a *Agent) staleRecordsLag(why string) any {
	lag := agentapi.RecordsLag{Stale: why, Agents: []agentapi.AgentRecords{}}
	if status := a.recordsStatus(); status != nil {
		at := time.Now().UTC()
		lag.Version, lag.Digest = status.Version, status.Digest
		lag.Agents = append(lag.Agents, agentapi.AgentRecords{Agent: a.self.Name, State: agentapi.RecordsUnknown, Status: *status, ReportedAt: &at})
	}
	return lag
}
