package clustertest

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"path/filepath"

	"frostshift/internal/gateway"
)

// Team is a team with a contract: requests name it by its account.
type Team struct {
	Name  string
	Rate  float64 // seconds of work a second, over all gateways; 0: none
	Share float64
	Mode  string // limit_mode; "": the default
}

// contracts writes the teams' contracts and has the shape name them.
func (w *World) contracts(s Setup) error {
	dir := filepath.Join(s.Dir, "contracts")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	for _, t := range s.Teams {
		text := fmt.Sprintf("team = %q\naccount = %q\nshare = %v\nrate = %v\nburst = \"500ms\"\n", t.Name, t.Name, t.Share, t.Rate)
		if t.Mode != "" {
			text += fmt.Sprintf("limit_mode = %q\n", t.Mode)
		}
		if err := os.WriteFile(filepath.Join(dir, t.Name+".toml"), []byte(text+"[[class]]\nname = \"work\"\n"), 0o600); err != nil {
			return err
		}
	}
	w.Shape.More += fmt.Sprintf("\n[contracts]\ndir = %q\n", dir)
	if s.Lease > 0 {
		w.Shape.More += fmt.Sprintf("\n[quota]\nlease = %q\n", s.Lease)
	}
	return nil
}

// Quota asks a process for its part in limits of the fleet.
func (p *Process) Quota(ctx context.Context) (s gateway.QuotaStatus, err error) {
	err = p.read(ctx, "/quota?all=1", &s)
	return s, err
}

// Rights is how processes hold one team's limit, asked one after another: what moved meanwhile may
// count twice or not at all.
type Rights struct {
	Here    []float64 // by process, as parts of the limit; 0 for one that does not answer
	InForce float64
	Served  float64 // of what is wanted, or of the limit where that is less
}

// RightsOf asks processes for a team's rights at the pool of Shape.
func RightsOf(ctx context.Context, list []*Process, team string) (r Rights) {
	r.Here = make([]float64, len(list))
	got, wanted := 0.0, 0.0
	for i, p := range list {
		s, err := p.Quota(ctx)
		if err != nil {
			continue
		}
		for _, l := range s.Limits {
			if l.Name == gateway.TeamLimit("hosts", team) {
				r.Here[i] = l.Here / l.Amount
				r.InForce += r.Here[i]
				got += min(l.Here, l.Wanted) / l.Amount
				wanted += l.Wanted / l.Amount
			}
		}
	}
	if most := min(wanted, 1); most > 0 {
		r.Served = got / most
	}
	return r
}

// KeyRightsOf asks processes for what they have of the first limit by key that a request for a path
// meets, one after another.
func KeyRightsOf(ctx context.Context, list []*Process, path string) (r Rights) {
	r.Here = make([]float64, len(list))
	for i, p := range list {
		var e gateway.LimitsExplained
		if err := p.read(ctx, "/limits/explain?"+url.Values{"url": {"http://x" + path}, "method": {"GET"}}.Encode(), &e); err != nil {
			continue
		}
		for _, s := range e.Rules {
			if s.About {
				r.Here[i] = s.Part
				r.InForce += s.Part
				break
			}
		}
	}
	return r
}

// Limits asks a process for its limits by key.
func (p *Process) Limits(ctx context.Context) (s gateway.LimitsStatus, err error) {
	err = p.read(ctx, "/limits", &s)
	return s, err
}
