package order

// element is a member of an indexedHeap, which notes the member's place in it.
type element[T any] interface {
	// less reports whether the member comes before another.
	less(other T) bool
	// heapIndex is where the heap keeps the member's index; -1 outside of the heap.
	heapIndex() *int
}

// indexedHeap implements heap.Interface, with the first member on top.
type indexedHeap[T element[T]] []T

// Len implements heap.Interface.
func (h indexedHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h indexedHeap[T]) Less(i, j int) bool { return h[i].less(h[j]) }

// Swap implements heap.Interface.
func (h indexedHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].heapIndex(), *h[j].heapIndex() = i, j
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(value any) {
	member := value.(T)
	*member.heapIndex() = len(*h)
	*h = append(*h, member)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(*h) - 1
	member := (*h)[last]
	*member.heapIndex() = -1
	clear((*h)[last:])
	*h = (*h)[:last]
	return member
}

func (i *Item) heapIndex() *int { return &i.deadlineIndex }

// less orders requests by when they become late, then by age.
func (i *Item) less(other *Item) bool {
	if !i.StartBy.Equal(other.StartBy) {
		return i.StartBy.Before(other.StartBy)
	}
	return i.sequence < other.sequence
}

func (c *customer) heapIndex() *int { return &c.activeIndex }

// less orders customers by the service that they received.
func (c *customer) less(other *customer) bool {
	if c.serviceCounter != other.serviceCounter {
		return c.serviceCounter < other.serviceCounter
	}
	return c.id < other.id
}
