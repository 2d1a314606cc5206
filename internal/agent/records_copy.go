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
	burstSeconds  = 4 // of the budget that may be saved up
	// localServer is the name by which a voter's copy asks the voter itself.
	localServer    = "local"
	localAddress   = localServer + ":80" // as an HTTP client dials it
	maxReasonBytes = 512                 // bytes of the reason in a report
	ageResolution  = 100 * time.Millisecond
)

// openRecords opens this agent's copy of the records.
func (a *Agent) openRecords() (*recordsync.Follower, error) {
	return recordsync.Open(recordsync.Options{Name: a.config.Name, Servers: a.recordsServers(), Dir: filepath.Join(a.config.Dir, recordsFolder),
		BytesPerSecond: a.config.RecordBytes, BurstBytes: burstSeconds * a.config.RecordBytes,
		Dial: a.dialRecords, BaseURL: a.recordsURL, Log: a.log})
}

// recordsServers are the voters that this agent's file names; for a voter, those
// that it knows of at its start as well, and itself.
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
		a.log.Warn("the copy of the records asks the voters of the file alone", "error", err)
	}
	for _, m := range members {
		if m.Name != a.config.Name {
			add(m.Address)
		}
	}
	return append(servers, localServer)
}

// recordsURL is where a server answers, without a path.
func (a *Agent) recordsURL(server string) string {
	if server == localServer {
		return "http://" + localServer
	}
	return a.url(server, "")
}

// dialRecords reaches another agent, or this one without the network.
func (a *Agent) dialRecords(ctx context.Context, _, address string) (net.Conn, error) {
	if address != localAddress {
		return a.port.dial(ctx, address)
	}
	near, far := net.Pipe()
	a.loopback.handOver(&identifiedConn{far, bufio.NewReader(far), caller{a.config.Name, pki.Agent}, func() {}})
	return near, nil
}

// recordsStatus is what this agent reports of its copy; nil: it keeps none.
func (a *Agent) recordsStatus() *agentapi.RecordsStatus {
	if a.records == nil {
		return nil
	}
	now := a.records.Status()
	status := &agentapi.RecordsStatus{State: now.State, Version: now.Version, Digest: now.Digest, Why: now.Reason}
	if age, known := now.Age(time.Now()); known {
		seconds := age.Round(ageResolution).Seconds()
		status.AgeSeconds = &seconds
	}
	if status.Why == "" {
		status.Why = a.records.DiskError()
	}
	status.Why = fleet.Truncate(status.Why, maxReasonBytes)
	return status
}

// receiveRecordsHead takes in what the leader tells of the site's records.
func (a *Agent) receiveRecordsHead(head *agentapi.RecordsHead) {
	if a.records != nil && head != nil {
		a.records.NotifyHead(head.Version)
	}
}

// staleRecordsLag is what this agent knows by itself.
func (a *Agent) staleRecordsLag(why string) any {
	lag := agentapi.RecordsLag{Stale: why, Agents: []agentapi.AgentRecords{}}
	if status := a.recordsStatus(); status != nil {
		at := time.Now().UTC()
		lag.Version, lag.Digest = status.Version, status.Digest
		lag.Agents = append(lag.Agents, agentapi.AgentRecords{Agent: a.self.Name, State: agentapi.RecordsUnknown, Status: *status, ReportedAt: &at})
	}
	return lag
}
