package fair

// deadlines is a heap of the waiting requests by deadline.
type deadlines []*entry

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].Deadline < d[j].Deadline }
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	e := x.(*entry)
	e.index = len(*d)
	*d = append(*d, e)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	e := old[len(old)-1]
	*d = old[:len(old)-1]
	return e
}
