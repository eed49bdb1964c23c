package main

import (
	"bufio"
	"io"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// mapping is a part of the process's address space.
type mapping struct {
	start, length uintptr
	clean         bool // it shows a file that can't be written to there, and no page of it is the process's own
}

// releaseProgram has the system unmap the pages of the program's file, most of which are used only as it starts, and map
// them again in small parts as they are used. Where the mappings can't be read nothing is done.
func releaseProgram() {
	program, err := os.Readlink("/proc/self/exe")
	if err != nil {
		return
	}
	maps, err := os.Open("/proc/self/smaps")
	if err != nil {
		return
	}
	defer maps.Close()
	for _, m := range mappingsOf(program, maps) {
		if m.clean {
			unix.Syscall(unix.SYS_MADVISE, m.start, m.length, unix.MADV_NOHUGEPAGE)
			unix.Syscall(unix.SYS_MADVISE, m.start, m.length, unix.MADV_DONTNEED)
		}
	}
}

// mappingsOf returns where a file is mapped, from text in the form of /proc/self/smaps.
func mappingsOf(file string, smaps io.Reader) (all []mapping) {
	inFile := false
	for lines := bufio.NewScanner(smaps); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 {
			continue
		}
		if !strings.HasSuffix(fields[0], ":") { // the first line of a mapping
			var m mapping
			m, inFile = mappingOf(fields, file)
			if inFile {
				all = append(all, m)
			}
			continue
		}
		if inFile && fields[0] == "Anonymous:" && fields[1] != "0" { // written to before it became read-only
			all[len(all)-1].clean = false
		}
	}
	return all
}

// mappingOf reads the fields of the first line of a mapping; false: it is not one of the file.
func mappingOf(fields []string, file string) (m mapping, ok bool) {
	if len(fields) != 6 || fields[5] != file {
		return m, false
	}
	from, to, found := strings.Cut(fields[0], "-")
	start, err := strconv.ParseUint(from, 16, 64)
	end, err2 := strconv.ParseUint(to, 16, 64)
	if !found || err != nil || err2 != nil || end <= start {
		return m, false
	}
	return mapping{start: uintptr(start), length: uintptr(end - start), clean: strings.HasPrefix(fields[1], "r-")}, true
}
