package fair

// deadlineHeap is a min-heap of the waiting requests, ordered by deadline.
type deadlineHeap []*entry

func (d deadlineHeap) Len() int           { return len(d) }
func (d deadlineHeap) Less(i, j int) bool { return d[i].Deadline < d[j].Deadline }
func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (d *deadlineHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*d)
	*d = append(*d, e)
}

// Pop implements heap.Interface.
func (d *deadlineHeap) Pop() any {
	old := *d
	e := old[len(old)-1]
	*d = old[:len(old)-1]
	return e
}
