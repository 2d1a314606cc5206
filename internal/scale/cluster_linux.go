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
	configFile  = "agent.toml"
	socketFile  = "agent.sock"
	startWithin = time.Minute
	pollEvery   = 50 * time.Millisecond
)

// ClusterOptions describe the control machines of a site.
type ClusterOptions struct {
	Program   string // elderctl
	Dir       string // folder of all processes; a short path, since that of a socket is bounded
	Voters    int
	Replicas  int            // further control machines without a vote
	Heartbeat time.Duration  // 0: the agent's default
	Settle    time.Duration  // 0: the agent's default
	Extra     map[string]any // further keys of each agent's file
}

// Cluster is the control machines of a site, each a process of its own.
type Cluster struct {
	Processes []*ControlProcess // the founder first
}

// StartCluster founds a site and adds the other voters, one by one. On an error
// nothing is left running.
func StartCluster(ctx context.Context, o ClusterOptions) (_ *Cluster, err error) {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
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
			return nil, fmt.Errorf("cluster: %s joins: %w", p.Name, err)
		}
	}
	return c, nil
}

// add prepares one more process.
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

// join makes a started process a voter, or a replica without a vote, and waits
// until all have noted it.
func (c *Cluster) join(ctx context.Context, p *ControlProcess, votes bool) error {
	founder := c.Processes[0]
	if p == founder {
		return c.AwaitLeader(ctx)
	}
	add := founder.Client.AddMember
	if !votes {
		add = founder.Client.AddNonVoter
	}
	return until(ctx, func() error {
		change, err := add(ctx, agentapi.ChangeRequest{Name: p.Name, Address: p.Address})
		if err == nil && len(change.Behind) > 0 {
			err = fmt.Errorf("%v have yet to note it", change.Behind)
		}
		return err
	})
}

// AwaitLeader waits until a running process answers with the site's present state.
func (c *Cluster) AwaitLeader(ctx context.Context) error {
	return until(ctx, func() error {
		_, err := c.Status(ctx)
		return err
	})
}

// errNoLeader says that no running process knows the site's present state.
var errNoLeader = errors.New("no leader")

// Status asks the running processes for the site's state, until one has it.
func (c *Cluster) Status(ctx context.Context) (agentapi.Status, error) {
	last := error(errNoLeader)
	for _, p := range c.Processes {
		if !p.Running() {
			continue
		}
		status, err := p.Client.Status(ctx)
		if err == nil && status.Stale == "" {
			return status, nil
		}
		if err == nil {
			err = fmt.Errorf("%w: %s says %s", errNoLeader, p.Name, status.Stale)
		}
		last = err
	}
	return agentapi.Status{}, last
}

// Leader returns the process that leads, and those that run and do not.
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
		return nil, nil, fmt.Errorf("%w: %q leads", errNoLeader, status.Leader)
	}
	return leader, others, nil
}

// Addresses of all processes, whether they run or not.
func (c *Cluster) Addresses() []string {
	var list []string
	for _, p := range c.Processes {
		list = append(list, p.Address)
	}
	return list
}

// Stop ends all processes that run.
func (c *Cluster) Stop() error {
	var failed []error
	for _, p := range c.Processes {
		if p.Running() {
			failed = append(failed, p.Stop())
		}
		if p.Client != nil {
			p.Client.Close()
		}
	}
	return errors.Join(failed...)
}

// until repeats a step until it succeeds, and returns its last error when ctx ends.
func until(ctx context.Context, step func() error) error {
	for {
		err := step()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		wait.For(ctx, pollEvery)
	}
}
