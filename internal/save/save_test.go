package save

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

func open(t *testing.T, path string) *Dir {
	t.Helper()
	d, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	return d
}

var some = []Part{{"a", 1, []byte("one\npart b 1 3 0\n")}, {"b", 7, nil}, {"c", 2, []byte{0, 255}}}

func same(x, y []Part) bool {
	if len(x) != len(y) {
		return false
	}
	for i := range x {
		if x[i].Name != y[i].Name || x[i].Version != y[i].Version || !bytes.Equal(x[i].Data, y[i].Data) {
			return false
		}
	}
	return true
}

// What is written is read again; the one before takes its place where it is damaged, at any byte.
func TestDamage(t *testing.T) {
	dir := t.TempDir()
	d := open(t, dir)
	if k := d.Read(); k.Parts != nil || k.Damage != nil {
		t.Errorf("an empty folder holds %+v", k)
	}
	older := []Part{{"a", 1, []byte("older")}}
	for _, parts := range [][]Part{older, some} {
		if err := d.Write(parts); err != nil {
			t.Fatal(err)
		}
	}
	if k := d.Read(); !same(k.Parts, some) || k.Older || k.Damage != nil {
		t.Errorf("%+v", k)
	}
	path := filepath.Join(dir, fileName)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if info, _ := os.Stat(path); info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v", info.Mode())
	}
	for i := range text {
		for _, bad := range [][]byte{text[:i], append(append(text[:i:i], text[i]^0x10), text[i+1:]...)} {
			if err := os.WriteFile(path, bad, 0o600); err != nil {
				t.Fatal(err)
			}
			if k := d.Read(); !same(k.Parts, older) || !k.Older || k.Damage == nil {
				t.Fatalf("damaged at byte %d: %+v", i, k)
			}
		}
	}
	os.WriteFile(path+before, nil, 0o600)
	if k := d.Read(); k.Parts != nil || k.Damage == nil {
		t.Errorf("both damaged: %+v", k)
	}
	d.Aside()
	if _, err := os.Stat(path + ".unread"); err != nil {
		t.Error(err)
	}
}

// A folder has one writer; what can't be written leaves the old.
func TestFolders(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new", "folder")
	d := open(t, dir)
	if _, err := Open(dir); !errors.Is(err, ErrTaken) {
		t.Errorf("a second: %v", err)
	}
	if err := d.Write(some); err != nil {
		t.Fatal(err)
	}
	if err := d.Write([]Part{{"a b", 1, nil}}); err == nil {
		t.Error("a name with a space is taken")
	}
	if err := d.Write([]Part{{"big", 1, make([]byte, mostBytes)}}); err == nil {
		t.Error("more than may be is taken")
	}
	if k := d.Read(); !same(k.Parts, some) {
		t.Errorf("%+v", k)
	}
	d.Close()
	again := open(t, dir)
	if k := again.Read(); !reflect.DeepEqual(k.Parts[0], some[0]) {
		t.Errorf("%+v", k)
	}
	if _, err := Open(filepath.Join(dir, fileName, "x")); err == nil {
		t.Error("a folder within a file")
	}
}

func FuzzDecode(f *testing.F) {
	d, err := Open(f.TempDir())
	if err != nil {
		f.Fatal(err)
	}
	if err := d.Write(some); err != nil {
		f.Fatal(err)
	}
	text, _ := os.ReadFile(filepath.Join(d.Path(), fileName))
	f.Add(text)
	f.Add([]byte(magic + "\npart a 1 99999999999 00000000\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if parts, err := Decode(bytes.NewReader(text)); err == nil && len(parts) > mostParts {
			t.Error("too many parts")
		}
	})
}
