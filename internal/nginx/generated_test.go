package nginx_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"frostshift/internal/config"
	"frostshift/internal/nginx"
	"frostshift/internal/nginx/reference"
	"pgregory.net/rapid"
)

// genServer is a server with locations of all kinds, some of which rewrite.
func genServer(t *rapid.T, i int) string {
	var b strings.Builder
	b.WriteString("server {\nlisten 80")
	if rapid.IntRange(0, 3).Draw(t, "default") == 0 && i == 0 {
		b.WriteString(" default_server")
	}
	b.WriteString(";\n")
	if names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a.test", "*.a.test", "b.*", "~^c[0-9]+", ".d.test", "e.test"}), 0, 2, rapid.ID[string]).Draw(t, "names"); len(names) > 0 {
		b.WriteString("server_name " + strings.Join(names, " ") + ";\n")
	}
	seen := map[string]bool{}
	for range rapid.IntRange(0, 6).Draw(t, "locations") {
		modifier := rapid.SampledFrom([]string{"", "", "", "= ", "^~ ", "~ ", "~* "}).Draw(t, "modifier")
		value := rapid.SampledFrom([]string{"/", "/a", "/a/", "/a/b", "/a/b/", "/ab", "/x/y/"}).Draw(t, "value")
		if strings.HasPrefix(modifier, "~") {
			value = rapid.SampledFrom([]string{`^/a`, `/b`, `\.php$`, `^/(a|x)/`, `A/B`, `y/?$`}).Draw(t, "expr")
		}
		key := strings.TrimPrefix(modifier, "^~ ") + value
		if seen[key] { // nginx refuses two locations of one path
			continue
		}
		seen[key] = true
		fmt.Fprintf(&b, "location %s%s {\n", modifier, value)
		rewrites := rapid.IntRange(0, 2).Draw(t, "rewrites")
		for range rewrites {
			from := rapid.SampledFrom([]string{`^/a/(.*)$`, `^/a/b/?(.*)`, `^(.*)\.php$`, `/x`}).Draw(t, "from")
			to := rapid.SampledFrom([]string{"/x/y/$1", "/ab/$1", "/a/b/$1?k=$1", "/done?", "/a/z"}).Draw(t, "to")
			flag := rapid.SampledFrom([]string{"", " last", " break", " redirect", " permanent"}).Draw(t, "flag")
			fmt.Fprintf(&b, "rewrite %s %s%s;\n", from, to, flag)
		}
		switch rapid.IntRange(0, 6).Draw(t, "does") {
		case 0:
			b.WriteString("return 403;\n")
		case 6:
			to := "@pass"
			if rewrites == 0 { // a return behind rewrites of another location is reported, not taken
				to = rapid.SampledFrom([]string{"@pass", "@closed"}).Draw(t, "named")
			}
			fmt.Fprintf(&b, "try_files $uri %s;\n", to)
		case 1:
		default:
			uri := ""
			if !strings.HasPrefix(modifier, "~") {
				uri = rapid.SampledFrom([]string{"", "", "/", "/p", "/p/q/"}).Draw(t, "uri")
			}
			fmt.Fprintf(&b, "proxy_pass http://u%d%s;\n", rapid.IntRange(1, 4).Draw(t, "up"), uri)
		}
		b.WriteString("}\n")
	}
	fmt.Fprintf(&b, "set $up u%d;\nlocation @pass { set $up u%d; proxy_pass http://$up; }\nlocation @closed { return 410; }\n}\n",
		rapid.IntRange(1, 4).Draw(t, "above"), rapid.IntRange(1, 4).Draw(t, "set"))
	return b.String()
}

