package drain

import "time"

const (
	// maxDeadline is the longest deadline that is waited for after an order to stop.
	maxDeadline = 3 * time.Second
	// killDelay is the time from that deadline to the earliest moment at which the process may be killed.
	killDelay = 700 * time.Millisecond
	// answerLead is how long before the kill the last answers begin to be sent: the process may be
	// stalled for half of this time on a machine that is short of CPU time.
	answerLead = 300 * time.Millisecond
	// closeLead is how long before the kill connections with open requests are closed.
	closeLead = 200 * time.Millisecond
)

// Schedule holds the times of the steps of a process's shutdown, counted from the order to stop.
type Schedule struct {
	Accept time.Duration // until then new connections are accepted
	// Idle is the latest time at which idle connections are closed. A request that is read by then can
	// use its whole deadline before Answer, if that deadline is not above maxDeadline.
	Idle time.Duration
	// Answer is the latest time at which each open request is answered. From then on nothing is sent
	// to a host, and newly read requests are refused.
	Answer time.Duration
	Close  time.Duration // when connections that are still open are closed
}

// ScheduleFor returns the schedule of a process whose longest request deadline is given. The process
// ends before the kill, which comes 0.7 s after that deadline, and 3.7 s after the order at most.
func ScheduleFor(longest time.Duration) Schedule {
	longest = min(longest, maxDeadline)
	kill := longest + killDelay
	answer := kill - answerLead
	return Schedule{Accept: min(LeavingFor, answer), Idle: answer - longest, Answer: answer, Close: kill - closeLead}
}
