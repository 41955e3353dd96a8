package admit

// notInHeap is the heapIndex of a flow without queued requests.
const notInHeap = -1

// flow is the requests of one account in one pool.
type flow struct {
	account  string
	weight   float64
	queue    requestHeap
	inFlight int
	// virtualStart is the virtual start time of the flow's next request, and
	// virtualFinish that of the one after it.
	virtualStart, virtualFinish float64
	// heapIndex is the flow's index in the pool's backlog.
	heapIndex int
	// listIndex is the flow's index in the pool's list of all flows.
	listIndex int
}

// longerThan compares the numbers of queued requests relative to the weights.
// Ties are broken by account, so that a replay makes the same choice.
func (f *flow) longerThan(other *flow) bool {
	a := float64(len(f.queue)) / f.weight
	b := float64(len(other.queue)) / other.weight
	if a == b {
		return f != other && f.account > other.account && len(f.queue) > len(other.queue)
	}
	return a > b
}

// evictionCandidate returns the request to remove first when the queue is full:
// the newest of those with the lowest priority.
func (f *flow) evictionCandidate() *trackedRequest {
	candidate := f.queue[0]
	for _, r := range f.queue[1:] {
		if candidate.before(r) {
			candidate = r
		}
	}
	return candidate
}

// before reports whether a request starts before another of the same flow.
func (r *trackedRequest) before(other *trackedRequest) bool {
	if r.Priority != other.Priority {
		return r.Priority > other.Priority
	}
	return r.sequence < other.sequence
}

// requestHeap is a flow's queue, with the next request to start at the top. It
// implements heap.Interface.
type requestHeap []*trackedRequest

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	r := x.(*trackedRequest)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}

// flowHeap holds the flows with queued requests, with the next to be served at
// the top. It implements heap.Interface.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
	}
	return h[i].account < h[j].account
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	f.heapIndex = notInHeap
	*h = (*h)[:last]
	return f
}