// Generated configurations and requests: the gateway does what nginx's documentation says.
// Paths that hosts could read in several ways are left out: the report tells of them.
func TestGeneratedAgainstTheDocumentation(t *testing.T) {
	asked := 0
	rapid.Check(t, func(rt *rapid.T) {
		var b strings.Builder
		b.WriteString("http {\n")
		for i := range 4 {
			fmt.Fprintf(&b, "upstream u%d { server 10.0.0.%d:80; }\n", i+1, i+1)
		}
		for i := range rapid.IntRange(1, 3).Draw(rt, "servers") {
			b.WriteString(genServer(rt, i))
		}
		b.WriteString("}\n")
		dirs, err := nginx.ParseText("gen.conf", []byte(b.String()))
		if err != nil {
			rt.Fatalf("%v\n%s", err, &b)
		}
		text, _ := nginx.Import(dirs)
		m, _, err := config.Parse("imported.toml", []byte(text))
		if err != nil {
			rt.Fatalf("%v\n%s\n%s", err, &b, text)
		}
		im := &imported{dirs: dirs, text: text, model: m}
		for range 25 {
			r := reference.Request{Address: "0.0.0.0:80",
				Host:  rapid.SampledFrom([]string{"a.test", "x.a.test", "b.org", "c7", "d.test", "q.d.test", "e.test", "other", "A.Test:80"}).Draw(rt, "host"),
				Path:  rapid.SampledFrom([]string{"/", "/a", "/a/", "/ab", "/a/b", "/a/b/", "/a/b/c.php", "/x/y", "/x/y/", "/x/y/z", "/A/B", "/done", "/a/z", "/a/%7Ek", "/a/b/%20x"}).Draw(rt, "path"),
				Query: rapid.SampledFrom([]string{"", "q=1"}).Draw(rt, "query")}
			want, got := reference.Serve(dirs, r), im.predict(r)
			if strings.Contains(want.URI, "//") || strings.Contains(want.Location, "//") && want.Upstream == "" && want.Status != 301 || want.Unknown != "" {
				continue
			}
			asked++
			if !same(want, got) {
				rt.Fatalf("%+v\n  nginx    %+v\n  gateway  %+v\n%s\n%s", r, want, got, &b, text)
			}
		}
	})
	if asked == 0 {
		t.Error("nothing was compared")
	}
}

// Every directive stands in the report, whatever the file; what is made loads or the report
// says what is missing; nothing panics.
func FuzzImport(f *testing.F) {
	files, _ := filepath.Glob("testdata/samples/*.conf")
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	for _, text := range []string{"http { if ($a) { return 1; } }", "a \"b", "}", strings.Repeat("a{", 100), "http{server{location ~ ( {proxy_pass http://$x;}}}",
		"http{upstream a{server unix:/x;server a:1;}server{listen [::1];listen 1 ssl;server_name ~( \"\";location @x{}}}", "content_by_lua_block { a = \"}\" -- }\n }", "rewrite ^ $1;"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		dirs, err := nginx.ParseText("fuzz.conf", text)
		if err != nil {
			return
		}
		made, rep := nginx.Import(dirs)
		said := map[nginx.Pos]bool{}
		for _, e := range rep.Entries {
			said[e.Pos] = true
		}
		var walk func(list []*nginx.Directive)
		walk = func(list []*nginx.Directive) {
			for _, d := range list {
				if !said[d.Pos] {
					t.Fatalf("%s at %s is not in the report", d.Name, d.Pos)
				}
				walk(d.Block)
			}
		}
		walk(dirs)
		if err := rep.Write(&bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
		config.Parse("imported.toml", []byte(made))
	})
}

