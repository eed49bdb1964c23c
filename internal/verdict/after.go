package verdict

import (
	"errors"
	"net/http"
	"strconv"
	"time"
)

// MaxRetryAfter caps the delay that an answer's Retry-After may request. A host that requests a
// longer delay is tried again after this time nevertheless.
const MaxRetryAfter = 10 * time.Minute

// RetryAfter returns the delay that a Retry-After field requests, in seconds or as a date (RFC 9110
// section 10.2.3), counted from now and capped at MaxRetryAfter. It returns 0, which means no
// delay requested, if the field is missing, malformed or in the past.
func RetryAfter(header http.Header, now time.Time) time.Duration {
	v := header["Retry-After"]
	if len(v) == 0 || len(v[0]) > 64 {
		return 0
	}
	if s, err := strconv.ParseFloat(v[0], 64); err == nil || errors.Is(err, strconv.ErrRange) {
		return seconds(s)
	}
	at, err := http.ParseTime(v[0])
	if err != nil {
		return 0
	}
	return min(max(0, at.Sub(now)), MaxRetryAfter)
}

// seconds converts s to a duration between 0 and MaxRetryAfter; NaN gives 0.
func seconds(s float64) time.Duration {
	switch {
	case !(s > 0):
		return 0
	case s > MaxRetryAfter.Seconds():
		return MaxRetryAfter
	}
	return time.Duration(s * float64(time.Second))
}
