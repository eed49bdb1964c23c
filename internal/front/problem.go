package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"frostshift/internal/contract"
)

// ProblemType is the media type of RFC 9457.
const ProblemType = "application/problem+json"

// Problem is a violation as RFC 9457 has it.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Team   string `json:"team,omitempty"`
	// Contract is the file and line of the contract that the problem is about.
	Contract string `json:"contract,omitempty"`
}

// ProblemOf is the body and the further headers of an answer to a violation, whatever
// front gives it.
func ProblemOf(v *contract.Violation) (body []byte, header http.Header) {
	body, err := json.Marshal(Problem{Type: "about:blank", Title: v.Title, Status: v.Status, Detail: v.Detail, Team: v.Team, Contract: v.At})
	if err != nil {
		panic(err) // strings and a number
	}
	header = http.Header{"Content-Type": {ProblemType}}
	if v.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if v.Status == http.StatusTooManyRequests {
		header.Set("Retry-After", RetryAfter(v.After, false))
	}
	return append(body, '\n'), header
}

// RetryAfter is a time as the header has it: whole seconds, rounded up (RFC 9110 section
// 10.2.3), or with fractions, as the platform's clients read it.
func RetryAfter(after time.Duration, fractions bool) string {
	if fractions {
		return strconv.FormatFloat(after.Seconds(), 'f', -1, 64)
	}
	return strconv.FormatInt(max(1, int64(math.Ceil(after.Seconds()))), 10)
}

func violated(v *contract.Violation) *Error {
	return &Error{Status: v.Status, Text: v.Detail, Violation: v}
}