func TestSyntax(t *testing.T) {
	for text, want := range map[string]string{
		"http {": "a } is missing", "}": "} without", "a b": "not ended", "a { b }": "a ; is missing", ";": "where a directive begins", "a 'b": "quote is not closed",
		`a "b"c;`: "right behind a quote", "a\x00b;": "NUL", strings.Repeat("a{", 5<<20): "deep", "x_by_lua_block { {": "Lua is not closed",
	} {
		if _, err := nginx.ParseText("f.conf", []byte(text)); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "f.conf:1") {
			t.Errorf("%.20q: %v, want %q", text, err, want)
		}
	}
	list, err := nginx.ParseText("f.conf", []byte("a 'b c' \"d\\\"e\" f\\.g ${h}i \\\\ x\\ty; # no\nc {\n  d \"\";}"))
	if err != nil || len(list) != 2 || list[1].Block[0].Pos.Line != 3 || list[1].Block[0].Pos.Col != 3 {
		t.Fatalf("%v, %+v", err, list)
	}
	var got []string
	for _, a := range list[0].Args {
		got = append(got, a.Text)
	}
	if want := []string{"b c", `d"e`, `f\.g`, "${h}i", `\`, "x\ty"}; !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}

func TestIncludes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	a := write("a.conf", "include b.conf;")
	write("b.conf", "x 1;\ninclude a.conf;")
	if _, err := nginx.Parse(a); err == nil || !strings.Contains(err.Error(), "b.conf:2:1") || !strings.Contains(err.Error(), "includes itself") {
		t.Errorf("a loop: %v", err)
	}
	none := write("none.conf", "a;\ninclude nowhere.conf;")
	if _, err := nginx.Parse(none); err == nil || !strings.Contains(err.Error(), "none.conf:2:1") {
		t.Errorf("a missing file: %v", err)
	}
	glob := write("glob.conf", "include nothing/*.conf; include [a-b].con;")
	if list, err := nginx.Parse(glob); err != nil || len(list) != 0 {
		t.Errorf("patterns that match nothing: %v, %v", list, err)
	}
}

// What can't be taken is said, with its place, and is nowhere guessed at.
func TestNotTaken(t *testing.T) {
	for text, want := range map[string]string{
		"location / { if ($http_x) { proxy_pass http://u; } proxy_pass http://u; }":                              "if",
		"location / { proxy_pass http://$backend; }":                                                             "proxy_pass",
		"location / { proxy_pass https://u; }":                                                                   "proxy_pass",
		"location / { proxy_pass http://nowhere.example; }":                                                      "proxy_pass",
		"location ~ (?=a) { proxy_pass http://u; }":                                                              "location",
		`location ~ (a)\1 { proxy_pass http://u; }`:                                                              "location",
		"location / { content_by_lua_block { ngx.say('}') } }":                                                   "content_by_lua_block",
		"location / { my_module on; proxy_pass http://u; }":                                                      "my_module",
		"location / { set $x $arg_a; proxy_pass http://$x; }":                                                    "set",
		"set $x u; if ($http_a) { set $x v; } location / { proxy_pass http://$x; }":                              "proxy_pass",
		"set $x u; location / { proxy_pass http://$x/y; }":                                                       "proxy_pass",
		"set $x u; location /a { set $x u; rewrite ^ /b last; } location /b { proxy_pass http://$x; }":           "proxy_pass",
		"location / { rewrite ^/a /b break; proxy_pass http://u$request_uri; }":                                  "proxy_pass",
		"location / { error_page 404 = @l; proxy_pass http://u; } location @l { proxy_pass http://u; }":          "error_page",
		"location / { error_page 502 = @l; proxy_pass http://u/x; } location @l { proxy_pass http://10.0.0.7; }": "error_page",
		"location / { try_files $uri @l; } location @l { rewrite ^ /x; proxy_pass http://u; }":                   "rewrite",
		"location / { limit_req zone=a; proxy_pass http://u; }":                                                  "limit_req",
		"location / { try_files $uri @later; }":                                                                  "try_files",
		"location / { proxy_set_header X $ssl_client_s_dn; proxy_pass http://u; }":                               "proxy_set_header",
		"location / { client_max_body_size lots; proxy_pass http://u; }":                                         "client_max_body_size",
		"location / { rewrite ^ /x$arg_a; proxy_pass http://u; }":                                                "rewrite",
		"location / { proxy_set_header Upgrade h2c; proxy_pass http://u; }":                                      "proxy_set_header",
		"location ~ /a { proxy_pass http://u/b; }":                                                               "proxy_pass",
		"listen unix:/tmp/x; location / { proxy_pass http://u; }":                                                "listen",
		"location / { return 444; }":                                                                             "return",
	} {
		dirs, err := nginx.ParseText("f.conf", []byte("http { map $a $backend { default u; }\nupstream u { server 10.0.0.1:80; server db.example:80; hash $uri; server 10.0.0.9:80 max_conns=3; }\nserver {\n"+text+"\n} }"))
		if err != nil {
			t.Fatal(err)
		}
		made, rep := nginx.Import(dirs)
		names := map[string]int{}
		for _, e := range rep.LeftOut(nil) {
			names[e.Name]++
			if e.Text == "" || e.Pos.Line == 0 {
				t.Errorf("%s: %+v says nothing", text, e)
			}
		}
		if names[want] == 0 || names["map"] == 0 || names["hash"] == 0 || names["server"] != 2 {
			t.Errorf("%s: not taken: %v", text, names)
		}
		if len(rep.LeftOut([]string{"map", "hash", "server", "default"})) >= len(rep.LeftOut(nil)) {
			t.Errorf("%s: -allow changes nothing", text)
		}
		if strings.Contains(made, "$backend") || strings.Contains(made, "db.example") {
			t.Errorf("%s: guessed:\n%s", text, made)
		}
	}
}

