package spool

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

func TestWhatACrashLeftIsRemoved(t *testing.T) {
	dir := t.TempDir()
	for i := range 10_000 {
		os.WriteFile(filepath.Join(dir, fmt.Sprintf("%s%d", prefix, i)), []byte("x"), 0o600)
	}
	other := filepath.Join(dir, "somebody's")
	os.WriteFile(other, nil, 0o600)
	if _, err := Open(dir, 100, 0); err != nil {
		t.Fatal(err)
	}
	left, _ := os.ReadDir(dir)
	if len(left) != 1 || left[0].Name() != "somebody's" {
		t.Errorf("%d files are left", len(left))
	}
}

func TestBoundsOfAllAndOfATeam(t *testing.T) {
	d, err := Open(t.TempDir(), 100, 60)
	if err != nil {
		t.Fatal(err)
	}
	a, _ := d.File("a")
	if _, err := a.WriteAt(make([]byte, 60), 0); err != nil {
		t.Fatal(err)
	}
	if _, err := a.WriteAt(make([]byte, 1), 60); !errors.Is(err, ErrTeam) {
		t.Errorf("beyond the team's: %v", err)
	}
	if _, err := d.File("a"); !errors.Is(err, ErrTeam) {
		t.Errorf("another file of a full team: %v", err)
	}
	b, _ := d.File("b")
	if _, err := b.WriteAt(make([]byte, 41), 0); !errors.Is(err, ErrFull) {
		t.Errorf("beyond all: %v", err)
	}
	if _, err := b.WriteAt([]byte("hello"), 0); err != nil {
		t.Fatal(err)
	}
	p := make([]byte, 5)
	if _, err := b.ReadAt(p, 0); err != nil || string(p) != "hello" {
		t.Errorf("read %q, %v", p, err)
	}
	if left, _ := os.ReadDir(d.path); len(left) != 0 {
		t.Errorf("%d names in the folder", len(left))
	}
	a.Close()
	a.Close()
	b.Close()
	if used, open := d.Used(); used != 0 || open != 0 {
		t.Errorf("%d bytes, %d files at the end", used, open)
	}
}

func TestAFolderThatVanishes(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "spool")
	d, err := Open(dir, 100, 0)
	if err != nil {
		t.Fatal(err)
	}
	os.RemoveAll(dir)
	if _, err := d.File(""); err == nil {
		t.Error("a file in no folder")
	}
	if _, err := Open(dir, 0, 0); err == nil {
		t.Error("a spool of no bytes")
	}
}
