//go:build review

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["undone"] = undone }

const undoneConfig = `
name = "%s"
management = "%s"

[limits]
memory_mb = 256
descriptors = 1024

[fleet]
instances = 2
rank = %d
listen = "%s"
join = ["%s", "%s"]
overrides = true

[[listener]]
name = "clients"
address = "%s"

[[class]]
name = "booking"
effect = "unsafe"
aim = "500ms"
deadline = "2s"

[[pool]]
name = "bookings"
hosts = [%s]

[[route]]
name = "book"
prefix = "/book"
methods = ["POST"]
class = "booking"
pool = "bookings"
`

// undone: two gateways do not hear each other for a while. A host was taken out and called back on one side; later, still
// in that time, operators take it out for the fleet on the other side.
func undone(r *run) error {
	p, err := r.newPair()
	if err != nil {
		return err
	}
	defer p.close()
	names, management, front := [2]string{"gw-1", "gw-2"}, [2]string{port(), port()}, [2]string{port(), port()}
	talk := [2]string{port(), port()}
	var gateways [2]*gateway
	for i := range gateways {
		config, err := r.write(names[i]+".toml", fmt.Sprintf(undoneConfig, names[i], management[i], i, talk[i], talk[0], talk[1], front[i], quoted(p.list[0].Addr(), p.list[1].Addr())))
		if err != nil {
			return err
		}
		if gateways[i], err = r.start(config, management[i]); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	at := "/hosts/" + p.list[0].Addr()
	cut := func(i int, s syscall.Signal) {
		if r.trouble {
			gateways[i].signal(s)
		}
	}
	cut(1, syscall.SIGSTOP)
	time.Sleep(5 * time.Second) // it is held for gone
	for _, path := range []string{"/maint?fleet=1", "/ready?fleet=1"} {
		if status, err := r.operators(management[0], at+path); err != nil || status != http.StatusOK {
			return fmt.Errorf("%s: %d, %v", path, status, err)
		}
		time.Sleep(500 * time.Millisecond)
	}
	cut(0, syscall.SIGSTOP)
	cut(1, syscall.SIGCONT)
	time.Sleep(6 * time.Second)
	status, err := r.operators(management[1], at+"/maint?fleet=1")
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("the host is not taken out: %d, %v", status, err)
	}
	yes := time.Now()
	time.Sleep(time.Second)
	r.ask10(front[1], "alone")
	cut(0, syscall.SIGCONT)
	time.Sleep(8 * time.Second)
	r.ask10(front[1], "together")
	r.ask10(front[0], "together-1")
	r.judge(p, yes)
	return nil
}
