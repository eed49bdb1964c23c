package drain

import "time"

const (
	// mostDeadline is the longest deadline that an order to stop waits for.
	mostDeadline = 3 * time.Second
	// killBehind is how long behind that deadline a process may be killed at the earliest.
	killBehind = 700 * time.Millisecond
	// answerAhead is how long before the kill the last answers begin to go out: a machine that is
	// short of processor time may stand still for half of it.
	answerAhead = 300 * time.Millisecond
	// closeAhead is how long before the kill connections that still have something open are closed.
	closeAhead = 200 * time.Millisecond
)

// Schedule says when a process that is ordered to stop does what. Times count from the order.
type Schedule struct {
	Accept time.Duration // up to then new connections are taken
	// Answer is when each request that is open gets its answer at the latest. From then on nothing is
	// sent to a host, and a request that is read is refused.
	Answer time.Duration
	Close  time.Duration // what is still open is closed
}

// ScheduleFor is the schedule of a process whose longest deadline is given: it has ended before the kill,
// which follows the order by that deadline, or by 3 s if that is shorter, and 0.7 s more.
func ScheduleFor(longest time.Duration) Schedule {
	kill := min(longest, mostDeadline) + killBehind
	answer := kill - answerAhead
	return Schedule{Accept: min(LeavingFor, answer), Answer: answer, Close: kill - closeAhead}
}
