//go:build review

package main

import "testing"

func TestRefusalForABookingThatRan(t *testing.T) { plays(t, "6") }
