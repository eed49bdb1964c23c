package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// The figures tell how late the process is with its own work, and what peers wait for the processor.
func TestFiguresTellLateness(t *testing.T) {
	addr, _ := serving(t, "a")
	g := gatewayFor(t, "a", addr)
	if status, _, _ := do(t, request(t, g.url, "lookup", "")); status != 200 {
		t.Fatalf("answered %d", status)
	}
	page := httptest.NewRecorder()
	g.pages().ServeHTTP(page, httptest.NewRequest("GET", "/stats", nil))
	text := page.Body.String()
	for _, name := range []string{"edge_gw_scheduler_delay_seconds", "edge_gw_timer_delay_seconds", "edge_gw_turn_wait_seconds", "edge_gw_late_looks",
		"edge_gw_turns_waited", "edge_gw_turns_waited_seconds", "edge_gw_turns_waiting", "edge_gw_pool_stalls", "edge_gw_pool_stalled_seconds"} {
		if !strings.Contains(text, "\n"+name+" ") && !strings.Contains(text, "\n"+name+"{") {
			t.Errorf("%s is missing", name)
		}
	}
}
