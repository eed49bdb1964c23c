//go:build review

package main

import "testing"

func TestAnswersCutOffByAReload(t *testing.T) { plays(t, "9") }
