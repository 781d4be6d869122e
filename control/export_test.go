package control

// EntryCount is the number of requests, sessions and attempts that the router remembers.
func (r *Router) EntryCount() int {
	n := len(r.requests) + len(r.sessions) + len(r.queue) + len(r.parked)
	for _, e := range r.endpoints.all {
		n += len(e.load.attempts)
	}
	return n
}
