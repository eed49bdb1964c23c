//go:build review

package main

import "testing"

func TestAnswersThatCrossTheNextRequest(t *testing.T) { plays(t, "10") }
