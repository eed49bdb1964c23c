//go:build review

package main

import (
	"testing"

	"frostshift/review/stand"
)

// TestReviewLostAtUpgrade plays the case; claim.txt tells what it shows.
func TestReviewLostAtUpgrade(t *testing.T) { stand.Play(t) }
