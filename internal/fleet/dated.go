package fleet

import "time"

// Dated is a copy of something that the store holds, and the latest time at which the store was known to hold nothing newer.
// The two are read together: a time that was read apart from the copy may be that of the next one.
type Dated[T any] struct {
	Copy      T
	CurrentAt time.Duration // 0: never
}
