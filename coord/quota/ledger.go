package quota

// Ledger is the shared object: the home of each limit. It is replaced by
// conditional writes only, and each write of a grant raises its epoch.
type Ledger struct {
	Limits map[string]Assignment `json:"limits"`
}

// Assignment gives a whole limit to its home.
type Assignment struct {
	Epoch         uint64 `json:"epoch"`
	Home          ID     `json:"home"`
	InitialTokens int64  `json:"opening,omitempty"` // nanotokens that home begins with
	Full          bool   `json:"full,omitempty"`    // home begins with the burst: nothing was ever spent
}

// Open grants a limit that the ledger has never held. It reports whether the
// ledger changed.
func (l *Ledger) Open(name string, home ID) bool {
	if _, ok := l.Limits[name]; ok {
		return false
	}
	l.set(name, Assignment{Epoch: 1, Home: home, Full: true})
	return true
}

// Reassign moves a limit whose present epoch is given to another home. The
// former must have given it up in that epoch, or be gone, and nothing may be
// borrowed from it. Opening is what it handed over, 0 if it is gone. It reports
// whether the ledger changed.
func (l *Ledger) Reassign(name string, epoch uint64, to ID, opening int64) bool {
	g, ok := l.Limits[name]
	if !ok || g.Epoch != epoch {
		return false
	}
	l.set(name, Assignment{Epoch: epoch + 1, Home: to, InitialTokens: opening})
	return true
}

func (l *Ledger) set(name string, g Assignment) {
	if l.Limits == nil {
		l.Limits = make(map[string]Assignment)
	}
	l.Limits[name] = g
}
