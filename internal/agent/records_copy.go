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
	burstSeconds  = 4 // of the budget that may be sent at once
	// localServer is the server name by which a voter's copy calls the voter itself.
	localServer    = "local"
	localAddress   = localServer + ":80" // as an HTTP client dials it
	maxReasonBytes = 512                 // of the reason in a report
	ageResolution  = 100 * time.Millisecond
)

// openRecords opens this agent's copy of the records.
func (a *Agent) openRecords() (*recordsync.Follower, error) {
	return recordsync.Open(recordsync.Options{Name: a.config.Name, Servers: a.recordsServers(), Dir: filepath.Join(a.config.Dir, recordsFolder),
		BytesPerSecond: a.config.RecordBytes, BurstBytes: burstSeconds * a.config.RecordBytes,
		Dial: a.dialRecords, BaseURL: a.recordsURL, Log: a.log})
}

// recordsServers returns the voters that this agent's file names; for a voter also those
// in its store at the start, and itself.
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
		a.log.Warn("failed to list voters, the copy of the records uses those of the file", "error", err)
	}
	for _, m := range members {
		if m.Name != a.config.Name {
			add(m.Address)
		}
	}
	return append(servers, localServer)
}

// recordsURL returns the URL of a server, without a path.
func (a *Agent) recordsURL(server string) string {
	if server == localServer {
		return "http://" + localServer
	}
	return a.url(server, "")
}

// dialRecords opens a connection to another agent, or to this one without the network.
func (a *Agent) dialRecords(ctx context.Context, _, address string) (net.Conn, error) {
	if address != localAddress {
		return a.port.dial(ctx, address)
	}
	near, far := net.Pipe()
	a.loopback.handOver(&identifiedConn{far, bufio.NewReader(far), caller{a.config.Name, pki.Agent}, func() {}})
	return near, nil
}

// recordsStatus returns the status of this agent's copy for a report; nil: it has none.
func (a *Agent) recordsStatus() *agentapi.RecordsStatus {
	if a.records == nil {
		return nil
	}
	now := a.records.Status()
	status := &agentapi.RecordsStatus{State: now.State, Version: now.Version, Digest: now.Digest, Reason: now.Reason}
	if age, known := now.Age(time.Now()); known {
		seconds := age.Round(ageResolution).Seconds()
		status.AgeSeconds = &seconds
	}
	if status.Reason == "" {
		status.Reason = a.records.DiskError()
	}
	status.Reason = fleet.Truncate(status.Reason, maxReasonBytes)
	return status
}

// receiveRecordsHead notifies the copy of the version of the site's records.
func (a *Agent) receiveRecordsHead(head *agentapi.RecordsHead) {
	if a.records != nil && head != nil {
		a.records.NotifyHead(head.Version)
	}
}

// staleRecordsLag returns what this agent knows without the leader: its own copy.
func (a *Agent) staleRecordsLag(why string) any {
	lag := agentapi.RecordsLag{Stale: why, Agents: []agentapi.AgentRecords{}}
	if status := a.recordsStatus(); status != nil {
		at := time.Now().UTC()
		lag.Version, lag.Digest = status.Version, status.Digest
		lag.Agents = append(lag.Agents, agentapi.AgentRecords{Agent: a.self.Name, State: agentapi.RecordsUnknown, Status: *status, ReportedAt: &at})
	}
	return lag
}
