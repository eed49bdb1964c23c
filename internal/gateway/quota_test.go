package gateway

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/contract"
	"frostshift/internal/quota"
)

// A gateway's part in the fleet's limits follows its configuration, is shown to operators, is what
// schedulers go by, and ends before another process begins.
func TestRightsOfAGateway(t *testing.T) {
	dir := t.TempDir()
	write := func(rate string) {
		text := "team = \"bins\"\naccount = \"bins\"\nrate = " + rate + "\n[[class]]\nname = \"look\"\n"
		if err := os.WriteFile(filepath.Join(dir, "bins.toml"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("4")
	model := func() *config.Model {
		return gossipModel(t, "a", "127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:1", "[quota]\nlease = \"500ms\"\n[contracts]\ndir = \""+dir+"\"\n")
	}
	a := launch(t, model(), func(o *Options) { o.Linger = func() {} })
	status := func() (s QuotaStatus) {
		answer, err := http.Get("http://" + a.desk.Addr().String() + "/quota?all=1")
		if err != nil {
			t.Fatal(err)
		}
		defer answer.Body.Close()
		if err := json.NewDecoder(answer.Body).Decode(&s); err != nil {
			t.Fatal(err)
		}
		return s
	}
	limit := func() (found quota.LimitStatus) {
		for _, l := range status().Limits {
			if l.Name == TeamLimit("p", "bins") {
				found = l
			}
		}
		return found
	}
	// The file says five, and nobody else was heard.
	if l := limit(); l.Amount != 4 || l.Here != 4.0/5 || l.Mode != quota.MostlyFull {
		t.Errorf("%+v", l)
	}
	terms := func() *contract.Terms { return a.model.Contracts.Team("bins") }
	old := a.rights.team("p", terms())
	if got := old.Part(a.rights.now()); got != 1.0/5 {
		t.Errorf("the scheduler goes by %v", got)
	}
	write("10")
	next := model()
	next.Gossip, next.Management = a.model.Gossip, a.model.Management
	if err := a.Reload(next); err != nil {
		t.Fatal(err)
	}
	if l := limit(); l.Amount != 10 || l.Here != 2 {
		t.Errorf("reloaded: %+v", l)
	}
	r := a.rights.team("p", terms())
	a.rights.retire()
	if got := r.Part(a.rights.now()); got != 0 {
		t.Errorf("%v is in force once another process goes on", got)
	}
	a.stop()
	select {
	case <-a.end:
	case <-time.After(10 * time.Second):
		t.Fatal("it does not end")
	}
}
