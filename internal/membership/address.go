package membership

// Addresses tells which host has which address, over all lists of one source. An address belongs to the host that has
// started last there: a new process at the address of one that has gone is not the old one, also where the list has not
// said yet that that is gone. The zero value knows no list.
type Addresses struct {
	holders map[string]Endpoint // by address
	byName  map[string]string
}

// Take takes in a checked list and returns it without the hosts that others have taken the address of. Among changes
// these have left.
func (a *Addresses) Take(l *List) *List {
	if l.Snapshot || a.holders == nil {
		a.holders, a.byName = map[string]Endpoint{}, map[string]string{}
	}
	gone := map[string]bool{}
	for _, e := range l.Endpoints {
		a.take(e, gone)
	}
	if len(gone) == 0 {
		return l
	}
	out := *l
	out.Endpoints = nil
	for _, e := range l.Endpoints {
		if !gone[e.Name] {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	if !l.Snapshot {
		for name := range gone {
			out.Endpoints = append(out.Endpoints, Endpoint{Name: name, Status: Left})
		}
	}
	return &out
}

// take takes in one entry, and notes in gone whose address another has taken.
func (a *Addresses) take(e Endpoint, gone map[string]bool) {
	delete(gone, e.Name)
	if before, known := a.byName[e.Name]; known && (e.Status == Left || before != e.Address) {
		delete(a.holders, before)
		delete(a.byName, e.Name)
	}
	if e.Status == Left {
		return
	}
	if holder, taken := a.holders[e.Address]; taken && holder.Name != e.Name {
		if holder.SinceMS > e.SinceMS {
			gone[e.Name] = true
			return
		}
		gone[holder.Name] = true
		delete(a.byName, holder.Name)
	}
	a.holders[e.Address], a.byName[e.Name] = e, e.Address
}
