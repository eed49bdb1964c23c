package exchange

import (
	"time"

	"frostshift"
)

// Stage is how far a request has come on its way to its answer.
type Stage uint32

// Stages.
const (
	StageQueued  Stage = iota // no attempt is in flight
	StageAttempt              // an attempt is in flight at a host
	StageReplied              // the front has the reply, and writes it to the client
	Stages                    // number of stages
)

var stageNames = [Stages]string{"queued", "attempt", "replied"}

// String returns the name of the stage, for logs and metrics.
func (s Stage) String() string { return stageNames[s] }

// Progress returns how far the request has come, and the host of its latest attempt; 0 means that there was none. It
// is safe for concurrent use.
func (c *Call) Progress() (Stage, frostshift.HostID) {
	return Stage(c.stage.Load()), frostshift.HostID(c.host.Load())
}

// DueAt returns when the answer to the request is due. It is safe for concurrent use.
func (c *Call) DueAt() time.Time { return c.x.clock.At(c.due()) }

// reply hands the one final answer to the front.
func (c *Call) reply(r Reply) {
	c.stage.Store(uint32(StageReplied))
	c.Reply <- r
}
