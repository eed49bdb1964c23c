package front

import (
	"net/http"
	"strings"
)

// decisive are the fields by which a request is placed, told apart from others or timed. Each stands in a request once
// at most: whoever takes the first and whoever takes the last of two would see different requests.
var decisive = [...]string{"Authorization", "Idempotency-Key", "X-Account", "X-Correlation-Id", "X-Repeat", "X-Service-Class", "X-Time-Left"}

// identifying are those of them by which hosts tell repeats.
var identifying = [...]string{"Idempotency-Key", "X-Correlation-Id"}

// checkIdentifying says what is wrong with the fields that tell requests apart, where these have no blanks: one may be
// what is left of a field that was folded over two lines (RFC 9112 section 5.2), which nobody has sent so.
func checkIdentifying(h http.Header) error {
	for _, name := range identifying {
		if strings.ContainsAny(h.Get(name), " \t") {
			return bad("%s has blanks in it", name)
		}
	}
	return nil
}

// checkDecisive says what is wrong with a request's decisive fields.
func checkDecisive(h http.Header) error {
	for _, name := range decisive {
		if len(h[name]) > 1 {
			return bad("%s stands more than once", name)
		}
	}
	if values := h["Idempotency-Key"]; len(values) == 1 && values[0] == "" {
		return bad("Idempotency-Key is empty")
	}
	return nil
}
