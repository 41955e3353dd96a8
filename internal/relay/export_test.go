package relay

// Waiting returns the number of requests in the queue of a service.
func (d *Dispatcher) Waiting(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.admissionQueue(service).queue.Len()
}
