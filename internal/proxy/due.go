package proxy

import "container/heap"

// dues orders the commands in hand by when each is next looked at. A command stands in it once, so that it holds no
// more than there is in hand, and one timer serves all.
type dues []*command

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].next < d[j].next }
func (d dues) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].place, d[j].place = i, j
}

func (d *dues) Push(x any) {
	c := x.(*command)
	c.place = len(*d)
	*d = append(*d, c)
}

func (d *dues) Pop() any {
	old := *d
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	c.place = -1
	return c
}

// set puts a command where its next due time belongs; 0 takes it out.
func (d *dues) set(c *command, next float64) {
	c.next = next
	switch {
	case next == 0 && c.place >= 0:
		heap.Remove(d, c.place)
	case next == 0:
	case c.place >= 0:
		heap.Fix(d, c.place)
	default:
		heap.Push(d, c)
	}
}
