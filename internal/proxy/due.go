package proxy

import "container/heap"

// deadlineQueue orders the commands in hand by when each is next looked at. A command stands in it once, so that it holds no
// more than there is in hand, and one timer serves all.
type deadlineQueue []*request

func (d deadlineQueue) Len() int           { return len(d) }
func (d deadlineQueue) Less(i, j int) bool { return d[i].nextCheckAt < d[j].nextCheckAt }
func (d deadlineQueue) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

func (d *deadlineQueue) Push(x any) {
	request := x.(*request)
	request.heapIndex = len(*d)
	*d = append(*d, request)
}

func (d *deadlineQueue) Pop() any {
	old := *d
	request := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	request.heapIndex = -1
	return request
}

// update puts a command where its next due time belongs; 0 takes it out.
func (d *deadlineQueue) update(request *request, next float64) {
	request.nextCheckAt = next
	switch {
	case next == 0 && request.heapIndex >= 0:
		heap.Remove(d, request.heapIndex)
	case next == 0:
	case request.heapIndex >= 0:
		heap.Fix(d, request.heapIndex)
	default:
		heap.Push(d, request)
	}
}
