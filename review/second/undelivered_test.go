//go:build review

package main

import "testing"

func TestBookingTwiceOverHTTP2(t *testing.T) { plays(t, "7") }
