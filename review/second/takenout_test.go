//go:build review

package main

import "testing"

func TestKeysOfAMoveThatIsTakenOut(t *testing.T) { plays(t, "8") }
