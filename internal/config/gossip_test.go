package config

import (
	"encoding/base64"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const fleetFile = `name = "g1"
management = "127.0.0.1:7100"
[fleet]
instances = 4
rank = 1
listen = "127.0.0.1:7000"
join = ["127.0.0.1:7000", "127.0.0.1:7001"]
key_file = "keys"
zone = "a"
probe = "200ms"
[[listener]]
address = "127.0.0.1:8080"
[[class]]
name = "c"
effect = "safe"
deadline = "1s"
[[pool]]
name = "p"
hosts = ["127.0.0.1:9001"]
[[route]]
name = "r"
class = "c"
pool = "p"
`

func TestFleetSection(t *testing.T) {
	dir := t.TempDir()
	key := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("k", 32)))
	for name, text := range map[string]string{"keys": "# of the fleet\n" + key + "\n", "short": "c2hvcnQ=\n", "none": "# none\n", "peers": "127.0.0.1:7002\n\n# more\n127.0.0.1:7003\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(dir, "gw.toml")
	m, _, err := Parse(path, []byte(strings.Replace(fleetFile, "zone =", "join_file = \"peers\"\nzone =", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if b := m.Gossip; b.Name != "g1" || b.Listen != "127.0.0.1:7000" || strings.Join(b.Join, " ") != "127.0.0.1:7001 127.0.0.1:7002 127.0.0.1:7003" || len(b.Keys) != 1 || b.Probe != 200*time.Millisecond || b.Typed != 4 || !(b.Place > 0) {
		t.Errorf("%+v", b)
	}
	if m, _, err := Parse(path, []byte(strings.Replace(fleetFile, "listen = \"127.0.0.1:7000\"\njoin = [\"127.0.0.1:7000\", \"127.0.0.1:7001\"]\nkey_file = \"keys\"\nzone = \"a\"\nprobe = \"200ms\"\n", "", 1))); err != nil || m.Gossip != nil {
		t.Errorf("without talk: %v, %v", m, err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`listen = "127.0.0.1:7000"`, ``, `gw.toml:7: fleet.join: goes with listen`},
		{`listen = "127.0.0.1:7000"`, `listen = "here"`, `gw.toml:6: fleet.listen: "here" is not`},
		{`listen = "127.0.0.1:7000"`, `listen = "0.0.0.0:7000"`, "say with advertise"},
		{`listen = "127.0.0.1:7000"`, `listen = "127.0.0.1:8080"`, "where clients connect"},
		{`listen = "127.0.0.1:7000"`, `listen = "127.0.0.1:7100"`, "where operators call"},
		{`, "127.0.0.1:7001"]`, `]`, `gw.toml:7: fleet.join: 127.0.0.1:7000 is this process`},
		{`"127.0.0.1:7001"`, `"there"`, `fleet.join: "there" is not`},
		{`"keys"`, `"short"`, `gw.toml:8: fleet.key_file: key 1 is not 16, 24 or 32 bytes`},
		{`"keys"`, `"none"`, "holds 0 keys"},
		{`"keys"`, `"missing"`, "fleet.key_file"},
		{`"200ms"`, `"1ms"`, "gw.toml:10: fleet.probe: 1ms is not from"},
		{`zone = "a"`, `window = "1s"`, "fleet.window: 1s is not from"},
		{`name = "g1"`, ``, "needs a name"},
		{`[fleet]`, `[bank]`, "bank: is called fleet now"},
		{`listen = "127.0.0.1:7000"`, `talk = "127.0.0.1:7000"`, "gw.toml:6: fleet.talk: is called fleet.listen now"},
		{`zone = "a"`, `bans = true`, "fleet.bans: is called fleet.overrides now"},
	} {
		if _, _, err := Parse(path, []byte(strings.Replace(fleetFile, c.from, c.to, 1))); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.to, err, c.want)
		}
	}
}
