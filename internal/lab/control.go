package lab

import (
	"context"
	"fmt"
)

// gatewayNames returns the names of all gateways, by rank.
func (l *Lab) gatewayNames() (names []string) {
	for _, g := range l.gateways {
		names = append(names, g.name)
	}
	return names
}

// gateway returns the gateway of that name.
func (l *Lab) gateway(name string) (*gatewayProcess, error) {
	for _, g := range l.gateways {
		if g.name == name {
			return g, nil
		}
	}
	return nil, fmt.Errorf("there is no gateway %s", name)
}

// Kill kills a gateway's process.
func (l *Lab) Kill(name string) error {
	g, err := l.gateway(name)
	if err != nil {
		return err
	}
	return l.killGateway(g)
}

// Start starts a gateway that is not running and waits until it is ready.
func (l *Lab) Start(ctx context.Context, name string) error {
	g, err := l.gateway(name)
	if err != nil {
		return err
	}
	return l.startGateway(ctx, g)
}

// Pause stops a gateway's process (SIGSTOP), or continues it.
func (l *Lab) Pause(name string, stopped bool) error {
	g, err := l.gateway(name)
	if err != nil {
		return err
	}
	return l.pause(g, stopped)
}

// Desk returns the address of a gateway's operator interface.
func (l *Lab) Desk(name string) (string, error) {
	g, err := l.gateway(name)
	if err != nil {
		return "", err
	}
	return g.desk, nil
}
