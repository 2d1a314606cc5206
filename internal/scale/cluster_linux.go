package scale

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"elderyard/internal/agentapi"
	"elderyard/internal/loopback"
	"elderyard/internal/wait"
)

const (
	configFile   = "agent.toml"
	socketFile   = "agent.sock"
	startTimeout = time.Minute
	pollInterval = 50 * time.Millisecond
)

// ClusterOptions configure the control machines of a site.
type ClusterOptions struct {
	Program   string // elderctl
	Dir       string // directory of all processes; its path must be short because the length of a socket path is limited
	Voters    int
	Replicas  int            // additional control machines without a vote
	Heartbeat time.Duration  // 0: the agent's default
	Settle    time.Duration  // 0: the agent's default
	Extra     map[string]any // additional keys of each agent's configuration file
}

// Cluster is the control machines of a site, each in its own process.
type Cluster struct {
	Processes []*ControlProcess // the process that bootstraps the site comes first
}

// StartCluster bootstraps a site and adds the other control machines one at a time. On an error it stops all
// processes that it has started.
func StartCluster(ctx context.Context, o ClusterOptions) (_ *Cluster, err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c := &Cluster{}
	defer func() {
		if err != nil {
			err = errors.Join(err, c.Stop())
		}
	}()
	for i := range o.Voters + o.Replicas {
		p, err := c.add(o, i)
		if err != nil {
			return nil, fmt.Errorf("cluster: %w", err)
		}
		if err := p.Start(); err != nil {
			return nil, fmt.Errorf("cluster: %w", err)
		}
		if err := c.join(ctx, p, i < o.Voters); err != nil {
			return nil, fmt.Errorf("cluster: add %s: %w", p.Name, err)
		}
	}
	return c, nil
}

// add writes the configuration of process i and appends it to the cluster without starting it.
func (c *Cluster) add(o ClusterOptions, i int) (*ControlProcess, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("control%d", i)
	p := &ControlProcess{Name: name, Address: address, program: o.Program, dir: filepath.Join(o.Dir, name)}
	config := map[string]any{"name": name, "dir": p.dir, "listen": address, "plain": true, "voter": true}
	if i > 0 {
		config["voters"] = c.Addresses()
	}
	timing := map[string]any{}
	if o.Heartbeat > 0 {
		timing["heartbeat"] = o.Heartbeat.String()
	}
	if o.Settle > 0 {
		timing["settle"] = o.Settle.String()
	}
	config["timing"] = timing
	for key, value := range o.Extra {
		config[key] = value
	}
	if err := p.writeConfig(config); err != nil {
		return nil, err
	}
	if p.Client, err = agentapi.NewClient(agentapi.Target{Socket: filepath.Join(p.dir, socketFile)}); err != nil {
		return nil, err
	}
	c.Processes = append(c.Processes, p)
	return p, nil
}

// join adds a started process as a voter, or as a replica without a vote, and waits until all members have
// recorded it.
func (c *Cluster) join(ctx context.Context, p *ControlProcess, voter bool) error {
	bootstrap := c.Processes[0]
	if p == bootstrap {
		return c.AwaitLeader(ctx)
	}
	add := bootstrap.Client.AddMember
	if !voter {
		add = bootstrap.Client.AddNonVoter
	}
	return pollUntil(ctx, func() error {
		change, err := add(ctx, agentapi.ChangeRequest{Name: p.Name, Address: p.Address})
		if err == nil && len(change.Behind) > 0 {
			err = fmt.Errorf("members %v have not recorded the change yet", change.Behind)
		}
		return err
	})
}

// AwaitLeader waits until a running process returns the current state of the site.
func (c *Cluster) AwaitLeader(ctx context.Context) error {
	return pollUntil(ctx, func() error {
		_, err := c.Status(ctx)
		return err
	})
}

// errNoLeader means that no running process has the current state of the site.
var errNoLeader = errors.New("no leader")

// Status queries the running processes in turn and returns the first status that is not stale.
func (c *Cluster) Status(ctx context.Context) (agentapi.Status, error) {
	lastErr := error(errNoLeader)
	for _, p := range c.Processes {
		if !p.Running() {
			continue
		}
		status, err := p.Client.Status(ctx)
		if err == nil && status.Stale == "" {
			return status, nil
		}
		if err == nil {
			err = fmt.Errorf("%w: status of %s is stale: %s", errNoLeader, p.Name, status.Stale)
		}
		lastErr = err
	}
	return agentapi.Status{}, lastErr
}

// Leader returns the leading process and the other running processes.
func (c *Cluster) Leader(ctx context.Context) (leader *ControlProcess, others []*ControlProcess, err error) {
	status, err := c.Status(ctx)
	if err != nil {
		return nil, nil, err
	}
	for _, p := range c.Processes {
		switch {
		case p.Name == status.Leader:
			leader = p
		case p.Running():
			others = append(others, p)
		}
	}
	if leader == nil {
		return nil, nil, fmt.Errorf("%w: leader %q is no process of the cluster", errNoLeader, status.Leader)
	}
	return leader, others, nil
}

// Addresses returns the addresses of all processes, running or not.
func (c *Cluster) Addresses() []string {
	var addresses []string
	for _, p := range c.Processes {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// Stop ends all running processes.
func (c *Cluster) Stop() error {
	var errs []error
	for _, p := range c.Processes {
		if p.Running() {
			errs = append(errs, p.Stop())
		}
		if p.Client != nil {
			p.Client.Close()
		}
	}
	return errors.Join(errs...)
}

// pollUntil calls step until it succeeds. When ctx ends, it returns the last error of step.
func pollUntil(ctx context.Context, step func() error) error {
	for {
		err := step()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		wait.For(ctx, pollInterval)
	}
}
