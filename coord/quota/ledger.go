package quota

// Ledger is the shared object: the home of each limit. It is replaced by
// conditional writes only, and each write of a grant raises its epoch.
type Ledger struct {
	Limits map[string]Grant `json:"limits"`
}

// Grant gives a whole limit to its home.
type Grant struct {
	Epoch   uint64 `json:"epoch"`
	Home    ID     `json:"home"`
	Opening int64  `json:"opening,omitempty"` // nanotokens that home begins with
	Full    bool   `json:"full,omitempty"`    // home begins with the burst: nothing was ever spent
	Left    bool   `json:"left,omitempty"`    // home has given up by itself
}

// Open grants a limit that the ledger has never held. It reports whether the
// ledger changed.
func (l *Ledger) Open(name string, home ID) bool {
	if _, ok := l.Limits[name]; ok {
		return false
	}
	l.set(name, Grant{Epoch: 1, Home: home, Full: true})
	return true
}

// Reassign moves a limit from a home that holds nothing any more, and from
// which nothing is borrowed, to another. Opening is what the former handed
// over, 0 if it is gone. It reports whether the ledger changed.
func (l *Ledger) Reassign(name string, from, to ID, opening int64) bool {
	g, ok := l.Limits[name]
	if !ok || g.Home != from {
		return false
	}
	l.set(name, Grant{Epoch: g.Epoch + 1, Home: to, Opening: opening})
	return true
}

// Leave records that home gave up the limit by itself while loans were out.
func (l *Ledger) Leave(name string, home ID) bool {
	g, ok := l.Limits[name]
	if !ok || g.Home != home || g.Left {
		return false
	}
	g.Left = true
	l.Limits[name] = g
	return true
}

func (l *Ledger) set(name string, g Grant) {
	if l.Limits == nil {
		l.Limits = make(map[string]Grant)
	}
	l.Limits[name] = g
}
