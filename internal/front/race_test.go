package front

import (
	"testing"
	"time"
)

// The writer of a connection with frames ends its sending side while its reader reads on: no data race.
func TestEndOfSendingBesideAReadIsNoRace(t *testing.T) {
	_, client, c := acceptFrom(t, NewConns(10, 10, SpareAfter), listenLocal(t))
	c.Conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	c.Frames(func() { c.Conn.Close() })
	c.Active()
	read, begun := make(chan error, 1), make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			if _, err := c.Read(make([]byte, 2)); err != nil {
				read <- err
				return
			}
			if n == 0 {
				close(begun)
			}
		}
	}()
	client.Write(make([]byte, 10<<10))
	<-begun
	c.CloseWrite()
	client.Close()
	<-read
}