// What leads elsewhere where no server answers becomes a fallback, and a name is asked of the
// resolver that the file names.
func TestFallbackAndNames(t *testing.T) {
	dirs, err := nginx.ParseText("f.conf", []byte(`http {
		resolver 127.0.0.1:5353 valid=30s;
		upstream app { server app.council.test:8081; }
		server { listen 80;
			error_page 502 504 = @spare;
			location / { proxy_pass http://app; }
			location /none { error_page 404 /x.html; proxy_pass http://spare.council.test; }
			location @spare { proxy_pass http://10.0.0.9; }
			location @nobody { proxy_pass http://10.0.0.9; }
		}
	}`))
	if err != nil {
		t.Fatal(err)
	}
	im := importAll(t, dirs)
	for _, r := range im.model.Table.Routes() {
		if want := map[string]string{"f.conf:6": "10.0.0.9"}[r.Name]; r.Fallback != want {
			t.Errorf("%s has the fallback %q, want %q", r.Name, r.Fallback, want)
		}
	}
	for name, port := range map[string]int{"app": 8081, "spare.council.test": 80} {
		d := im.model.PoolNamed(name).Sources[0].DNS
		if d == nil || d.Port != port || d.Server != "127.0.0.1:5353" {
			t.Errorf("pool %s asks %+v", name, d)
		}
	}
	left := map[string]int{}
	for _, e := range im.rep.LeftOut(nil) {
		left[e.Name]++
	}
	if len(left) != 1 || left["error_page"] != 1 {
		t.Errorf("not taken: %v", left)
	}
	if !slices.ContainsFunc(im.rep.Entries, func(e nginx.Entry) bool { return strings.Contains(e.Text, "nothing that was taken leads to it") }) {
		t.Error("nothing is said of a named location that nothing leads to")
	}
}

// An access log is held against what was made of the configuration.
func TestVerify(t *testing.T) {
	dirs, err := nginx.Parse("testdata/samples/02-uri-replaced.conf")
	if err != nil {
		t.Fatal(err)
	}
	im := importAll(t, dirs)
	format, err := nginx.CompileFormat(`$remote_addr [$time_local] "$request" $status $host $upstream_addr`)
	if err != nil {
		t.Fatal(err)
	}
	log := `1.2.3.4 [x] "GET /api/x HTTP/1.1" 200 a.test 10.0.0.1:80
1.2.3.4 [x] "GET /web?a=b HTTP/1.1" 200 a.test 10.0.0.2:80, 10.0.0.2:80
1.2.3.4 [x] "GET /api/x HTTP/1.1" 200 a.test 10.0.0.2:80
1.2.3.4 [x] "GET /api HTTP/1.1" 301 a.test -
1.2.3.4 [x] "\x16\x03" 400 - -
1.2.3.4 [x] "GET /web HTTP/1.1" 502 a.test -
`
	var out bytes.Buffer
	v, err := nginx.Verify(strings.NewReader(log), format, im.model, "", &out, 10)
	if err != nil || v != (nginx.Verified{Lines: 6, Same: 3, Different: 2, Unread: 1, Own: 1}) {
		t.Errorf("%+v, %v\n%s", v, err, &out)
	}
	for _, want := range []string{"line 3: GET a.test/api/x: nginx asked 10.0.0.2:80, the gateway sends it to api", "line 5: not in the format", "line 6:"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not said:\n%s", want, &out)
		}
	}
	for _, bad := range []string{"", "$request", "$upstream_addr $request_uri"} {
		if _, err := nginx.CompileFormat(bad); err == nil {
			t.Errorf("the format %q is taken", bad)
		}
	}
}

func BenchmarkImport5000(b *testing.B) {
	var text strings.Builder
	text.WriteString("http { upstream u { server 10.0.0.1:80; }\nserver { listen 80;\n")
	for i := range 5000 {
		fmt.Fprintf(&text, "location /team%d/service%d/ { proxy_pass http://u/s%d/; proxy_set_header Host $host; }\n", i%100, i, i)
	}
	text.WriteString("} }")
	for b.Loop() {
		dirs, err := nginx.ParseText("b.conf", []byte(text.String()))
		if err != nil {
			b.Fatal(err)
		}
		made, _ := nginx.Import(dirs)
		if _, _, err := config.Parse("b.toml", []byte(made)); err != nil {
			b.Fatal(err)
		}
	}
}
