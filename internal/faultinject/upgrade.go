package faultinject

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"time"

	"frostshift/internal/clustertest"
	"frostshift/internal/fake"
)

// inherited is the listening socket that the processes of one gateway share, as descriptor 5.
type inherited struct {
	file  *os.File
	addr  string
	desks []*fake.Place // a second address for each process
}

func newInherited() (*inherited, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer ln.Close() // the file is the socket still
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	return &inherited{file: file, addr: ln.Addr().String()}, nil
}

// attach has a process listen at the socket, and operators call it at an address of its own.
func (i *inherited) attach(p *clustertest.Process) error {
	desk, err := fake.Reserve()
	if err != nil {
		return err
	}
	i.desks = append(i.desks, desk)
	p.Addr, p.Desk = i.addr, desk.Addr
	p.Supervise = func(cmd *exec.Cmd) (func() error, error) {
		cmd.ExtraFiles = []*os.File{nil, nil, i.file} // descriptors 3, 4 and 5
		cmd.Env = append(cmd.Env, "GW_INHERITED_FD=5", "GW_MANAGEMENT="+desk.Addr)
		return func() error { return nil }, nil
	}
	return nil
}

func (i *inherited) close() {
	i.file.Close()
	for _, desk := range i.desks {
		desk.Close()
	}
}

// succeed starts a second process beside the one that runs and waits until it has taken the clients over.
func (g *gateway) succeed(socket *inherited) error {
	next, err := g.fleet.Add("next")
	if err != nil {
		return err
	}
	next.Platform, next.Dir = true, g.Dir // the same configuration and $TMPDIR
	if err := socket.attach(next); err != nil {
		return err
	}
	if err := next.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyWithin)
	defer cancel()
	return serves(ctx, next.Desk)
}

// serves waits until a process says at its second address that it takes clients.
func serves(ctx context.Context, desk string) error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+desk+"/healthcheck", nil)
		if err != nil {
			return err
		}
		if resp, err := client.Do(request); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(2 * time.Millisecond):
		}
	}
}
