package rig

import (
	"fmt"
	"os"
)

// Main runs a case in the folder that the first argument names, and exits with its status. The function returns
// whether the rule was broken; an error means that the case could not run.
func Main(run func(*Rig) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER")
		os.Exit(Unable)
	}
	r, err := New(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Unable)
	}
	broken, err := run(r)
	status, verdict := Held, "held"
	switch {
	case err != nil:
		status, verdict = Unable, "could not run: "+err.Error()
	case broken:
		status, verdict = Broken, "broken"
	}
	r.Log("verdict: %s", verdict)
	r.Close()
	fmt.Println(verdict)
	os.Exit(status)
}

// StartSite starts discovery, a counter, and the backends, which are listed as ready.
func (r *Rig) StartSite(backends []*Backend) (*Discovery, *Counter, error) {
	discovery, err := r.StartDiscovery()
	if err != nil {
		return nil, nil, err
	}
	counter, err := r.StartCounter()
	if err != nil {
		return nil, nil, err
	}
	for _, b := range backends {
		if err := b.Start(); err != nil {
			return nil, nil, err
		}
		discovery.Set(b.Instance)
	}
	return discovery, counter, nil
}
