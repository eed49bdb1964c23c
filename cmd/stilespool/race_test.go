//go:build race

package main

// raced says that the program under test is watched for races, which multiplies its memory.
const raced = true
