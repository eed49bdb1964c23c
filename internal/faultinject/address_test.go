package faultinject

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"frostshift/internal/clustertest"
	"frostshift/internal/fake"
)

// A new process at the address of a host that has gone is not that host, also where discovery has not said yet that that
// is gone: it is one member with the share of one, and starts cold.
func TestNewHostAtTheAddressOfAnOldOne(t *testing.T) {
	t.Parallel()
	var hosts []*fake.Host
	entry := func(name string, h *fake.Host, since int64) string {
		return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"std","group":1,"status":"active","weight":1,"since_ms":%d}`, name, h.Addr(), since)
	}
	for range 3 {
		h, err := fake.Scripted(fake.Always(fake.Serve("ok")))
		if err != nil {
			t.Fatal(err)
		}
		defer h.Close()
		hosts = append(hosts, h)
	}
	discovery := fake.NewDiscovery()
	defer discovery.End()
	fleet := clustertest.NewFleet(program, filepath.Join(t.TempDir(), "run"))
	defer fleet.Close()
	p, err := fleet.Add("gateway")
	if err != nil {
		t.Fatal(err)
	}
	desk := fake.ReservedAddress(t)
	p.Platform = true
	known := entry("s-0", hosts[0], 0) + "," + entry("s-1", hosts[1], 0)
	text := fmt.Sprintf(trialConfig, p.Addr, discoveryAway, 1.0, 96, 1024, known)
	text = regexp.MustCompile(`"discovery":"127.0.0.1:1"`).ReplaceAllString(text, fmt.Sprintf(`"discovery":%q,"management":%q`, discovery.Addr(), desk))
	if err := p.Configure(text); err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	if err := p.Ready(t.Context()); err != nil {
		t.Fatal(err)
	}
	watch := <-discovery.Watches
	hosts[0].Refuse()
	if err := hosts[0].Return(); err != nil { // another process
		t.Fatal(err)
	}
	watch.Lines <- fmt.Sprintf(`{"index":2,"snapshot":false,"endpoints":[%s]}`, entry("s-2", hosts[0], time.Now().UnixMilli()))
	watch.Lines <- fmt.Sprintf(`{"index":3,"snapshot":false,"endpoints":[%s]}`, entry("s-3", hosts[2], 0)) // once that is heard, so is the other
	members := regexp.MustCompile(`(?m)^edge_gw_members (\d+)$`)
	said := "2"
	for end := time.Now().Add(startWithin); said == "2" && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + desk + "/stats")
		if err != nil {
			continue
		}
		page, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if found := members.FindSubmatch(page); found != nil {
			said = string(found[1])
		}
	}
	if said != "3" {
		t.Errorf("%s hosts are listed, want 3: the new one has the address of one that is gone", said)
	}
}
