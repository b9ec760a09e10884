package quota

// Ledger is the shared object that records the home of each limit. It is replaced by conditional
// writes only, and each new assignment of a limit raises its epoch.
type Ledger struct {
	Limits map[string]Assignment `json:"limits"`
}

// Assignment makes a host the home of a whole limit.
type Assignment struct {
	Epoch         uint64 `json:"epoch"`
	Home          ID     `json:"home"`
	InitialTokens int64  `json:"opening,omitempty"` // nanotokens that home starts with
	Full          bool   `json:"full,omitempty"`    // home starts with the whole burst, since nothing was spent before
}

// Open assigns a limit that the ledger has never held. It reports whether the ledger changed.
func (l *Ledger) Open(name string, home ID) bool {
	if _, ok := l.Limits[name]; ok {
		return false
	}
	l.set(name, Assignment{Epoch: 1, Home: home, Full: true})
	return true
}

// Reassign moves a limit that is still in the given epoch to another home. The former home must
// have handed it over in that epoch or be gone, and nothing may be borrowed from it. Tokens is
// what it handed over, 0 if it is gone. Reassign reports whether the ledger changed.
func (l *Ledger) Reassign(name string, epoch uint64, to ID, tokens int64) bool {
	a, ok := l.Limits[name]
	if !ok || a.Epoch != epoch {
		return false
	}
	l.set(name, Assignment{Epoch: epoch + 1, Home: to, InitialTokens: tokens})
	return true
}

func (l *Ledger) set(name string, a Assignment) {
	if l.Limits == nil {
		l.Limits = make(map[string]Assignment)
	}
	l.Limits[name] = a
}
