package config

import (
	"fmt"
	"math"

	"frostshift"
)

var effects = map[string]frostshift.Effect{"safe": frostshift.Safe, "keyed": frostshift.Keyed, "unsafe": frostshift.Unsafe}

var groups = map[string]frostshift.Group{"": frostshift.GroupAll, "all": frostshift.GroupAll,
	"zone": frostshift.GroupZone, "cell": frostshift.GroupCell}

func settingsClasses(list []Class) (out []frostshift.Class) {
	for _, c := range list {
		out = append(out, c.Class)
	}
	return out
}

func (d *doc) classes(f *file, m *Model) {
	if len(f.Classes) == 0 && !f.alone() {
		d.fail("class", "there is none: routes need one")
	}
	var going []int
	for i, c := range f.Classes {
		key := fmt.Sprintf("class[%d]", i)
		effect, known := effects[c.Effect]
		if c.Effect == byMethod {
			known = true // safe here; requests of other methods go to another class
			going = append(going, i)
		}
		group, knownGroup := groups[c.Group]
		switch {
		case c.Name == "":
			d.fail(key+".name", "a class needs a name")
		case m.ClassIndex(c.Name) >= 0:
			d.fail(key+".name", "there is another class %q", c.Name)
		}
		if !known {
			d.fail(key+".effect", "%q is none of safe, keyed, unsafe, method", c.Effect)
		}
		if !knownGroup {
			d.fail(key+".group", "%q is none of all, zone, cell", c.Group)
		}
		if c.Deadline <= 0 || c.Deadline > longestDeadline {
			d.fail(key+".deadline", "%v is not above 0 and up to %v", c.Deadline, longestDeadline)
		} else if c.Aim > c.Deadline {
			d.fail(key+".aim", "%v is longer than the deadline", c.Aim)
		}
		if c.Worth < 0 || math.IsInf(c.Worth, 0) || math.IsNaN(c.Worth) {
			d.fail(key+".worth", "%v is not a number above 0", c.Worth)
		}
		switch {
		case effect == frostshift.Keyed && known && c.Window <= 0:
			d.fail(key+".window", "a keyed class says how long hosts drop repeats of a key")
		case effect != frostshift.Keyed && (c.Window > 0 || c.Group != ""):
			d.fail(key, "group and window belong to keyed classes")
		}
		m.Classes = append(m.Classes, Class{Name: c.Name, Class: frostshift.Class{Aim: c.Aim, Deadline: c.Deadline,
			Worth: c.Worth, Effect: effect, Group: group, Window: c.Window}})
	}
	m.splitClasses(going)
}
