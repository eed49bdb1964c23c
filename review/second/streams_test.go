//go:build review

package main

import "testing"

func TestDrainBeforeAStreamIsFree(t *testing.T) { plays(t, "10") }
