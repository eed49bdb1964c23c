package verdict

import (
	"errors"
	"net/http"
	"strconv"
	"time"
)

// MaxRetryAfter is the longest hint that is read from an answer: a host that wants to be left
// alone for longer is asked again all the same.
const MaxRetryAfter = 10 * time.Minute

// RetryAfter reads when a host wants to be asked again: Retry-RetryAfter in seconds or as a date (RFC
// 9110 section 10.2.3), as of now. What can't be read or lies in the past is 0, no hint.
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

func seconds(s float64) time.Duration {
	switch {
	case !(s > 0):
		return 0
	case s > MaxRetryAfter.Seconds():
		return MaxRetryAfter
	}
	return time.Duration(s * float64(time.Second))
}
