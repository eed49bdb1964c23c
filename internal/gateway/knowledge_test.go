package gateway

import (
	"encoding/json"
	"testing"
)

// What a process of an earlier version tells or has saved of overrides is read by this one.
func TestOverridesOfEarlierVersionsAreRead(t *testing.T) {
	var k knowledge
	text := `{"Version":1,"Banned":["h"],"Words":[{"Host":"h","Out":true,"Version":3,"By":"g0"}]}`
	if err := json.Unmarshal([]byte(text), &k); err != nil || len(k.Overrides) != 1 || k.Overrides[0].Version != 3 || !k.Overrides[0].Out {
		t.Errorf("%+v, %v", k, err)
	}
}
