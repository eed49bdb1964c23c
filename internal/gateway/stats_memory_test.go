package gateway

import (
	"log/slog"
	"testing"

	"frostshift/internal/config"
)

// Descriptors beyond what there is memory for are not used: connections and open requests cost some each.
func TestDescriptorsBeyondMemoryAreNotUsed(t *testing.T) {
	for _, c := range []struct {
		memory, descriptors, clients int
		secure                       bool
		requests                     int64
	}{
		{96, 1024, 545, false, 341},
		{96, 20_000, 1536, false, 768},
		{96, 20_000, 512, true, 768},
		{192, 20_000, 3072, false, 1536},
		{0, 1024, 545, false, 341},
	} {
		g := &Gateway{log: slog.New(slog.DiscardHandler)}
		g.setBounds(config.Limits{MemoryMB: c.memory, Descriptors: c.descriptors}, c.secure)
		if g.whole.clients != c.clients || g.budgets.requests.Total() != c.requests {
			t.Errorf("%d MB, %d descriptors: %d clients and %d requests, want %d and %d", c.memory, c.descriptors,
				g.whole.clients, g.budgets.requests.Total(), c.clients, c.requests)
		}
	}
}
