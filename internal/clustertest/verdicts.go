package clustertest

import (
	"context"
	"net/http"
	"slices"

	"frostshift/internal/gateway"
	"frostshift/internal/override"
)

// Told asks a process what gateways have out at hosts.
func (p *Process) Told(ctx context.Context) (s gateway.LoadStatus, err error) {
	err = p.read(ctx, "/load", &s)
	return s, err
}

// Verdicts asks a process what gateways say of hosts.
func (p *Process) Verdicts(ctx context.Context) (s gateway.VerdictsStatus, err error) {
	err = p.read(ctx, "/verdicts", &s)
	return s, err
}

// Overrides asks a process what it holds of operators' overrides for the whole fleet.
func (p *Process) Overrides(ctx context.Context) (s gateway.OverridesStatus, err error) {
	err = p.read(ctx, "/overrides", &s)
	return s, err
}

// Word has an operator take a host out, or call it back, at all gateways, by a call to this process. It
// returns the status of the answer and what it says.
func (p *Process) Word(ctx context.Context, host string, out bool) (status int, text string, err error) {
	word := "ready"
	if out {
		word = "maint"
	}
	return p.call(ctx, http.MethodPost, "/hosts/"+host+"/"+word+"?fleet=1")
}

// Obeys says whether each of the processes does the same word on a host, out or not.
func Obeys(ctx context.Context, list []*Process, host string, out bool) bool {
	for _, p := range list {
		s, err := p.Overrides(ctx)
		if err != nil || !slices.ContainsFunc(s.Overrides, func(w override.Status) bool { return w.Host == host && w.Out == out && w.Holds }) {
			return false
		}
	}
	return true
}

// Held is how many of the processes hold a host down, and the most that any doubts it; one that does
// not answer holds nothing.
func Held(ctx context.Context, list []*Process, host string) (down int, doubt float64) {
	for _, p := range list {
		s, err := p.Verdicts(ctx)
		if err != nil {
			continue
		}
		for _, h := range s.Hosts {
			if h.Name == host {
				if doubt = max(doubt, h.Doubt); h.Down {
					down++
				}
			}
		}
	}
	return down, doubt
}
