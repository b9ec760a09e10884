package callerconn

import "time"

// roomWaiting is the state of a write that waits for room.
type roomWaiting struct {
	began time.Time // zero: it has not waited yet
	// exempt is set after roomWait if the caller is reading. The write may then take what is free, whatever the connection
	// holds: its part shrinks while others take room, and a caller may read steadily but not that fast.
	exempt bool
}

// left returns how long the write may go on waiting. lastRead is when the caller last made room.
func (w *roomWaiting) left(now, lastRead time.Time) time.Duration {
	if w.began.IsZero() {
		w.began = now
	}
	waited := now.Sub(w.began)
	if waited >= roomWait && lastRead.After(w.began) && now.Sub(lastRead) < minIdle {
		w.exempt = true
	}
	if w.exempt {
		return maxRoomWait - waited
	}
	return roomWait - waited
}
