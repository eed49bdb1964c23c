package faultinject

import (
	"bufio"
	"context"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// holdersEvery is how often processes are asked what they hold of their memory.
const holdersEvery = 500 * time.Millisecond

// memoryHeld is a line of /stats about what is held.
var memoryHeld = regexp.MustCompile(`^edge_gw_(memory|places)_held(?:_bytes)?\{holder="([^"]+)"\} (\S+)`)

// watchHolders asks the processes that have an address for operators what they hold, until a context ends.
func (p *trial) watchHolders(ctx context.Context) {
	tick := time.NewTicker(holdersEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		sums := map[string]float64{}
		for _, desk := range p.desks() {
			askHolders(ctx, desk, sums)
		}
		p.mu.Lock()
		for holder, held := range sums {
			p.holders[holder] = max(p.holders[holder], held)
		}
		p.mu.Unlock()
	}
}

// desks are the operators' addresses of the processes that run.
func (p *trial) desks() (list []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.running {
		if g.Desk != "" {
			list = append(list, g.Desk)
		}
	}
	return list
}

// askHolders adds what a process holds to sums: MiB of memory by holder, and places.
func askHolders(ctx context.Context, desk string, sums map[string]float64) {
	ctx, end := context.WithTimeout(ctx, time.Second)
	defer end()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+desk+"/stats", nil)
	if err != nil {
		return
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(request)
	if err != nil { // it ends, or has no time for it
		return
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		m := memoryHeld.FindStringSubmatch(strings.TrimSpace(lines.Text()))
		if m == nil {
			continue
		}
		held, err := strconv.ParseFloat(m[3], 64)
		if err != nil {
			continue
		}
		if m[1] == "memory" {
			held /= 1 << 20
		}
		sums[m[1]+" of "+m[2]] += held
	}
}
