package control

// EntryCount returns the number of requests, sessions and attempts in the router's tables and queues.
func (r *Router) EntryCount() int {
	n := len(r.requests) + len(r.sessions) + len(r.queue) + len(r.parked)
	for _, e := range r.endpoints.all {
		n += len(e.load.attempts)
	}
	return n
}
